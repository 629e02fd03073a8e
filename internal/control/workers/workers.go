// Package workers keeps the registered workers and what was last said of them.
// A step function without I/O.
package workers

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

type known struct {
	// worker holds the last change; its count is the version.
	worker messages.Worker
	// latest is the count of the last call, heard the last beat known of, direct the
	// last one that was taken here.
	latest        int64
	heard, direct clock.Instant
	change        uint64
}

// Registry is the soft state of registration.
type Registry struct {
	workerList map[string]*known
	marks      map[uint32]string
	heartbeat  clock.Duration
	clockValue uint64
	sum        uint64
	// overdue are the marks on the last list of silent workers, confirmed its moment.
	overdue   map[uint32]bool
	confirmed clock.Instant
	// named are the lists by service and entries all, empty after a change.
	named   map[string][]messages.Worker
	entries []messages.Worker
}

// New makes an empty workers.
func New(heartbeat clock.Duration) *Registry {
	return &Registry{workerList: map[string]*known{}, marks: map[uint32]string{}, heartbeat: heartbeat, overdue: map[uint32]bool{},
		named: map[string][]messages.Worker{}}
}

// Merge takes a versioned entry and tells whether it changed the table. Entries join:
// the description of the highest count and the furthest phase win, in whatever order
// and however often they come, so that all tables end alike.
func (r *Registry) Merge(worker messages.Worker, now clock.Instant) bool {
	age := clock.Duration(worker.AgeMs) * 1_000_000
	heard := now - clock.Instant(age)
	worker.AgeMs = 0
	have := r.workerList[worker.ID]
	if have == nil {
		if age > constants.ForgetAfter {
			// Forgotten here, and not yet where it comes from.
			return false
		}
		have = &known{heard: heard}
		r.workerList[worker.ID], r.marks[MarkOf(worker.ID)] = have, worker.ID
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
	have.heard = max(have.heard, heard)
	if worker == was {
		return false
	}
	r.put(have, worker)
	return true
}

// Since gives the workers changed after a count, aged.
func (r *Registry) Since(clockValue uint64, now clock.Instant) []messages.Worker {
	var found []messages.Worker
	for id, have := range r.workerList {
		if have.change > clockValue {
			worker := have.worker
			worker.AgeMs = r.silence(id, have, now).Milliseconds()
			found = append(found, worker)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].ID < found[right].ID })
	return found
}

// Get finds a worker.
func (r *Registry) Get(id string) (messages.Worker, bool) {
	have := r.workerList[id]
	if have == nil {
		return messages.Worker{}, false
	}
	return have.worker, true
}

// Standing is how a worker looks by its heartbeats.
type Standing int

// The standings.
const (
	StandingGood Standing = iota
	// StandingSuspect: several heartbeats are missing.
	StandingSuspect
	// StandingOut: draining, gone, or silent for long.
	StandingOut
)

// Standing judges a worker. listening is false while no controller was heard from
// lately: then silence says nothing about the workers.
func (r *Registry) Standing(id string, now clock.Instant, listening bool) Standing {
	have := r.workerList[id]
	if have == nil || have.worker.Phase != messages.PhaseSteady {
		return StandingOut
	}
	silence := r.silence(id, have, now)
	switch {
	case !listening:
		return StandingGood
	case silence > constants.HeartbeatsDeparted*r.heartbeat:
		return StandingOut
	case silence > constants.HeartbeatsSuspect*r.heartbeat+r.heartbeat/2:
		return StandingSuspect
	}
	return StandingGood
}

// All gives every worker, aged, in order.
func (r *Registry) All(now clock.Instant) []messages.Worker { return r.Since(0, now) }

// Entries gives all workers in order of their ids, without ages. The list is kept until
// the table changes, and must not be written to.
func (r *Registry) Entries() []messages.Worker {
	if r.entries == nil {
		r.entries = make([]messages.Worker, 0, len(r.workerList))
		for _, have := range r.workerList {
			r.entries = append(r.entries, have.worker)
		}
		sort.Slice(r.entries, func(left, right int) bool { return r.entries[left].ID < r.entries[right].ID })
	}
	return r.entries
}

// Named gives the steady workers of a service, in order of their ids. The list is kept
// until the table changes, and must not be written to.
func (r *Registry) Named(service string) []messages.Worker {
	found, kept := r.named[service]
	if kept {
		return found
	}
	for _, have := range r.workerList {
		if have.worker.Backend == service && have.worker.Phase == messages.PhaseSteady {
			found = append(found, have.worker)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].ID < found[right].ID })
	r.named[service] = found
	return found
}
