package broadcast

import (
	"sort"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Backlog is what processes still have to be told after a broadcast did not reach them:
// by process, the configuration and the changes of workers that it has not confirmed.
// A process leaves the backlog once it has confirmed everything, or once the directory
// no longer holds its life (see Due).
type Backlog struct {
	pending map[string]*pending
	// added counts the calls of Add.
	added uint64
}

// pending is what one process has not confirmed.
type pending struct {
	entry      messages.Entry
	generation int64
	workers    map[string]bool
	next       clock.Moment
	pause      clock.Span
	// added is the last Add for this process: what was added after a delivery was made is
	// not confirmed by it.
	added uint64
}

// Delivery is one call that tells a process what it has not confirmed.
type Delivery struct {
	Entry      messages.Entry
	Generation int64
	Workers    []string
	added      uint64
}

// NewBacklog makes an empty backlog.
func NewBacklog() *Backlog { return &Backlog{pending: map[string]*pending{}} }

// Add notes that a process has not confirmed a generation (0 for none) and the changes
// of some workers. It is told once more after a pause.
func (b *Backlog) Add(entry messages.Entry, generation int64, workers []string, pause clock.Span, now clock.Moment) {
	key := membership.Key(entry)
	one := b.pending[key]
	if one == nil || one.entry.Life != entry.Life {
		one = &pending{workers: map[string]bool{}}
		b.pending[key] = one
	}
	one.entry = entry
	one.generation = max(one.generation, generation)
	for _, id := range workers {
		one.workers[id] = true
	}
	b.added++
	one.added = b.added
	one.pause, one.next = constants.BacklogPause, now.Plus(pause)
}

// Due gives the deliveries to be made now. Processes whose life is not in the directory
// any more are dropped; what the directory says of their configurations counts.
func (b *Backlog) Due(directory []messages.Entry, now clock.Moment) []Delivery {
	present := map[string]messages.Entry{}
	for _, entry := range directory {
		present[membership.Key(entry)] = entry
	}
	var due []Delivery
	for _, key := range b.keys() {
		one := b.pending[key]
		entry, found := present[key]
		if !found || entry.Life != one.entry.Life {
			delete(b.pending, key)
			continue
		}
		if entry.Generation >= one.generation {
			one.generation = 0
		}
		if b.settled(key) || now < one.next {
			continue
		}
		one.next, one.pause = now.Plus(one.pause), min(2*one.pause, constants.BacklogPauseMost)
		due = append(due, Delivery{Entry: entry, Generation: one.generation, Workers: sortedKeys(one.workers), added: one.added})
	}
	return due
}

// Confirmed takes the confirmation of a delivery.
func (b *Backlog) Confirmed(delivery Delivery) {
	key := membership.Key(delivery.Entry)
	one := b.pending[key]
	if one == nil || one.entry.Life != delivery.Entry.Life || one.added != delivery.added {
		return
	}
	if one.generation <= delivery.Generation {
		one.generation = 0
	}
	for _, id := range delivery.Workers {
		delete(one.workers, id)
	}
	b.settled(key)
}

// settled drops a process that has confirmed everything.
func (b *Backlog) settled(key string) bool {
	one := b.pending[key]
	if one.generation > 0 || len(one.workers) > 0 {
		return false
	}
	delete(b.pending, key)
	return true
}

// Names gives the processes that have not confirmed everything.
func (b *Backlog) Names() []string { return b.keys() }

func (b *Backlog) keys() []string {
	keys := make([]string, 0, len(b.pending))
	for key := range b.pending {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
