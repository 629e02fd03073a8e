// Package dispatch decides which executor may run an item of a batch job now, without I/O.
//
// JobTable is what the committed records say: jobs, their items, and the position of each
// result. Dispatcher is a share group over it: an executor acquires items under a lock that
// it renews, and acknowledges each with an output, a rejection or a release. Acquisitions
// are soft state; only results, counted failures and ends of jobs are records. A new
// leader treats every unfinished item of earlier jobs as perhaps acquired until each
// executor has reported what it holds, or one lock duration has passed, so that no item
// runs twice at a time across a takeover. docs/design.md names the source and what was
// changed.
package dispatch

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Dispatcher decides which executor may run an item now. It is a share group over the job
// table: acquisitions are soft state, terminal states are records. It is not safe for
// concurrent use: its owner guards it with a lock and gives it the time and a way to
// append records. Several can live in one process, each with a table of its own.
type Dispatcher struct {
	Jobs *JobTable
	// Lock is how long an acquisition stands without an acknowledgement.
	Lock clock.Duration
	// Ending tells whether a job's end is on its way: nothing of it is acquired.
	Ending func(job *Job) bool
	// Append has a record made durable and gives its index.
	Append func(record messages.Record) int64
	// Attempts is how many answers of 500 end an item.
	Attempts func(item *Item) int
	// MeanRunMs is the usual time of a whole run.
	MeanRunMs float64
	// MeanOutputBytes is the usual length of an output as it is kept.
	MeanOutputBytes float64
	Counts          Counts

	epoch    uint64
	serial   uint64
	inFlight map[uint64]*Acquisition
	// firstIndex is the index of the first record of this epoch: items of earlier jobs
	// may be with executors until uncertainUntil.
	firstIndex     int64
	uncertainUntil clock.Instant
	startedAt      clock.Instant
	prefixOwners   map[string]prefixOwner
	order          dueOrder
	// executors are those that were in contact lately; version counts their changes.
	executors map[string]*executorState
	version   uint64
	// registering are executors whose record is on its way; unaccounted are those of earlier
	// epochs that have not reported what they hold.
	registering       map[executorID]int64
	unaccounted       map[executorID]bool
	acquisitionsKnown bool
}

// Counts are for the operator.
type Counts struct {
	Deliveries, Lapses, Releases, Failures, Renewals, Adopted, Completed, Abandoned, Late int64
}

// LockDuration is how long an acquisition stands, worked out from cancel-ms, which is zero
// where the settings do not state it.
func LockDuration(cancelMs float64) clock.Duration {
	if cancelMs <= 0 {
		return constants.LockUnstated
	}
	return min(constants.LockMax, clock.Milliseconds(constants.LockShare*cancelMs))
}

// NewDispatcher starts the dispatcher of an epoch. Jobs with records before the
// index may be acquired from earlier leaders until a lock length after the instant
// at which the last of them can have handed anything out.
func NewDispatcher(jobs *JobTable, epoch uint64, before int64, lock clock.Duration, taken clock.Instant) *Dispatcher {
	dispatcher := &Dispatcher{Jobs: jobs, Lock: lock, epoch: epoch, firstIndex: before, uncertainUntil: taken.Add(lock), startedAt: taken,
		inFlight: map[uint64]*Acquisition{}, prefixOwners: map[string]prefixOwner{}, executors: map[string]*executorState{},
		registering: map[executorID]int64{}, unaccounted: map[executorID]bool{}, MeanOutputBytes: constants.OutputBytesGuess,
		Ending: func(*Job) bool { return false }, Attempts: func(*Item) int { return 1 }}
	for each := range jobs.executors {
		dispatcher.unaccounted[each] = true
	}
	dispatcher.updateUncertainty(taken)
	return dispatcher
}

// InFlight is how many acquisitions stand.
func (d *Dispatcher) InFlight() int { return len(d.inFlight) }

// Holding lists the executors that hold acquisitions of a job.
func (d *Dispatcher) Holding(job *Job) []Executor {
	var executors []Executor
	known := map[Executor]bool{}
	for _, item := range job.Items {
		if item.acquisition != nil && !known[item.acquisition.Executor] {
			known[item.acquisition.Executor] = true
			executors = append(executors, item.acquisition.Executor)
		}
	}
	return executors
}

// StartedAt is when this dispatcher's leader took the leadership.
func (d *Dispatcher) StartedAt() clock.Instant { return d.startedAt }

// Uncertain tells whether earlier leaders' acquisitions may still stand somewhere.
func (d *Dispatcher) Uncertain(now clock.Instant) bool { return now < d.uncertainUntil }

// maybeAcquired tells whether an earlier leader may have handed the item out.
func (d *Dispatcher) maybeAcquired(item *Item, now clock.Instant) bool {
	return item.Job.Index < d.firstIndex && now < d.uncertainUntil
}

// available tells whether an item may be acquired now.
func (d *Dispatcher) available(item *Item, now clock.Instant) bool {
	return item.State == ItemAvailable && item.acquisition == nil && now >= item.availableAt && !d.maybeAcquired(item, now)
}

// ExpireLocks makes items available whose lock ran out unacknowledged. A lapse never ends
// an item: it waits longer each time, so that one that kills executors costs little.
func (d *Dispatcher) ExpireLocks(now clock.Instant) int {
	count := 0
	for _, acquisition := range d.inFlight {
		if now < acquisition.expiresAt {
			continue
		}
		acquisition.Item.Lapses++
		count++
		d.requeue(acquisition, retryBackoff(acquisition.Item.Lapses), now)
	}
	d.Counts.Lapses += int64(count)
	return count
}

// retryBackoff is the pause after so many lapses or releases.
func retryBackoff(count int) clock.Duration {
	const doublings = 5
	return constants.ItemRetryBackoff << min(max(count-1, 0), doublings)
}

// StopJob ends all acquisitions of a job whose end is decided, and names the executors
// that have to stop.
func (d *Dispatcher) StopJob(job *Job) []Executor {
	executors := d.Holding(job)
	for _, item := range job.Items {
		if acquisition := item.acquisition; acquisition != nil {
			d.endAcquisition(acquisition)
			item.Requeue(acquisition.run)
		}
	}
	return executors
}

// AbandonExpired archives what waits and has come to a terminal ground: its route is gone
// or its retain-s is over, as the terms of its job say, or its tries are spent.
func (d *Dispatcher) AbandonExpired(terms func(job *Job) JobTerms, now clock.Instant) int {
	count := 0
	for _, job := range d.Jobs.openJobs() {
		if d.Ending(job) {
			continue
		}
		over := terms(job).Expired
		job.eachAvailable(func(item *Item) bool {
			// A complete output that an executor may still bring is an output.
			if d.maybeAcquired(item, now) {
				return true
			}
			if over || (len(item.FailedBy) > 0 && len(item.FailedBy) >= d.Attempts(item)) {
				d.abandon(item, 0, 0)
				count++
			}
			return true
		})
	}
	return count
}

// abandon ends an item with the result that it is abandoned.
func (d *Dispatcher) abandon(item *Item, run int, number uint64) bool {
	if !item.Abandon(run) {
		return false
	}
	d.Counts.Abandoned++
	d.appendResult(item, number, nil, false, true)
	return true
}

// appendResult submits the one terminal record of an item, at the next position.
func (d *Dispatcher) appendResult(item *Item, number uint64, output []byte, compressed, abandoned bool) {
	job := item.Job
	position := len(job.Listings) + job.pendingListings
	job.pendingListings++
	item.closedBy = number
	item.closingIndex = d.Append(messages.Record{Kind: messages.RecordOutput, Job: job.ID, Item: item.ID,
		Position: position, Abandoned: abandoned, Body: output, Compressed: compressed, Acquisition: number})
}
