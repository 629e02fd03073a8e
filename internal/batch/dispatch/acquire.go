package dispatch

import (
	"strings"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// JobTerms is the scheduling state of a job under the current configuration.
type JobTerms struct {
	// Due is when the job's results are due, in milliseconds of wall-clock time.
	Due int64
	// Overdue reports whether the job can no longer meet its due time, however soon it runs.
	Overdue bool
	// Expired reports whether the job's route was removed or its retain-s has passed.
	Expired bool
}

// AcquireOptions are the parameters of an executor's acquire request.
type AcquireOptions struct {
	Executor Executor
	// Capacity is the number of free slots of the executor, by service. Acquire decrements it.
	Capacity map[string]int
	// Terms returns the current terms of a job.
	Terms func(job *Job) JobTerms
	// Service returns the service that runs an item.
	Service func(item *Item) string
}

// prefixOwner is the executor that owns a shared prefix, and when it last acquired an item with it.
type prefixOwner struct {
	executor   string
	assignedAt clock.Instant
}

// candidatesPerSlot is how many candidates are considered for each free slot. They are the items due
// soonest; among them, items whose shared prefix the executor already has come first.
const candidatesPerSlot = 4

// prefixOwnersLimit bounds the number of entries in Dispatcher.prefixOwners, which is cleared when full.
const prefixOwnersLimit = 4096

// Acquire dispatches items in order of due time, jobs that can still meet theirs first. Among the
// items due soonest it prefers those whose shared prefix the executor acquired before. It stops
// once the inputs of the items reach constants.AcquireBytes, and returns nil while the executor's
// registration is not durable.
func (d *Dispatcher) Acquire(options *AcquireOptions, now clock.Instant) []*Acquisition {
	if d.RegisterExecutor(options.Executor) > 0 {
		return nil
	}
	freeCapacity := 0
	for _, count := range options.Capacity {
		freeCapacity += count
	}
	var acquired []*Acquisition
	bytes := int64(0)
	order := d.rank(options.Terms, now)
	for _, jobs := range [][]dueJob{order.inTime, order.overdue} {
		if freeCapacity == 0 {
			break
		}
		for _, item := range d.candidates(jobs, options, freeCapacity*candidatesPerSlot, now) {
			if freeCapacity == 0 || bytes >= constants.AcquireBytes {
				return acquired
			}
			service := options.Service(item)
			if options.Capacity[service] == 0 {
				continue
			}
			acquisition := d.grant(item, options.Executor, 0, now)
			if acquisition == nil {
				continue
			}
			options.Capacity[service]--
			freeCapacity--
			bytes += item.InputBytes()
			d.Counts.Deliveries++
			d.assignPrefix(item, options.Executor.Name, now)
			acquired = append(acquired, acquisition)
		}
	}
	return acquired
}

// candidates returns the available items due soonest, at most limit of them. Items that have waited for
// PrefixWait come first, then those whose prefix the executor owns, so that few workers compute each
// shared prefix.
// No item is reserved for an executor: leaving a slot idle costs more than computing the prefix again.
func (d *Dispatcher) candidates(jobs []dueJob, options *AcquireOptions, limit int, now clock.Instant) []*Item {
	var skippedLong, ownPrefix, others []*Item
	count := func() int { return len(skippedLong) + len(ownPrefix) + len(others) }
	for _, due := range jobs {
		if count() >= limit {
			break
		}
		if !d.mayDispatch(due.job, options, now) {
			continue
		}
		due.job.eachAvailable(func(item *Item) bool {
			if !d.available(item, now) {
				return true
			}
			if item.skippedSince == 0 {
				item.skippedSince = now
			}
			switch owner, known := d.prefixOwners[sharedPrefixOf(item)]; {
			case now.Sub(item.skippedSince) >= constants.PrefixWait:
				// The item has been skipped for long enough: the executor that owns its prefix may have no free slot.
				skippedLong = append(skippedLong, item)
			case known && owner.executor == options.Executor.Name:
				ownPrefix = append(ownPrefix, item)
			default:
				others = append(others, item)
			}
			return count() < limit
		})
	}
	return append(append(skippedLong, ownPrefix...), others...)
}

// mayDispatch reports whether items of a job may be dispatched now.
func (d *Dispatcher) mayDispatch(job *Job, options *AcquireOptions, now clock.Instant) bool {
	if job.available.count == 0 || !job.Open() || d.Jobs.Job(job.ID) != job || d.Ending(job) {
		return false
	}
	if job.Index < d.firstIndex && now < d.uncertainUntil {
		return false
	}
	return !options.Terms(job).Expired
}

// assignPrefix makes an executor the owner of an item's shared prefix, unless another executor owns
// the prefix and acquired an item with it within PrefixStale.
func (d *Dispatcher) assignPrefix(item *Item, executor string, now clock.Instant) {
	prefix := sharedPrefixOf(item)
	if prefix == "" {
		return
	}
	if len(d.prefixOwners) >= prefixOwnersLimit {
		d.prefixOwners = map[string]prefixOwner{}
	}
	owner, known := d.prefixOwners[prefix]
	if !known || owner.executor == executor || now.Sub(owner.assignedAt) >= constants.PrefixStale {
		d.prefixOwners[prefix] = prefixOwner{executor, now}
	}
}

// sharedPrefixOf returns the shared part of an item's prompt prefix: every segment but the last,
// which is the item's own. It returns an empty string if there is no shared segment.
func sharedPrefixOf(item *Item) string {
	segments := item.Headers["Lemonarch-Prompt-Prefix"]
	comma := strings.LastIndexByte(segments, ',')
	if comma < 0 {
		return ""
	}
	return segments[:comma]
}
