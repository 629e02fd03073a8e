// Package dispatch decides which executor may run an item of a batch job now, without I/O.
//
// JobTable is the state derived from the committed records: jobs, their items, and the position of
// each result. Dispatcher is a share group over the table: an executor acquires items under a lock
// that it renews, and acknowledges each with an output, a rejection or a release. Acquisitions
// are soft state; only results, counted failures and ends of jobs are recorded. A new
// leader treats every unfinished item of earlier jobs as possibly acquired until each
// executor has reported its acquisitions, or one lock duration has passed, so that no two runs
// of an item overlap across a takeover. This relies on earlier leaders dispatching only under a
// valid lease, which has expired by then; see package lease for the case in which an acceptor was
// restarted. docs/design.md names the source of the protocol and the
// changes made to it.
package dispatch

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Dispatcher decides which executor may run an item now. It is a share group over the job
// table: acquisitions are soft state, terminal states are recorded. It is not safe for
// concurrent use: the caller guards it with a lock, passes in the current time and provides
// Append. A process may have several dispatchers, each with a job table of its own.
type Dispatcher struct {
	Jobs *JobTable
	// Lock is how long an acquisition stays valid without a renewal.
	Lock clock.Duration
	// Ending reports whether the record that ends a job is being made durable. Items of such a job
	// are not dispatched. Default: always false.
	Ending func(job *Job) bool
	// Append submits a record to be made durable and returns its index.
	Append func(record messages.Record) int64
	// Attempts returns how many responses of status 500 end an item. Default: 1.
	Attempts func(item *Item) int
	// MeanRunMs is the moving average of the duration of a complete run, in milliseconds.
	MeanRunMs float64
	// MeanOutputBytes is the moving average of the length of an output as stored, in bytes.
	MeanOutputBytes float64
	Counts          Counts

	epoch    uint64
	serial   uint64
	inFlight map[uint64]*Acquisition
	// firstIndex is the index of the first record of this epoch: items of earlier jobs
	// may still be acquired by executors until uncertainUntil.
	firstIndex     int64
	uncertainUntil clock.Instant
	startedAt      clock.Instant
	prefixOwners   map[string]prefixOwner
	order          dueOrder
	// executors are those with contact within ExecutorTimeout, by name; version counts the changes of this set.
	executors map[string]*executorState
	version   uint64
	// registering maps executors to the index of their registration record, which may not be durable yet.
	// unaccounted are the executors of earlier epochs that have not reported their acquisitions.
	registering       map[executorID]int64
	unaccounted       map[executorID]bool
	acquisitionsKnown bool
}

// Counts are the dispatcher's event counters, for reports to the operator. Adopted counts the
// acquisitions of earlier leaders that executors reported to this one, and Late the outputs that
// arrived after another acquisition had ended the item.
type Counts struct {
	Deliveries, LockExpiries, Releases, Failures, Renewals, Adopted, Completed, Abandoned, Late int64
}

// LockDuration returns how long an acquisition stays valid without a renewal: constants.LockShare of the
// setting cancel-ms, at most constants.LockMax, or constants.LockDefault if the setting is zero (not set).
func LockDuration(cancelMs float64) clock.Duration {
	if cancelMs <= 0 {
		return constants.LockDefault
	}
	return min(constants.LockMax, clock.Milliseconds(constants.LockShare*cancelMs))
}

// NewDispatcher returns the dispatcher of an epoch. Items of jobs recorded before the index
// firstIndex may be acquired from earlier leaders until one lock duration after startedAt. No
// earlier leader may dispatch an item after startedAt; package leader passes the start of its term,
// when the earlier leader's lease has expired.
func NewDispatcher(jobs *JobTable, epoch uint64, firstIndex int64, lock clock.Duration, startedAt clock.Instant) *Dispatcher {
	dispatcher := &Dispatcher{Jobs: jobs, Lock: lock, epoch: epoch, firstIndex: firstIndex, uncertainUntil: startedAt.Add(lock), startedAt: startedAt,
		inFlight: map[uint64]*Acquisition{}, prefixOwners: map[string]prefixOwner{}, executors: map[string]*executorState{},
		registering: map[executorID]int64{}, unaccounted: map[executorID]bool{}, MeanOutputBytes: constants.OutputBytesGuess,
		Ending: func(*Job) bool { return false }, Attempts: func(*Item) int { return 1 }}
	for id := range jobs.executors {
		dispatcher.unaccounted[id] = true
	}
	dispatcher.updateUncertainty(startedAt)
	return dispatcher
}

// InFlight returns the number of current acquisitions.
func (d *Dispatcher) InFlight() int { return len(d.inFlight) }

// ExecutorsOf returns the executors that own acquisitions of a job's items.
func (d *Dispatcher) ExecutorsOf(job *Job) []Executor {
	var executors []Executor
	seen := map[Executor]bool{}
	for _, item := range job.Items {
		if item.acquisition != nil && !seen[item.acquisition.Executor] {
			seen[item.acquisition.Executor] = true
			executors = append(executors, item.acquisition.Executor)
		}
	}
	return executors
}

// StartedAt returns the instant at which this dispatcher's leader took over the leadership.
func (d *Dispatcher) StartedAt() clock.Instant { return d.startedAt }

// Uncertain reports whether executors may still own acquisitions from earlier leaders that this leader
// does not know of.
func (d *Dispatcher) Uncertain(now clock.Instant) bool { return now < d.uncertainUntil }

// maybeAcquired reports whether an executor may still own the item through an earlier leader.
func (d *Dispatcher) maybeAcquired(item *Item, now clock.Instant) bool {
	return item.Job.Index < d.firstIndex && now < d.uncertainUntil
}

// available reports whether an item may be acquired now.
func (d *Dispatcher) available(item *Item, now clock.Instant) bool {
	return item.State == ItemAvailable && item.acquisition == nil && now >= item.availableAt && !d.maybeAcquired(item, now)
}

// ExpireLocks makes items available whose lock expired without an acknowledgement, and returns how
// many there were. An expired lock never ends an item. Its backoff grows with each expiry instead,
// so that an item that crashes executors does little damage.
func (d *Dispatcher) ExpireLocks(now clock.Instant) int {
	count := 0
	for _, acquisition := range d.inFlight {
		if now < acquisition.expiresAt {
			continue
		}
		acquisition.Item.LockExpiries++
		count++
		d.requeue(acquisition, retryBackoff(acquisition.Item.LockExpiries), now)
	}
	d.Counts.LockExpiries += int64(count)
	return count
}

// retryBackoff returns the backoff after a number of lock expiries or releases. It doubles up to five times.
func retryBackoff(count int) clock.Duration {
	const doublings = 5
	return constants.ItemRetryBackoff << min(max(count-1, 0), doublings)
}

// StopJob ends all acquisitions of a job that is being ended, and returns the executors that
// have to stop their runs.
func (d *Dispatcher) StopJob(job *Job) []Executor {
	executors := d.ExecutorsOf(job)
	for _, item := range job.Items {
		if acquisition := item.acquisition; acquisition != nil {
			d.endAcquisition(acquisition)
			item.Requeue(acquisition.run)
		}
	}
	return executors
}

// AbandonExpired abandons the available items that can no longer be run: the job's terms have expired
// (its route was removed or its retain-s has passed), or the item's attempts are exhausted. It returns
// the number of items abandoned.
func (d *Dispatcher) AbandonExpired(terms func(job *Job) JobTerms, now clock.Instant) int {
	count := 0
	for _, job := range d.Jobs.openJobs() {
		if d.Ending(job) {
			continue
		}
		expired := terms(job).Expired
		job.eachAvailable(func(item *Item) bool {
			// An executor that may own the item may still deliver a complete output, which counts.
			if d.maybeAcquired(item, now) {
				return true
			}
			if expired || (len(item.FailedBy) > 0 && len(item.FailedBy) >= d.Attempts(item)) {
				d.abandon(item, 0, 0)
				count++
			}
			return true
		})
	}
	return count
}

// abandon ends an item with the result that it is abandoned. It returns false if Item.Abandon
// returns false for the item and the run. number is that of the acquisition that caused it, or zero.
func (d *Dispatcher) abandon(item *Item, run int, number uint64) bool {
	if !item.Abandon(run) {
		return false
	}
	d.Counts.Abandoned++
	d.appendResult(item, number, nil, false, true)
	return true
}

// appendResult submits the single terminal record of an item, at the next position of its job.
func (d *Dispatcher) appendResult(item *Item, number uint64, output []byte, compressed, abandoned bool) {
	job := item.Job
	position := len(job.Listings) + job.pendingListings
	job.pendingListings++
	item.closedByAcquisition = number
	item.closingRecordIndex = d.Append(messages.Record{Kind: messages.RecordOutput, Job: job.ID, Item: item.ID,
		Position: position, Abandoned: abandoned, Body: output, Compressed: compressed, Acquisition: number})
}
