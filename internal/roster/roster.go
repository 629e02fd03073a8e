// Package roster keeps the registered workers and what was last said of them.
// A step function without I/O.
package roster

import (
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

type known struct {
	// worker holds the last change; its count is the version.
	worker pattern.Worker
	// latest is the count of the last call, heard the last beat known of, direct the
	// last one that was taken here.
	latest        int64
	heard, direct watch.Moment
	change        uint64
}

// Roster is the soft state of registration.
type Roster struct {
	workers   map[string]*known
	marks     map[uint32]string
	heartbeat watch.Span
	clock     uint64
	sum       uint64
	// overdue are the marks on the last list of silent workers, confirmed its moment.
	overdue   map[uint32]bool
	confirmed watch.Moment
	// named are the lists by service and entries all, empty after a change.
	named   map[string][]pattern.Worker
	entries []pattern.Worker
}

// New makes an empty roster.
func New(heartbeat watch.Span) *Roster {
	return &Roster{workers: map[string]*known{}, marks: map[uint32]string{}, heartbeat: heartbeat, overdue: map[uint32]bool{},
		named: map[string][]pattern.Worker{}}
}

// Merge takes a versioned entry and tells whether it changed the table. Entries join:
// the description of the highest count and the furthest phase win, in whatever order
// and however often they come, so that all tables end alike.
func (roster *Roster) Merge(worker pattern.Worker, now watch.Moment) bool {
	age := watch.Span(worker.AgeMs) * 1_000_000
	heard := now - watch.Moment(age)
	worker.AgeMs = 0
	have := roster.workers[worker.ID]
	if have == nil {
		if age > almanac.ForgetAfter {
			// Forgotten here, and not yet where it comes from.
			return false
		}
		have = &known{heard: heard}
		roster.workers[worker.ID], roster.marks[MarkOf(worker.ID)] = have, worker.ID
		roster.put(have, worker)
		return true
	}
	was := have.worker
	if worker.Backend == "" || (worker.Count <= was.Count && was.Backend != "") {
		// A departure carries no description, and what is late has an old one.
		late := worker
		worker = was
		worker.Count, worker.Phase = max(was.Count, late.Count), max(was.Phase, late.Phase)
	}
	worker.Phase = max(worker.Phase, was.Phase)
	worker.Count = max(worker.Count, was.Count)
	have.heard = max(have.heard, heard)
	if worker == was {
		return false
	}
	roster.put(have, worker)
	return true
}

// Since gives the workers changed after a count, aged.
func (roster *Roster) Since(clock uint64, now watch.Moment) []pattern.Worker {
	var found []pattern.Worker
	for id, have := range roster.workers {
		if have.change > clock {
			worker := have.worker
			worker.AgeMs = roster.silence(id, have, now).Milliseconds()
			found = append(found, worker)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].ID < found[right].ID })
	return found
}

// Get finds a worker.
func (roster *Roster) Get(id string) (pattern.Worker, bool) {
	have := roster.workers[id]
	if have == nil {
		return pattern.Worker{}, false
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

// Standing judges a worker. listening is false while no foreman was heard from
// lately: then silence says nothing about the workers.
func (roster *Roster) Standing(id string, now watch.Moment, listening bool) Standing {
	have := roster.workers[id]
	if have == nil || have.worker.Phase != pattern.PhaseSteady {
		return StandingOut
	}
	silence := roster.silence(id, have, now)
	switch {
	case !listening:
		return StandingGood
	case silence > almanac.BeatsGone*roster.heartbeat:
		return StandingOut
	case silence > almanac.BeatsMissed*roster.heartbeat+roster.heartbeat/2:
		return StandingSuspect
	}
	return StandingGood
}

// All gives every worker, aged, in order.
func (roster *Roster) All(now watch.Moment) []pattern.Worker { return roster.Since(0, now) }

// Entries gives all workers in order of their ids, without ages. The list is kept until
// the table changes, and must not be written to.
func (roster *Roster) Entries() []pattern.Worker {
	if roster.entries == nil {
		roster.entries = make([]pattern.Worker, 0, len(roster.workers))
		for _, have := range roster.workers {
			roster.entries = append(roster.entries, have.worker)
		}
		sort.Slice(roster.entries, func(left, right int) bool { return roster.entries[left].ID < roster.entries[right].ID })
	}
	return roster.entries
}

// Named gives the steady workers of a service, in order of their ids. The list is kept
// until the table changes, and must not be written to.
func (roster *Roster) Named(service string) []pattern.Worker {
	found, kept := roster.named[service]
	if kept {
		return found
	}
	for _, have := range roster.workers {
		if have.worker.Backend == service && have.worker.Phase == pattern.PhaseSteady {
			found = append(found, have.worker)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].ID < found[right].ID })
	roster.named[service] = found
	return found
}
