// Package workers is the table of registered workers, with the last known state of each.
// It does no I/O and reads no clock: callers pass in the time. A Registry is not safe for concurrent
// use.
package workers

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// entry is the state of one worker.
type entry struct {
	// worker is the state after the last change. Its CallCount is the version of the state.
	worker messages.Worker
	// lastCallCount is the count of the worker's last call to this process.
	lastCallCount int64
	// lastHeartbeat is the time of the last known heartbeat, lastDirect of the last one that this process
	// received itself.
	lastHeartbeat, lastDirect clock.Instant
	// changeVersion is the table's version at the entry's last change.
	changeVersion uint64
}

// Registry is the table of registered workers. It is soft state: heartbeats and
// merges from other tables rebuild it.
type Registry struct {
	entries         map[string]*entry
	idByHash        map[uint32]string
	heartbeatPeriod clock.Duration
	version         uint64
	sum             uint64
	buckets         buckets
	// overdue has the hashes on the last list of silent workers from a controller, which was received at
	// overdueReportedAt.
	overdue           map[uint32]bool
	overdueReportedAt clock.Instant
	// byService and sorted cache the lists of ByService and Sorted until the next change.
	byService map[string][]messages.Worker
	sorted    []messages.Worker
}

// New returns an empty registry. heartbeat is the period of the workers' heartbeats.
func New(heartbeat clock.Duration) *Registry {
	return &Registry{entries: map[string]*entry{}, idByHash: map[uint32]string{}, heartbeatPeriod: heartbeat, overdue: map[uint32]bool{},
		byService: map[string][]messages.Worker{}}
}

// Merge merges a versioned entry and reports whether it changed the table. The result has the
// description with the highest call count and the latest phase. It doesn't depend on the order or
// the repetition of merges, so all tables converge.
func (r *Registry) Merge(worker messages.Worker, now clock.Instant) bool {
	age := clock.Duration(worker.AgeMs) * 1_000_000
	lastContact := now - clock.Instant(age)
	worker.AgeMs = 0
	current := r.entries[worker.ID]
	if current == nil {
		if age > constants.ForgetAfter {
			// This table has already forgotten the worker, and the sender's has not yet.
			return false
		}
		current = &entry{lastHeartbeat: lastContact}
		r.entries[worker.ID], r.idByHash[Hash(worker.ID)] = current, worker.ID
		r.put(current, worker)
		return true
	}
	previous := current.worker
	if worker.Backend == "" || (worker.CallCount <= previous.CallCount && previous.Backend != "") {
		// The departure of an unknown worker may have no description, and a late entry has an outdated one.
		late := worker
		worker = previous
		worker.CallCount, worker.Phase = max(previous.CallCount, late.CallCount), max(previous.Phase, late.Phase)
	}
	worker.Phase = max(worker.Phase, previous.Phase)
	worker.CallCount = max(worker.CallCount, previous.CallCount)
	current.lastHeartbeat = max(current.lastHeartbeat, lastContact)
	if worker == previous {
		return false
	}
	r.put(current, worker)
	return true
}

// Since returns the workers changed after a version of the table, with their ages, in order of their ids.
func (r *Registry) Since(version uint64, now clock.Instant) []messages.Worker {
	return r.since(version, now, func(string) bool { return true })
}

func (r *Registry) since(version uint64, now clock.Instant, include func(id string) bool) []messages.Worker {
	var changed []messages.Worker
	for id, entry := range r.entries {
		if entry.changeVersion > version && include(id) {
			worker := entry.worker
			worker.AgeMs = r.sinceLastHeartbeat(id, entry, now).Milliseconds()
			changed = append(changed, worker)
		}
	}
	sort.Slice(changed, func(left, right int) bool { return changed[left].ID < changed[right].ID })
	return changed
}

// Get returns a worker by its id, without its age, and reports whether the table contains it.
func (r *Registry) Get(id string) (messages.Worker, bool) {
	entry := r.entries[id]
	if entry == nil {
		return messages.Worker{}, false
	}
	return entry.worker, true
}

// Status is a worker's health as judged by its phase and heartbeats.
type Status int

// The statuses.
const (
	StatusHealthy Status = iota
	// StatusSuspect means that several heartbeats are missing.
	StatusSuspect
	// StatusUnavailable means draining, departed, unknown, or silent for constants.HeartbeatsDeparted periods.
	StatusUnavailable
)

// Status returns the status of a worker. inContact is false if no controller was in contact
// lately: then missing heartbeats are no evidence against a worker.
func (r *Registry) Status(id string, now clock.Instant, inContact bool) Status {
	entry := r.entries[id]
	if entry == nil || entry.worker.Phase != messages.PhaseSteady {
		return StatusUnavailable
	}
	sinceContact := r.sinceLastHeartbeat(id, entry, now)
	switch {
	case !inContact:
		return StatusHealthy
	case sinceContact > constants.HeartbeatsDeparted*r.heartbeatPeriod:
		return StatusUnavailable
	case sinceContact > constants.HeartbeatsSuspect*r.heartbeatPeriod+r.heartbeatPeriod/2:
		return StatusSuspect
	}
	return StatusHealthy
}

// All returns every worker, with its age, in order of the ids.
func (r *Registry) All(now clock.Instant) []messages.Worker { return r.Since(0, now) }

// Sorted returns all workers in order of their ids, without ages. The list is cached until
// the table changes, and must not be modified.
func (r *Registry) Sorted() []messages.Worker {
	if r.sorted == nil {
		r.sorted = make([]messages.Worker, 0, len(r.entries))
		for _, entry := range r.entries {
			r.sorted = append(r.sorted, entry.worker)
		}
		sort.Slice(r.sorted, func(left, right int) bool { return r.sorted[left].ID < r.sorted[right].ID })
	}
	return r.sorted
}

// ByService returns the steady workers of a service, in order of their ids. The list is cached
// until the table changes, and must not be modified.
func (r *Registry) ByService(service string) []messages.Worker {
	list, cached := r.byService[service]
	if cached {
		return list
	}
	for _, entry := range r.entries {
		if entry.worker.Backend == service && entry.worker.Phase == messages.PhaseSteady {
			list = append(list, entry.worker)
		}
	}
	sort.Slice(list, func(left, right int) bool { return list[left].ID < list[right].ID })
	r.byService[service] = list
	return list
}
