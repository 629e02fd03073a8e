// Package leader is the store that decides on all batch jobs, for the time of one epoch: it
// takes over from the leader before, replicates records to the store set, keeps that set
// complete, dispatches items to executors, and answers calls on jobs.
//
// A record is committed once budget + 1 stores of the set have it on disk; nothing is told to
// anybody before. Other stores refuse the records of an earlier epoch, so that a leader that
// overslept its lease can commit nothing more. The cores without I/O are packages replication
// and dispatch.
package leader

import (
	"sync"
	"sync/atomic"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Election is what a term needs of the election that made it; see leadership.Election.
type Election interface {
	// HoldsLease tells whether this process may act as the leader now.
	HoldsLease() bool
	// ReleaseLease gives the lease back to the acceptors.
	ReleaseLease()
	// Member is this process as one of the store set.
	Member() messages.Member
	// Register gives the register's value as it was last read, RegisterAge how long ago.
	Register() messages.RegisterValue
	RegisterAge() clock.Duration
	// SetRegister notes a value that was just seen in force; ReadRegister reads it anew.
	SetRegister(value messages.RegisterValue)
	ReadRegister() bool
	// ChangeRegister changes it; known is false where the outcome can't be told.
	ChangeRegister(req *messages.RegisterChangeRequest) (resp *messages.RegisterResponse, known bool)
	// ShouldResign tells whether a slow process should leave the leadership to others, and
	// YieldUntil keeps it from leading until an instant.
	ShouldResign(diskSlow bool, now clock.Instant) bool
	YieldUntil(until clock.Instant)
}

// Process is what a term needs of the store process that it runs in.
type Process struct {
	Node     *agent.Agent
	Log      *replicalog.Log
	Election Election
	// StopJob breaks off what this process runs of a job that has ended.
	StopJob func(jobID string)
}

// budget is how many stores may be lost at once.
func (p *Process) budget() int { return p.Node.Settings.Budget() }

// Term is the time of one epoch in which this process leads. It is safe for concurrent use.
type Term struct {
	process    *Process
	leadership messages.Leadership
	life       lifecycle

	// lock guards the fields below and serving. It is not held while a request or the disk
	// is waited for.
	lock        sync.Mutex
	serving     bool
	jobs        *dispatch.JobTable
	records     records
	submissions submissions
	feeds       feeds
	items       items
	health      health
}

// lifecycle is the beginning and the end of a term.
type lifecycle struct {
	startedAt clock.Instant
	// stop closes when the term ends.
	stop      chan struct{}
	closeOnce sync.Once
	// announcements counts those that this term made.
	announcements atomic.Int64
}

// records are the term's records on their way to the stores.
type records struct {
	replicator *replication.Replicator
	// recent are those that are not yet committed and applied and on this process's disk.
	recent []messages.Record
	// applied is the index up to which records are in the job table.
	applied int64
	// changed closes at the next change that somebody may wait for.
	changed chan struct{}
}

// submissions are changes of jobs that are on their way to the stores.
type submissions struct {
	// submitting holds the index of the record of each job that is not committed yet.
	submitting map[string]int64
	// ending holds the jobs whose end was decided, and forgetting those that are dropped.
	ending     map[string]bool
	forgetting map[string]bool
	quota      quota
}

// feeds are the stores that records are sent to.
type feeds struct {
	// feeders end when their channel closes, by the identity of the store.
	feeders map[string]chan struct{}
	// copied is how far joiners have copied from other members.
	copied map[string]int64
}

// items is the dispatching of items.
type items struct {
	dispatcher *dispatch.Dispatcher
	// available closes when items may have become available.
	available chan struct{}
}

// health is how the stores keep up.
type health struct {
	appendLatency appendLatency
	replicaLag    replication.ReplicaLag
}

// NewTerm makes the term of an epoch. It serves nothing before TakeOver.
func NewTerm(process *Process, elected messages.Leadership, stores []messages.Member) *Term {
	return &Term{
		process: process, leadership: elected,
		life:        lifecycle{startedAt: clock.Now(), stop: make(chan struct{})},
		jobs:        dispatch.NewJobTable(),
		records:     records{replicator: replication.NewReplicator(elected.Epoch, stores, process.budget(), 1), changed: make(chan struct{})},
		submissions: submissions{submitting: map[string]int64{}, ending: map[string]bool{}, forgetting: map[string]bool{}, quota: newQuota()},
		feeds:       feeds{feeders: map[string]chan struct{}{}, copied: map[string]int64{}},
		items:       items{available: make(chan struct{})},
		health:      health{appendLatency: newAppendLatency()},
	}
}

// Epoch is the epoch that fences the term.
func (t *Term) Epoch() uint64 { return t.leadership.Epoch }

// Close ends the term: nothing is answered, run or written under its epoch any more.
func (t *Term) Close(reason string) {
	t.life.closeOnce.Do(func() {
		t.process.Node.Log.Info("leadership lost", "epoch", t.leadership.Epoch, "reason", reason)
		close(t.life.stop)
		t.lock.Lock()
		defer t.lock.Unlock()
		t.serving = false
		t.notifyLocked()
		t.wakeExecutorsLocked()
	})
}

// Closed tells whether the term has ended.
func (t *Term) Closed() bool {
	select {
	case <-t.life.stop:
		return true
	default:
		return false
	}
}

// notifyLocked wakes everybody who waits for a change. The lock is held.
func (t *Term) notifyLocked() {
	close(t.records.changed)
	t.records.changed = make(chan struct{})
}

// appendRecord makes a record and has it copied. The lock is held.
func (t *Term) appendRecord(record messages.Record) int64 {
	record.Index, record.Epoch = t.records.replicator.NextIndex(), t.leadership.Epoch
	t.records.recent = append(t.records.recent, record)
	t.notifyLocked()
	return record.Index
}

// awaitCommit waits until a record is durable; false when that can't be known.
func (t *Term) awaitCommit(index int64, timeout clock.Duration) bool {
	timer := clock.NewTimer(timeout)
	defer timer.Stop()
	for {
		t.lock.Lock()
		done, changed := t.records.replicator.CommitIndex() >= index, t.records.changed
		t.lock.Unlock()
		if done {
			return !t.Closed()
		}
		select {
		case <-changed:
		case <-t.life.stop:
			return false
		case <-timer.C:
			return false
		}
	}
}

// recentAt gives a record that is still in memory. The lock is held.
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

// handleMatch notes a store's progress and applies what became durable.
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

func (t *Term) applyCommittedLocked() {
	for t.records.applied < t.records.replicator.CommitIndex() {
		record := t.recentAt(t.records.applied + 1)
		if record == nil {
			return
		}
		if err := t.jobs.Apply(record); err != nil {
			t.process.Node.Log.Error("record not applied", "err", err.Error())
		}
		switch record.Kind {
		case messages.RecordJob:
			delete(t.submissions.submitting, record.Job)
			delete(t.submissions.quota.pending, record.Job)
			if job := t.jobs.Job(record.Job); job != nil {
				job.KnownSince = clock.Now()
			}
			t.wakeExecutorsLocked()
		}
		t.records.applied++
	}
}

// trimRecentLocked gives back the records that are durable and on our own disk; a store that
// lags further behind is fed from there.
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

// CommitIndex is the index up to which records are committed.
func (t *Term) CommitIndex() int64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.records.replicator.CommitIndex()
}
