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

// submissions are changes of jobs that are on their way to the stores.
type submissions struct {
	// parsing is held while a job is parsed: what that takes is a multiple of the job, so it is one
	// at a time.
	parsing sync.Mutex
	// submitting holds the index of the record of each job that is not committed yet.
	submitting map[string]int64
	// ending holds the jobs whose end was decided, and forgetting those that are dropped.
	ending     map[string]bool
	forgetting map[string]bool
	quota      quota
	// intake paces the jobs that come.
	intake intake
}

// feeds are the stores that records are sent to.
type feeds struct {
	// feeders end when their channel quit closes, by the identity of the store.
	feeders map[string]*feeder
	// copied is how far joiners have copied from other members.
	copied map[string]int64
	// setChange is taken while the set in force is changed, for as long as stores and the register
	// take to agree to it. It is taken before Term.lock.
	setChange turnstile
	// maintained is done once the loops that keep the set complete have begun.
	maintained sync.Once
	// changes numbers the changes of the set under this epoch. It is guarded by Term.lock.
	changes uint64
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
		submissions: submissions{submitting: map[string]int64{}, ending: map[string]bool{}, forgetting: map[string]bool{}, quota: newQuota(), intake: newIntake()},
		feeds:       feeds{feeders: map[string]*feeder{}, copied: map[string]int64{}, setChange: newTurnstile()},
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
		restoreCollector()
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
