package dispatch

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// ItemState says whether an item may be run, is being run, or has a result.
type ItemState int

// The states of an item.
const (
	// ItemAvailable is an item that may be acquired and run.
	ItemAvailable ItemState = iota
	// ItemAcquired is an item that one executor runs under a lock.
	ItemAcquired
	// ItemClosing is an item whose terminal record is being made durable.
	ItemClosing
	// ItemCompleted is an item whose output is durable at a position. This state is final.
	ItemCompleted
	// ItemAbandoned is an item that is listed as abandoned. This state is final.
	ItemAbandoned
)

// Item is one item of a job. The dispatcher and the executor that acquired the item use the
// same type. Each method checks the run that calls it: a run that was preempted, stopped or
// superseded by a later run can neither add events nor finish the item.
type Item struct {
	messages.JobItem
	State ItemState
	// Events are the events received so far. LastID is the id of the last one, or zero if there are no
	// events or they have no ids.
	Events [][]byte
	LastID int64
	// FailedBy lists the numbers of the acquisitions that ended with a 500 response, each once.
	FailedBy []uint64
	// Preempted counts the preemptions of the item.
	Preempted int
	// Runs counts the runs of the item; the latest run has this number.
	Runs int
	// LockExpiries, Releases and Renewals count these events over all acquisitions of the item.
	// Releases does not count runs that were not started.
	LockExpiries, Releases, Renewals int
	// ResumePending reports whether the item was preempted and has not been resumed yet.
	ResumePending  bool
	Job            *Job
	yieldRequested bool
	// closedByAcquisition is the number of the acquisition that ended the item; closingRecordIndex is
	// the index of the terminal record.
	closedByAcquisition uint64
	closingRecordIndex  int64
	acquisition         *Acquisition
	// position is the item's index in Job.Items.
	position int
	// availableAt is when the item may be acquired again; skippedSince is when it first became a
	// candidate without being acquired, zero if it is not waiting.
	availableAt, skippedSince clock.Instant
}

// headerEntryBytes is the memory overhead of one header of an item in addition to its text, in bytes.
const headerEntryBytes = 64

// InputBytes returns the memory that the item's body and headers occupy, in bytes.
func (i *Item) InputBytes() int64 {
	total := len(i.Body)
	for name, value := range i.Headers {
		total += headerEntryBytes + len(name) + len(value)
	}
	return int64(total)
}

// StartRun starts a run and returns its number, or zero if the item can't be run.
func (i *Item) StartRun() int {
	if i.State != ItemAvailable || i.Job.Ended {
		return 0
	}
	i.setState(ItemAcquired)
	i.yieldRequested = false
	i.Runs++
	return i.Runs
}

// running reports whether a run is the current one and still in progress.
func (i *Item) running(run int) bool {
	return i.State == ItemAcquired && i.Runs == run && !i.Job.Ended
}

// AppendEvents adds events of a run, the last of which has the given id. It returns false if the run has
// ended. Events after a yield are rejected too: the next run resumes after the last event that was added
// before the yield.
func (i *Item) AppendEvents(run int, events [][]byte, last int64) bool {
	if !i.running(run) || i.yieldRequested {
		return false
	}
	i.Events = append(i.Events, events...)
	i.LastID = max(i.LastID, last)
	return true
}

// Yield marks a run as having to give up its slot. It returns false if the run has ended or is marked already.
func (i *Item) Yield(run int) bool {
	if !i.running(run) || i.yieldRequested {
		return false
	}
	i.yieldRequested = true
	i.Preempted++
	return true
}

// Yielding reports whether the current run has to give up its slot.
func (i *Item) Yielding() bool { return i.yieldRequested }

// Requeue ends a run without a result. The item keeps its place in the order of the job and its
// events if they carry ids. Events without ids are dropped, since no run can resume after them.
// It returns false if the run has ended.
func (i *Item) Requeue(run int) bool {
	if i.State != ItemAcquired || i.Runs != run {
		return false
	}
	i.ResumePending = i.ResumePending || i.yieldRequested
	i.setState(ItemAvailable)
	i.yieldRequested = false
	if i.LastID == 0 {
		i.Events = nil
	}
	return true
}

// Finish ends a run with the item's result. It returns false if the run has ended or has to yield.
func (i *Item) Finish(run int) bool {
	if !i.running(run) || i.yieldRequested {
		return false
	}
	i.setState(ItemClosing)
	return true
}

// Abandon ends an item with the result that it is abandoned. The item must be available, or the given
// run must be its current one. If it is not, or if the job has ended, Abandon does nothing and returns
// false.
func (i *Item) Abandon(run int) bool {
	if i.Job.Ended || (i.State != ItemAvailable && !i.running(run)) {
		return false
	}
	i.setState(ItemClosing)
	return true
}

// Unfinished reports whether no worker has finished the item yet.
func (i *Item) Unfinished() bool { return i.State == ItemAvailable || i.State == ItemAcquired }

// Terminal reports whether the item's result is durable.
func (i *Item) Terminal() bool { return i.State == ItemCompleted || i.State == ItemAbandoned }

// countFailure counts a 500 response of an acquisition. It returns false if that was counted before.
func (i *Item) countFailure(number uint64) bool {
	for _, counted := range i.FailedBy {
		if counted == number {
			return false
		}
	}
	i.FailedBy = append(i.FailedBy, number)
	return true
}
