// Package leader implements the leader of batch processing for the duration of one epoch. The
// leader takes over from the previous one, replicates records to the store set, keeps that set
// complete, dispatches items to executors, and serves calls on jobs.
//
// A record is committed, also called durable, once budget + 1 stores of the set have it on disk, or
// all that have not lost their disks if these are fewer. While the set is changed, this must hold for
// both the old and the new set. The effect of a record is not disclosed to any other process before
// that. A store that was fenced by a later leader rejects records of earlier epochs, so a leader that
// continues after its lease has expired can't commit any more once a later leader has fenced enough
// stores. The logic that needs no I/O is in packages replication and dispatch.
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

// Election is the part of the election that a term uses; see leadership.Campaign.
type Election interface {
	// HoldsLease reports whether this process has a valid lease and may act as the leader.
	HoldsLease() bool
	// ReleaseLease releases the lease at the acceptors.
	ReleaseLease()
	// Member returns this process as a member of the store set.
	Member() messages.Member
	// Register returns the most recently read value of the register, and RegisterAge the time
	// since it was read.
	Register() messages.RegisterValue
	RegisterAge() clock.Duration
	// SetRegister caches a value that was just read or written. ReadRegister reads the register
	// again and reports whether that succeeded.
	SetRegister(value messages.RegisterValue)
	ReadRegister() bool
	// ChangeRegister changes the register. known is false if the outcome is unknown.
	ChangeRegister(req *messages.RegisterChangeRequest) (resp *messages.RegisterResponse, known bool)
	// ShouldResign reports whether a slow process should leave the leadership to others.
	// YieldUntil prevents this process from leading until an instant.
	ShouldResign(diskSlow bool, now clock.Instant) bool
	YieldUntil(until clock.Instant)
}

// Process is the part of the store process that a term uses.
type Process struct {
	Node     *agent.Agent
	Log      *replicalog.Log
	Election Election
	// StopJob cancels the runs in this process of items of a job that has ended.
	StopJob func(jobID string)
}

// budget returns how many stores may be lost at the same time.
func (p *Process) budget() int { return p.Node.Settings.Budget() }

// Term is the period of one epoch during which this process leads. It is safe for concurrent use.
type Term struct {
	process    *Process
	leadership messages.Leadership
	lifecycle  lifecycle

	// lock guards the fields below. It is not held while waiting for a request or for the
	// disk.
	lock sync.Mutex
	// serving is set once the takeover is complete.
	serving     bool
	jobs        *dispatch.JobTable
	records     records
	submissions submissions
	feeds       feeds
	items       items
	health      health
}

// lifecycle is the start and the end of a term.
type lifecycle struct {
	startedAt clock.Instant
	// stop closes when the term ends.
	stop      chan struct{}
	closeOnce sync.Once
	// announcements is the number of announcements that this term has sent.
	announcements atomic.Int64
}

// submissions are changes of jobs that are not yet committed.
type submissions struct {
	// parsing is held while a job is parsed. Parsing needs a multiple of the job's size in memory, so
	// only one job is parsed at a time.
	parsing sync.Mutex
	// submitting maps each job that is not yet committed to the index of its record.
	submitting map[string]int64
	// ending contains the jobs for which an end record was appended, and forgetting those for
	// which a record to drop them was appended.
	ending     map[string]bool
	forgetting map[string]bool
	quota      quota
	// intake limits the bytes of the jobs that are in flight at the same time.
	intake intake
}

// feeds is the replication of records to the stores.
type feeds struct {
	// feeders maps the identity of a store to its feeder. A feeder ends when its channel quit is
	// closed.
	feeders map[string]*feeder
	// copied maps the identity of a joiner to the index up to which it has copied records from
	// other members.
	copied map[string]int64
	// setChange is locked while the current store set is changed, until the stores and the register
	// have agreed to the change. It is locked before Term.lock.
	setChange chanMutex
	// maintained is done once the loops that keep the set complete have started.
	maintained sync.Once
	// changes is the number of changes of the set in this epoch, used as their sequence number. It
	// is guarded by Term.lock.
	changes uint64
}

// items is the state of dispatching items to executors.
type items struct {
	dispatcher *dispatch.Dispatcher
	// available is closed and replaced when items may have become available.
	available chan struct{}
}

// health tracks how slow the stores are, and how far this process's own store lags.
type health struct {
	appendLatency appendLatency
	replicaLag    replication.ReplicaLag
}

// NewTerm returns the term of an epoch. It does not serve before TakeOver.
func NewTerm(process *Process, elected messages.Leadership, stores []messages.Member) *Term {
	return &Term{
		process: process, leadership: elected,
		lifecycle:   lifecycle{startedAt: clock.Now(), stop: make(chan struct{})},
		jobs:        dispatch.NewJobTable(),
		records:     records{replicator: replication.NewReplicator(elected.Epoch, stores, process.budget(), 1), changed: make(chan struct{})},
		submissions: submissions{submitting: map[string]int64{}, ending: map[string]bool{}, forgetting: map[string]bool{}, quota: newQuota(), intake: newIntake()},
		feeds:       feeds{feeders: map[string]*feeder{}, copied: map[string]int64{}, setChange: newChanMutex()},
		items:       items{available: make(chan struct{})},
		health:      health{appendLatency: newAppendLatency()},
	}
}

// Epoch returns the epoch of the term, which fences earlier terms.
func (t *Term) Epoch() uint64 { return t.leadership.Epoch }

// Close ends the term: it no longer responds to requests, dispatches items or writes records.
func (t *Term) Close(reason string) {
	t.lifecycle.closeOnce.Do(func() {
		t.process.Node.Log.Info("leadership lost", "epoch", t.leadership.Epoch, "reason", reason)
		close(t.lifecycle.stop)
		restoreCollector()
		t.lock.Lock()
		defer t.lock.Unlock()
		t.serving = false
		t.notifyLocked()
		t.wakeExecutorsLocked()
	})
}

// Closed reports whether the term has ended.
func (t *Term) Closed() bool {
	select {
	case <-t.lifecycle.stop:
		return true
	default:
		return false
	}
}

// notifyLocked wakes all goroutines that wait for a change. The lock is held.
func (t *Term) notifyLocked() {
	close(t.records.changed)
	t.records.changed = make(chan struct{})
}
