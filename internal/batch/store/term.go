package store

import (
	"sync"
	"sync/atomic"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// term is the time of one epoch in which this process holds the lots.
type term struct {
	server        *Server
	leadership    messages.Leadership
	lock          sync.Mutex
	replicator    *replication.Replicator
	jobs          *dispatch.JobTable
	recent        []messages.Record
	applied       int64
	submitting    map[string]int64
	quota         quota
	appendLatency appendLatency
	// copies says how far newcomers have copied.
	copies  map[string]int64
	ending  map[string]bool
	feeders map[string]chan struct{}
	changed chan struct{}
	// itemsAvailable wakes drivers that wait for items; begun is when the duty was taken.
	itemsAvailable chan struct{}
	startedAt      clock.Instant
	dispatcher     *dispatch.Dispatcher
	stop           chan struct{}
	closeOnce      sync.Once
	serving        bool
	announcements  atomic.Int64
	replicaLag     replication.ReplicaLag
}

func newTerm(server *Server, leadership messages.Leadership, stores []messages.Member, first int64) *term {
	return &term{server: server, leadership: leadership, replicator: replication.NewReplicator(leadership.Epoch, stores, server.budget(), first),
		jobs: dispatch.NewJobTable(), applied: first - 1, submitting: map[string]int64{}, quota: newQuota(), appendLatency: newAppendLatency(), copies: map[string]int64{}, ending: map[string]bool{},
		feeders: map[string]chan struct{}{}, changed: make(chan struct{}), itemsAvailable: make(chan struct{}), stop: make(chan struct{}), startedAt: clock.Now()}
}

// close closes the term: nothing is told, run or written under its epoch any more.
func (t *term) close(reason string) {
	t.closeOnce.Do(func() {
		t.server.Node.Log.Info("term ends", "epoch", t.leadership.Epoch, "why", reason)
		close(t.stop)
		t.lock.Lock()
		defer t.lock.Unlock()
		t.serving = false
		t.notifyLocked()
		t.wakeExecutorsLocked()
	})
}

func (t *term) closed() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// notifyLocked wakes everybody who waits for a change. The lock is held.
func (t *term) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// appendRecord makes a record and has it copied. The lock is held.
func (t *term) appendRecord(record messages.Record) int64 {
	record.Index, record.Epoch = t.replicator.NextIndex(), t.leadership.Epoch
	t.recent = append(t.recent, record)
	t.notifyLocked()
	return record.Index
}

// awaitCommit waits until a record is durable; false when that can't be known.
func (t *term) awaitCommit(index int64, timeout clock.Duration) bool {
	timer := clock.NewTimer(timeout)
	defer timer.Stop()
	for {
		t.lock.Lock()
		done, changed := t.replicator.CommitIndex() >= index, t.changed
		t.lock.Unlock()
		if done {
			return !t.closed()
		}
		select {
		case <-changed:
		case <-t.stop:
			return false
		case <-timer.C:
			return false
		}
	}
}

// recentAt gives a record that is still in memory. The lock is held.
func (t *term) recentAt(index int64) *messages.Record {
	if len(t.recent) == 0 {
		return nil
	}
	i := index - t.recent[0].Index
	if i < 0 || i >= int64(len(t.recent)) {
		return nil
	}
	return &t.recent[i]
}

// handleMatch notes a store's progress and applies what became durable.
func (t *term) handleMatch(identity string, index int64) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.replicator.UpdateMatch(identity, index) {
		return
	}
	t.applyCommittedLocked()
	t.trimRecentLocked()
	t.notifyLocked()
}

func (t *term) applyCommittedLocked() {
	for t.applied < t.replicator.CommitIndex() {
		record := t.recentAt(t.applied + 1)
		if record == nil {
			return
		}
		if err := t.jobs.Apply(record); err != nil {
			t.server.Node.Log.Error("record not applied", "why", err.Error())
		}
		switch record.Kind {
		case messages.RecordJob:
			delete(t.submitting, record.Job)
			delete(t.quota.pending, record.Job)
			if job := t.jobs.Job(record.Job); job != nil {
				job.KnownSince = clock.Now()
			}
			t.wakeExecutorsLocked()
		}
		t.applied++
	}
}

// trimRecentLocked gives back the records that are durable and on our own disk; a store that
// lags further behind is fed from there.
func (t *term) trimRecentLocked() {
	own := t.replicator.MatchIndex(register.Identity(t.server.member()))
	keep := min(own, t.applied)
	count := 0
	for count < len(t.recent) && t.recent[count].Index <= keep {
		count++
	}
	if count > 0 {
		t.recent = append([]messages.Record(nil), t.recent[count:]...)
	}
}
