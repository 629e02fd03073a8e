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
// no longer holds its incarnation (see Due).
type Backlog struct {
	nodes map[string]*undelivered
	// added counts the calls of Add.
	added uint64
}

// undelivered is what one process has not confirmed.
type undelivered struct {
	entry      messages.NodeInfo
	generation int64
	workers    map[string]bool
	next       clock.Instant
	backoff    clock.Duration
	// added is the last Add for this process: what was added after a delivery was made is
	// not confirmed by it.
	added uint64
}

// Delivery is one call that tells a process what it has not confirmed.
type Delivery struct {
	Entry      messages.NodeInfo
	Generation int64
	Workers    []string
	added      uint64
}

// NewBacklog makes an empty backlog.
func NewBacklog() *Backlog { return &Backlog{nodes: map[string]*undelivered{}} }

// Add notes that a process has not confirmed a generation (0 for none) and the changes
// of some workers. It is told once more after a pause.
func (b *Backlog) Add(entry messages.NodeInfo, generation int64, workers []string, backoff clock.Duration, now clock.Instant) {
	key := membership.Key(entry)
	p := b.nodes[key]
	if p == nil || p.entry.Incarnation != entry.Incarnation {
		p = &undelivered{workers: map[string]bool{}}
		b.nodes[key] = p
	}
	p.entry = entry
	p.generation = max(p.generation, generation)
	for _, id := range workers {
		p.workers[id] = true
	}
	b.added++
	p.added = b.added
	p.backoff, p.next = constants.BacklogBackoff, now.Add(backoff)
}

// Due gives the deliveries to be made now. Processes whose incarnation is not in the directory
// any more are dropped; what the directory says of their configurations counts.
func (b *Backlog) Due(directory []messages.NodeInfo, now clock.Instant) []Delivery {
	present := map[string]messages.NodeInfo{}
	for _, entry := range directory {
		present[membership.Key(entry)] = entry
	}
	var due []Delivery
	for _, key := range b.keys() {
		pending := b.nodes[key]
		entry, found := present[key]
		if !found || entry.Incarnation != pending.entry.Incarnation {
			delete(b.nodes, key)
			continue
		}
		if entry.Generation >= pending.generation {
			pending.generation = 0
		}
		if b.dropIfConfirmed(key) || now < pending.next {
			continue
		}
		pending.next, pending.backoff = now.Add(pending.backoff), min(2*pending.backoff, constants.BacklogBackoffMax)
		due = append(due, Delivery{Entry: entry, Generation: pending.generation, Workers: sortedKeys(pending.workers), added: pending.added})
	}
	return due
}

// Confirmed takes the confirmation of a delivery.
func (b *Backlog) Confirmed(delivery Delivery) {
	key := membership.Key(delivery.Entry)
	pending := b.nodes[key]
	if pending == nil || pending.entry.Incarnation != delivery.Entry.Incarnation || pending.added != delivery.added {
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

// dropIfConfirmed drops a process that has confirmed everything.
func (b *Backlog) dropIfConfirmed(key string) bool {
	pending := b.nodes[key]
	if pending.generation > 0 || len(pending.workers) > 0 {
		return false
	}
	delete(b.nodes, key)
	return true
}

// Names gives the processes that have not confirmed everything.
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
