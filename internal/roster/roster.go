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
	worker pattern.Worker
	heard  watch.Moment
	change uint64
}

// Roster is the soft state of registration.
type Roster struct {
	workers   map[string]*known
	heartbeat watch.Span
	clock     uint64
}

// New makes an empty roster.
func New(heartbeat watch.Span) *Roster {
	return &Roster{workers: map[string]*known{}, heartbeat: heartbeat}
}

// Merge takes word of a worker and tells whether anything but its age is new.
// What is late is known by its count; a life's phase never goes back.
func (roster *Roster) Merge(worker pattern.Worker, now watch.Moment) bool {
	heard := now - watch.Moment(worker.AgeMs)*1_000_000
	worker.AgeMs = 0
	have := roster.workers[worker.ID]
	if have == nil {
		roster.clock++
		roster.workers[worker.ID] = &known{worker: worker, heard: heard, change: roster.clock}
		return true
	}
	if worker.Phase < have.worker.Phase {
		worker.Phase = have.worker.Phase
	}
	if worker.Count <= have.worker.Count {
		if worker.Phase > have.worker.Phase {
			// Two calls crossed: the end is kept, whatever its count.
			have.worker.Phase = worker.Phase
			roster.clock++
			have.change = roster.clock
			return true
		}
		return false
	}
	if worker.Backend == "" {
		// A departure carries no description.
		kept := have.worker
		kept.Count, kept.Phase = worker.Count, worker.Phase
		worker = kept
	}
	changed := worker.Phase != have.worker.Phase || worker.Address != have.worker.Address || worker.Backend != have.worker.Backend || worker.Capacity != have.worker.Capacity
	have.worker, have.heard = worker, max(have.heard, heard)
	roster.clock++
	have.change = roster.clock
	return changed
}

// Clock counts the changes, beats included.
func (roster *Roster) Clock() uint64 { return roster.clock }

// Since gives the workers changed after a count, aged.
func (roster *Roster) Since(clock uint64, now watch.Moment) []pattern.Worker {
	var found []pattern.Worker
	for _, have := range roster.workers {
		if have.change > clock {
			worker := have.worker
			worker.AgeMs = now.Since(have.heard).Milliseconds()
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
	silence := now.Since(have.heard)
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

// Forget drops what was gone for long.
func (roster *Roster) Forget(now watch.Moment) {
	for id, have := range roster.workers {
		if now.Since(have.heard) > almanac.ForgetAfter {
			delete(roster.workers, id)
		}
	}
}

// All gives every worker, aged, in order.
func (roster *Roster) All(now watch.Moment) []pattern.Worker { return roster.Since(0, now) }

// Named gives the workers of a service, in order of their ids.
func (roster *Roster) Named(service string) []pattern.Worker {
	var found []pattern.Worker
	for _, have := range roster.workers {
		if have.worker.Backend == service && have.worker.Phase == pattern.PhaseSteady {
			found = append(found, have.worker)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].ID < found[right].ID })
	return found
}
