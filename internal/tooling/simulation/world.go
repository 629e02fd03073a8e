// Package simulation provides a deterministic environment for tests: a clock, a network with
// partitions, loss, delay and duplication, and disks that lose unsynced data. The same seed
// produces the same history.
package simulation

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand"
	"sort"

	"lemonarch/internal/platform/clock"
)

// event is a function to be called at an instant. order is its sequence number among all events.
type event struct {
	at       clock.Instant
	order    int
	function func()
}

// events is a heap of pending events, the earliest first.
type events []event

// Len returns the number of pending events (heap.Interface).
func (e events) Len() int { return len(e) }

// Less orders events by instant, and events of the same instant in the order in which they were
// added.
func (e events) Less(left, right int) bool {
	if e[left].at != e[right].at {
		return e[left].at < e[right].at
	}
	return e[left].order < e[right].order
}

// Swap swaps two events.
func (e events) Swap(left, right int) { e[left], e[right] = e[right], e[left] }

// Push adds an event.
func (e *events) Push(next any) { *e = append(*e, next.(event)) }

// Pop removes and returns the last event of the slice.
func (e *events) Pop() any {
	old := *e
	next := old[len(old)-1]
	*e = old[:len(old)-1]
	return next
}

// World is a simulated clock and a network that delays, loses and duplicates messages and can be
// partitioned.
type World struct {
	Random *rand.Rand
	Now    clock.Instant
	queue  events
	// order is the sequence number of the last event added.
	order int
	// LossProbability is the probability, 0 to 1, that a message is lost, DuplicateProbability that
	// it is duplicated if it is not lost.
	LossProbability, DuplicateProbability float64
	partitioned                           map[string]bool
	history                               []string
}

// NewWorld returns a world whose history depends only on its seed.
func NewWorld(seed int64) *World {
	return &World{Random: rand.New(rand.NewSource(seed)), partitioned: map[string]bool{}}
}

// After calls a function once a time span has passed.
func (w *World) After(span clock.Duration, function func()) {
	w.order++
	heap.Push(&w.queue, event{w.Now.Add(span), w.order, function})
}

// SetPartitioned cuts or restores the network in one direction between two nodes.
func (w *World) SetPartitioned(from, to string, partitioned bool) {
	w.partitioned[from+">"+to] = partitioned
}

// Isolate cuts or restores the network in both directions between a node and the others.
func (w *World) Isolate(node string, others []string, partitioned bool) {
	for _, peer := range others {
		w.SetPartitioned(node, peer, partitioned)
		w.SetPartitioned(peer, node, partitioned)
	}
}

// Send delivers a message by calling function after a delay: once, twice if the message is
// duplicated, or not at all if it is lost or the direction is partitioned on delivery.
func (w *World) Send(from, to string, function func()) {
	copies := 1
	if w.Random.Float64() < w.LossProbability {
		copies = 0
	} else if w.Random.Float64() < w.DuplicateProbability {
		copies = 2
	}
	for ; copies > 0; copies-- {
		delay := clock.Milliseconds(0.2 + 20*w.Random.Float64()*w.Random.Float64())
		w.After(delay, func() {
			if !w.partitioned[from+">"+to] {
				function()
			}
		})
	}
}

// Run processes all events up to and including an instant, and sets the clock to it.
func (w *World) Run(until clock.Instant) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(event)
		w.Now = next.at
		next.function()
	}
	w.Now = until
}

// DropEvents drops all pending events.
func (w *World) DropEvents() { w.queue = nil }

// Record adds a line, with the time, to the history.
func (w *World) Record(format string, values ...any) {
	w.history = append(w.history, fmt.Sprintf("%d ", w.Now)+fmt.Sprintf(format, values...))
}

// HistoryHash returns a hash of the whole history. The same seed produces the same hash.
func (w *World) HistoryHash() uint64 {
	hash := fnv.New64a()
	for _, line := range w.history {
		hash.Write([]byte(line))
	}
	return hash.Sum64()
}

// SortedKeys returns the sorted keys of a map, so that a history does not depend on the random order
// in which Go iterates over maps.
func SortedKeys[Value any](from map[string]Value) []string {
	keys := make([]string, 0, len(from))
	for key := range from {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
