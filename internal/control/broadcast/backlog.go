package broadcast

import (
	"sort"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Backlog stores the updates that processes have not confirmed after a broadcast: for each process,
// the configuration and the worker changes that are outstanding. A process is removed once it
// has confirmed everything, or once its incarnation is no longer in the directory (see Due).
type Backlog struct {
	// nodes is keyed by membership.Key.
	nodes map[string]*undelivered
	// addCount is the number of calls of Add.
	addCount uint64
}

// undelivered lists the updates that one process has not confirmed.
type undelivered struct {
	entry       messages.NodeInfo
	generation  int64
	workers     map[string]bool
	nextAttempt clock.Instant
	backoff     clock.Duration
	// lastAdd is the number of the last Add for this process. A confirmation of a delivery that was
	// made before that Add is ignored, because it does not cover what was added since.
	lastAdd uint64
}

// Delivery is one attempt to send a process the updates that it has not confirmed.
type Delivery struct {
	Entry      messages.NodeInfo
	Generation int64
	Workers    []string
	lastAdd    uint64
}

// NewBacklog returns an empty backlog.
func NewBacklog() *Backlog { return &Backlog{nodes: map[string]*undelivered{}} }

// Add records that a process has not confirmed a generation (0 for none) and the changes of some
// workers. The first retry is due after backoff.
func (b *Backlog) Add(entry messages.NodeInfo, generation int64, workers []string, backoff clock.Duration, now clock.Instant) {
	key := membership.Key(entry)
	pending := b.nodes[key]
	if pending == nil || pending.entry.Incarnation != entry.Incarnation {
		pending = &undelivered{workers: map[string]bool{}}
		b.nodes[key] = pending
	}
	pending.entry = entry
	pending.generation = max(pending.generation, generation)
	for _, id := range workers {
		pending.workers[id] = true
	}
	b.addCount++
	pending.lastAdd = b.addCount
	pending.backoff, pending.nextAttempt = constants.BacklogBackoff, now.Add(backoff)
}

// Due returns the deliveries to make now and schedules the next attempt of each with exponential
// backoff. A process whose incarnation is no longer in the directory is removed, and a
// generation that the directory lists for a process counts as confirmed.
func (b *Backlog) Due(directory []messages.NodeInfo, now clock.Instant) []Delivery {
	current := map[string]messages.NodeInfo{}
	for _, entry := range directory {
		current[membership.Key(entry)] = entry
	}
	var due []Delivery
	for _, key := range b.keys() {
		pending := b.nodes[key]
		entry, found := current[key]
		if !found || entry.Incarnation != pending.entry.Incarnation {
			delete(b.nodes, key)
			continue
		}
		if entry.Generation >= pending.generation {
			pending.generation = 0
		}
		if b.dropIfConfirmed(key) || now < pending.nextAttempt {
			continue
		}
		pending.nextAttempt, pending.backoff = now.Add(pending.backoff), min(2*pending.backoff, constants.BacklogBackoffMax)
		due = append(due, Delivery{Entry: entry, Generation: pending.generation, Workers: sortedKeys(pending.workers), lastAdd: pending.lastAdd})
	}
	return due
}

// Confirmed handles the confirmation of a delivery. It has no effect if something was added for the
// process after the delivery was made.
func (b *Backlog) Confirmed(delivery Delivery) {
	key := membership.Key(delivery.Entry)
	pending := b.nodes[key]
	if pending == nil || pending.entry.Incarnation != delivery.Entry.Incarnation || pending.lastAdd != delivery.lastAdd {
		return
	}
	if pending.generation <= delivery.Generation {
		pending.generation = 0
	}
	for _, id := range delivery.Workers {
		delete(pending.workers, id)
	}
	b.dropIfConfirmed(key)
}

// dropIfConfirmed removes a process that has confirmed everything, and reports whether it did.
func (b *Backlog) dropIfConfirmed(key string) bool {
	pending := b.nodes[key]
	if pending.generation > 0 || len(pending.workers) > 0 {
		return false
	}
	delete(b.nodes, key)
	return true
}

// Names returns the keys of the processes that have not confirmed everything, sorted.
func (b *Backlog) Names() []string { return b.keys() }

func (b *Backlog) keys() []string {
	keys := make([]string, 0, len(b.nodes))
	for key := range b.nodes {
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
