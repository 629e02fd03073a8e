package dispatch

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// ItemState is where an item stands in its share group.
type ItemState int

// The states of an item.
const (
	// ItemAvailable: to be run.
	ItemAvailable ItemState = iota
	// ItemAcquired: with one executor, under a lock.
	ItemAcquired
	// ItemClosing: its terminal record is being made durable.
	ItemClosing
	// ItemCompleted: its output stands at a position for good.
	ItemCompleted
	// ItemAbandoned: it is listed as abandoned for good.
	ItemAbandoned
)

// Item is one item of a job, as the dispatcher keeps it and as an executor that
// acquired it does. Its steps are guarded: a run that was displaced, called off or
// overtaken can neither add events nor finish it.
type Item struct {
	messages.JobItem
	State ItemState
	// Events are the events gathered so far; LastID is the last one's id.
	Events [][]byte
	LastID int64
	// FailedBy names the acquisitions that ended with a 500, each counted once.
	FailedBy []uint64
	// Preempted counts how often it was preempted; Runs how often it was delivered.
	Preempted int
	Runs      int
	// Lapses, Releases and Renewals count what befell its acquisitions.
	Lapses, Releases, Renewals int
	// OwedResume says that it was preempted and has not been resumed yet.
	OwedResume bool
	Job        *Job
	yielding   bool
	// closedBy is the acquisition whose record ends the item, closing its index.
	closedBy     uint64
	closingIndex int64
	acquisition  *Acquisition
	// position is the item's index in its job.
	position int
	// availableAt is when it may be acquired again; skippedSince is when it was first passed over.
	availableAt, skippedSince clock.Instant
}

// headerEntryBytes is what a header of an item takes in memory beside its text, in bytes.
const headerEntryBytes = 64

// InputBytes is how many bytes of memory the item's body and headers take.
func (i *Item) InputBytes() int64 {
	bytes := len(i.Body)
	for name, value := range i.Headers {
		bytes += headerEntryBytes + len(name) + len(value)
	}
	return int64(bytes)
}

// StartRun starts a run and names it; zero when there is nothing to run.
func (i *Item) StartRun() int {
	if i.State != ItemAvailable || i.Job.Ended {
		return 0
	}
	i.setState(ItemAcquired)
	i.yielding = false
	i.Runs++
	return i.Runs
}

// running tells whether a run is the one that goes on now.
func (i *Item) running(run int) bool {
	return i.State == ItemAcquired && i.Runs == run && !i.Job.Ended
}

// AppendEvents adds events of a run, up to an id. What follows a yield is not taken:
// the next run goes on after the last event that was.
func (i *Item) AppendEvents(run int, events [][]byte, last int64) bool {
	if !i.running(run) || i.yielding {
		return false
	}
	i.Events = append(i.Events, events...)
	i.LastID = max(i.LastID, last)
	return true
}

// Yield asks a run to give up its slot; false when it is over already.
func (i *Item) Yield(run int) bool {
	if !i.running(run) || i.yielding {
		return false
	}
	i.yielding = true
	i.Preempted++
	return true
}

// Yielding tells whether the run that goes on now was asked to yield.
func (i *Item) Yielding() bool { return i.yielding }

// Requeue ends a run without a result: the item keeps its place by age and all
// events that carry an id; what can't be gone on from is dropped.
func (i *Item) Requeue(run int) bool {
	if i.State != ItemAcquired || i.Runs != run {
		return false
	}
	i.OwedResume = i.OwedResume || i.yielding
	i.setState(ItemAvailable)
	i.yielding = false
	if i.LastID == 0 {
		i.Events = nil
	}
	return true
}

// Finish ends a run with the item's one result.
func (i *Item) Finish(run int) bool {
	if !i.running(run) || i.yielding {
		return false
	}
	i.setState(ItemClosing)
	return true
}

// Abandon ends an item that waits, or the run that found it hopeless, with the
// result that it is abandoned.
func (i *Item) Abandon(run int) bool {
	if i.Job.Ended || (i.State != ItemAvailable && !i.running(run)) {
		return false
	}
	i.setState(ItemClosing)
	return true
}

// Unfinished tells whether no worker has finished the item.
func (i *Item) Unfinished() bool { return i.State == ItemAvailable || i.State == ItemAcquired }

// Terminal tells whether the item's one result stands durably.
func (i *Item) Terminal() bool { return i.State == ItemCompleted || i.State == ItemAbandoned }

// countFailure counts a 500 of an acquisition; false when it was counted before.
func (i *Item) countFailure(number uint64) bool {
	for _, found := range i.FailedBy {
		if found == number {
			return false
		}
	}
	i.FailedBy = append(i.FailedBy, number)
	return true
}
