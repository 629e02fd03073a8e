package leader

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// records is the state of replicating the term's records.
type records struct {
	replicator *replication.Replicator
	// recent are the newest records. A record is dropped from it once it is committed, applied and
	// synced to this process's disk.
	recent []messages.Record
	// applied is the index up to which records are applied to the job table.
	applied int64
	// changed is closed and replaced at each change that a goroutine may wait for.
	changed chan struct{}
}

// appendRecord appends a record to be replicated, and returns its index. The lock is held.
func (t *Term) appendRecord(record messages.Record) int64 {
	record.Index, record.Epoch = t.records.replicator.NextIndex(), t.leadership.Epoch
	t.records.recent = append(t.records.recent, record)
	t.notifyLocked()
	return record.Index
}

// awaitCommit waits until a record is committed. It returns false if the outcome is unknown.
func (t *Term) awaitCommit(index int64, timeout clock.Duration) bool {
	timer := clock.NewTimer(timeout)
	defer timer.Stop()
	for {
		t.lock.Lock()
		committed, changed := t.records.replicator.CommitIndex() >= index, t.records.changed
		t.lock.Unlock()
		if committed {
			return !t.Closed()
		}
		select {
		case <-changed:
		case <-t.lifecycle.stop:
			return false
		case <-timer.C:
			return false
		}
	}
}

// recentAt returns the record at an index, or nil if it is not in memory. The lock is held.
func (t *Term) recentAt(index int64) *messages.Record {
	if len(t.records.recent) == 0 {
		return nil
	}
	i := index - t.records.recent[0].Index
	if i < 0 || i >= int64(len(t.records.recent)) {
		return nil
	}
	return &t.records.recent[i]
}

// handleMatch records the index up to which a store has synced, and applies the records that became
// durable.
func (t *Term) handleMatch(identity string, index int64) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.records.replicator.UpdateMatch(identity, index) {
		return
	}
	t.applyCommittedLocked()
	t.trimRecentLocked()
	t.notifyLocked()
}

// applyCommittedLocked applies the committed records to the job table. The lock is held.
func (t *Term) applyCommittedLocked() {
	for t.records.applied < t.records.replicator.CommitIndex() {
		record := t.recentAt(t.records.applied + 1)
		if record == nil {
			return
		}
		if err := t.jobs.Apply(record); err != nil {
			t.process.Node.Log.Error("failed to apply record", "err", err.Error())
		}
		if record.Kind == messages.RecordJob {
			t.jobCommittedLocked(record.Job)
		}
		t.records.applied++
	}
}

// jobCommittedLocked makes a job available for dispatch after its first record was committed. The
// lock is held.
func (t *Term) jobCommittedLocked(jobID string) {
	delete(t.submissions.submitting, jobID)
	delete(t.submissions.quota.pending, jobID)
	t.submissions.intake.release(jobID)
	if job := t.jobs.Job(jobID); job != nil {
		job.KnownSince = clock.Now()
	}
	t.wakeExecutorsLocked()
}

// trimRecentLocked drops the records that are committed, applied and on this process's own disk. A
// store that lags further behind is sent records from that disk. The lock is held.
func (t *Term) trimRecentLocked() {
	own := t.records.replicator.MatchIndex(register.Identity(t.process.Election.Member()))
	keep := min(own, t.records.applied)
	count := 0
	for count < len(t.records.recent) && t.records.recent[count].Index <= keep {
		count++
	}
	if count > 0 {
		t.records.recent = append([]messages.Record(nil), t.records.recent[count:]...)
	}
}

// CommitIndex returns the index up to which records are committed.
func (t *Term) CommitIndex() int64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.records.replicator.CommitIndex()
}
