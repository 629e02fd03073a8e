package dispatch

import (
	"strings"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// JobTerms is what the configuration says of a job at this moment.
type JobTerms struct {
	// Due is when its results are due, in ms of the time of day.
	Due int64
	// Overdue: it can't be in time any more, however soon it is run.
	Overdue bool
	// Expired: its route is gone, or its retain-s has passed.
	Expired bool
}

// AcquireOptions is what an executor asks for.
type AcquireOptions struct {
	Executor Executor
	// Capacity is how many free slots the executor has at each service.
	Capacity map[string]int
	// Terms gives the terms of a job, Service the service of an item.
	Terms   func(job *Job) JobTerms
	Service func(item *Item) string
}

// prefixOwner is the executor that a shared prefix was handed to last.
type prefixOwner struct {
	executor string
	at       clock.Instant
}

// candidatesPerSlot is how many candidates are weighed for each place (ours): among
// those due soonest, items whose shared prefix the executor has come first.
const candidatesPerSlot = 4

// prefixOwnersLimit bounds what is remembered of prefixes (ours).
const prefixOwnersLimit = 4096

// Acquire hands out items by due time, those that can still be in time first, and
// among those due soonest the ones whose shared prefix the executor had before.
func (d *Dispatcher) Acquire(options *AcquireOptions, now clock.Instant) []*Acquisition {
	if d.RegisterExecutor(options.Executor) > 0 {
		return nil
	}
	freeCapacity := 0
	for _, count := range options.Capacity {
		freeCapacity += count
	}
	var taken []*Acquisition
	bytes := int64(0)
	order := d.rank(options.Terms, now)
	for _, part := range [][]dueJob{order.inTime, order.overdue} {
		if freeCapacity == 0 {
			break
		}
		for _, item := range d.candidates(part, options, freeCapacity*candidatesPerSlot, now) {
			if freeCapacity == 0 || bytes >= constants.AcquireBytes {
				return taken
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
			taken = append(taken, acquisition)
		}
	}
	return taken
}

// candidates gives the free items due soonest, the executor's own prefixes first, so
// that shared parts are read by few workers. No item is kept for an executor: a place
// that stands empty meanwhile cost more than the reading (measured).
func (d *Dispatcher) candidates(jobs []dueJob, options *AcquireOptions, limit int, now clock.Instant) []*Item {
	var first, own, others []*Item
	found := func() int { return len(first) + len(own) + len(others) }
	for _, job := range jobs {
		if found() >= limit {
			break
		}
		if !d.mayDispatch(job.job, options, now) {
			continue
		}
		job.job.eachAvailable(func(item *Item) bool {
			if !d.available(item, now) {
				return true
			}
			if item.skippedSince == 0 {
				item.skippedSince = now
			}
			switch at, known := d.prefixOwners[prefixOf(item)]; {
			case now.Sub(item.skippedSince) >= constants.PrefixWait:
				// Passed over long enough: the executor that has its prefix may have no free slot.
				first = append(first, item)
			case known && at.executor == options.Executor.Name:
				own = append(own, item)
			default:
				others = append(others, item)
			}
			return found() < limit
		})
	}
	return append(append(first, own...), others...)
}

// mayDispatch tells whether items of a job may be handed out now.
func (d *Dispatcher) mayDispatch(job *Job, options *AcquireOptions, now clock.Instant) bool {
	if job.available.count == 0 || !job.Open() || d.Jobs.Job(job.ID) != job || d.Ending(job) {
		return false
	}
	if job.Index < d.firstIndex && now < d.uncertainUntil {
		return false
	}
	return !options.Terms(job).Expired
}

func (d *Dispatcher) assignPrefix(item *Item, executor string, now clock.Instant) {
	prefix := prefixOf(item)
	if prefix == "" {
		return
	}
	if len(d.prefixOwners) >= prefixOwnersLimit {
		d.prefixOwners = map[string]prefixOwner{}
	}
	at, known := d.prefixOwners[prefix]
	if !known || at.executor == executor || now.Sub(at.at) >= constants.PrefixStale {
		d.prefixOwners[prefix] = prefixOwner{executor, now}
	}
}

// prefixOf names the shared part of an item's prompt: all parts but its own last.
func prefixOf(item *Item) string {
	parts := item.Headers["Lemonarch-Prompt-Prefix"]
	at := strings.LastIndexByte(parts, ',')
	if at < 0 {
		return ""
	}
	return parts[:at]
}
