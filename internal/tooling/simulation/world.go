// Package simulation is a seeded world for tests: a clock, a network with cuts, loss, delay and
// duplication, and disks that lose what was not synced. One seed repeats one history.
package simulation

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand"
	"sort"

	"lemonarch/internal/platform/clock"
)

type event struct {
	at       clock.Instant
	order    int
	function func()
}

type events []event

// Len is how many events wait (heap.Interface).
func (e events) Len() int { return len(e) }

// Less orders events by instant, and those of one instant as they were added.
func (e events) Less(left, right int) bool {
	if e[left].at != e[right].at {
		return e[left].at < e[right].at
	}
	return e[left].order < e[right].order
}

// Swap exchanges two.
func (e events) Swap(left, right int) { e[left], e[right] = e[right], e[left] }

// Push adds an event.
func (e *events) Push(item any) { *e = append(*e, item.(event)) }

// Pop takes the last.
func (e *events) Pop() any {
	old := *e
	next := old[len(old)-1]
	*e = old[:len(old)-1]
	return next
}

// World is a fake clock with a network that delays, loses, doubles and cuts.
type World struct {
	Random *rand.Rand
	Now    clock.Instant
	queue  events
	order  int
	// Loss and Double are chances for each message.
	Loss, Double float64
	partitioned  map[string]bool
	history      []string
}

// NewWorld makes a world whose history depends on its seed alone.
func NewWorld(seed int64) *World {
	return &World{Random: rand.New(rand.NewSource(seed)), partitioned: map[string]bool{}}
}

// After runs a function at a later moment.
func (w *World) After(span clock.Duration, function func()) {
	w.order++
	heap.Push(&w.queue, event{w.Now.Add(span), w.order, function})
}

// SetPartitioned cuts one direction between two nodes, or joins it.
func (w *World) SetPartitioned(from, to string, partitioned bool) {
	w.partitioned[from+">"+to] = partitioned
}

// Isolate cuts a node off in both directions, or joins it.
func (w *World) Isolate(node string, others []string, partitioned bool) {
	for _, other := range others {
		w.SetPartitioned(node, other, partitioned)
		w.SetPartitioned(other, node, partitioned)
	}
}

// Send carries a message: the function runs at the receiver, or never, or twice.
func (w *World) Send(from, to string, function func()) {
	copies := 1
	if w.Random.Float64() < w.Loss {
		copies = 0
	} else if w.Random.Float64() < w.Double {
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

// Run plays events until a moment.
func (w *World) Run(until clock.Instant) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(event)
		w.Now = next.at
		next.function()
	}
	w.Now = until
}

// Forget drops every event that is still to come.
func (w *World) Forget() { w.queue = nil }

// Record writes a line of history.
func (w *World) Record(format string, values ...any) {
	w.history = append(w.history, fmt.Sprintf("%d ", w.Now)+fmt.Sprintf(format, values...))
}

// Sum names the whole history: the same seed gives the same sum.
func (w *World) Sum() uint64 {
	sum := fnv.New64a()
	for _, text := range w.history {
		sum.Write([]byte(text))
	}
	return sum.Sum64()
}

// Keys gives the keys of a map in order, so that no history depends on chance.
func Keys[Value any](from map[string]Value) []string {
	keys := make([]string, 0, len(from))
	for key := range from {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
