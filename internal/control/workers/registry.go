// Package workers keeps the registered workers and what was last said of them.
// A step function without I/O.
package workers

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

type entry struct {
	// worker holds the last change; its count is the version.
	worker messages.Worker
	// lastCallCount is the count of the last call, lastHeartbeat the last heartbeat known of, lastDirect the
	// last one that was taken here.
	lastCallCount             int64
	lastHeartbeat, lastDirect clock.Instant
	change                    uint64
}

// Registry is the soft state of registration.
type Registry struct {
	entries         map[string]*entry
	idByHash        map[uint32]string
	heartbeatPeriod clock.Duration
	version         uint64
	sum             uint64
	buckets         buckets
	// overdue are the hashes on the last list of silent workers, confirmed its instant.
	overdue   map[uint32]bool
	confirmed clock.Instant
	// byService are the lists by service and sorted all of them, empty after a change.
	byService map[string][]messages.Worker
	sorted    []messages.Worker
}

// New makes an empty registry.
func New(heartbeat clock.Duration) *Registry {
	return &Registry{entries: map[string]*entry{}, idByHash: map[uint32]string{}, heartbeatPeriod: heartbeat, overdue: map[uint32]bool{},
		byService: map[string][]messages.Worker{}}
}

// Merge takes a versioned entry and tells whether it changed the table. Entries join:
// the description of the highest count and the furthest phase win, in whatever order
// and however often they come, so that all tables end alike.
func (r *Registry) Merge(worker messages.Worker, now clock.Instant) bool {
	age := clock.Duration(worker.AgeMs) * 1_000_000
	lastContact := now - clock.Instant(age)
	worker.AgeMs = 0
	have := r.entries[worker.ID]
	if have == nil {
		if age > constants.ForgetAfter {
			// Forgotten here, and not yet where it comes from.
			return false
		}
		have = &entry{lastHeartbeat: lastContact}
		r.entries[worker.ID], r.idByHash[Hash(worker.ID)] = have, worker.ID
		r.put(have, worker)
		return true
	}
	was := have.worker
	if worker.Backend == "" || (worker.CallCount <= was.CallCount && was.Backend != "") {
		// A departure carries no description, and what is late has an old one.
		late := worker
		worker = was
		worker.CallCount, worker.Phase = max(was.CallCount, late.CallCount), max(was.Phase, late.Phase)
	}
	worker.Phase = max(worker.Phase, was.Phase)
	worker.CallCount = max(worker.CallCount, was.CallCount)
	have.lastHeartbeat = max(have.lastHeartbeat, lastContact)
	if worker == was {
		return false
	}
	r.put(have, worker)
	return true
}

// Since gives the workers changed after a count, aged.
func (r *Registry) Since(version uint64, now clock.Instant) []messages.Worker {
	return r.since(version, now, func(string) bool { return true })
}

func (r *Registry) since(version uint64, now clock.Instant, wanted func(id string) bool) []messages.Worker {
	var found []messages.Worker
	for id, entry := range r.entries {
		if entry.change > version && wanted(id) {
			worker := entry.worker
			worker.AgeMs = r.sinceLastHeartbeat(id, entry, now).Milliseconds()
			found = append(found, worker)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].ID < found[right].ID })
	return found
}

// Get finds a worker.
func (r *Registry) Get(id string) (messages.Worker, bool) {
	entry := r.entries[id]
	if entry == nil {
		return messages.Worker{}, false
	}
	return entry.worker, true
}

// Status is how a worker looks by its heartbeats.
type Status int

// The statuses.
const (
	StatusHealthy Status = iota
	// StatusSuspect: several heartbeats are missing.
	StatusSuspect
	// StatusUnavailable: draining, departed, or silent for long.
	StatusUnavailable
)

// Status judges a worker. listening is false while no controller was in contact
// lately: then silence says nothing about the workers.
func (r *Registry) Status(id string, now clock.Instant, listening bool) Status {
	entry := r.entries[id]
	if entry == nil || entry.worker.Phase != messages.PhaseSteady {
		return StatusUnavailable
	}
	sinceContact := r.sinceLastHeartbeat(id, entry, now)
	switch {
	case !listening:
		return StatusHealthy
	case sinceContact > constants.HeartbeatsDeparted*r.heartbeatPeriod:
		return StatusUnavailable
	case sinceContact > constants.HeartbeatsSuspect*r.heartbeatPeriod+r.heartbeatPeriod/2:
		return StatusSuspect
	}
	return StatusHealthy
}

// All gives every worker, aged, in order.
func (r *Registry) All(now clock.Instant) []messages.Worker { return r.Since(0, now) }

// Sorted gives all workers in order of their ids, without ages. The list is kept until
// the table changes, and must not be written to.
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

// ByService gives the steady workers of a service, in order of their ids. The list is kept
// until the table changes, and must not be written to.
func (r *Registry) ByService(service string) []messages.Worker {
	found, retained := r.byService[service]
	if retained {
		return found
	}
	for _, entry := range r.entries {
		if entry.worker.Backend == service && entry.worker.Phase == messages.PhaseSteady {
			found = append(found, entry.worker)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].ID < found[right].ID })
	r.byService[service] = found
	return found
}
