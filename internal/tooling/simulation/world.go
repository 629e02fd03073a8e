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
	at       clock.Moment
	order    int
	function func()
}

type events []event

func (queue events) Len() int { return len(queue) }
func (queue events) Less(left, right int) bool {
	if queue[left].at != queue[right].at {
		return queue[left].at < queue[right].at
	}
	return queue[left].order < queue[right].order
}
func (queue events) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }

// Push adds an event.
func (queue *events) Push(one any) { *queue = append(*queue, one.(event)) }

// Pop takes the last.
func (queue *events) Pop() any {
	old := *queue
	one := old[len(old)-1]
	*queue = old[:len(old)-1]
	return one
}

// World is a fake clock with a network that delays, loses, doubles and cuts.
type World struct {
	Random *rand.Rand
	Now    clock.Moment
	queue  events
	order  int
	// Loss and Double are chances for each message.
	Loss, Double float64
	cuts         map[string]bool
	history      []string
}

// NewWorld makes a world whose history depends on its seed alone.
func NewWorld(seed int64) *World {
	return &World{Random: rand.New(rand.NewSource(seed)), cuts: map[string]bool{}}
}

// After runs a function at a later moment.
func (world *World) After(span clock.Span, function func()) {
	world.order++
	heap.Push(&world.queue, event{world.Now.Plus(span), world.order, function})
}

// Cut cuts one direction between two nodes, or joins it.
func (world *World) Cut(from, to string, cut bool) { world.cuts[from+">"+to] = cut }

// Isolate cuts a node off in both directions, or joins it.
func (world *World) Isolate(node string, others []string, cut bool) {
	for _, other := range others {
		world.Cut(node, other, cut)
		world.Cut(other, node, cut)
	}
}

// Send carries a message: the function runs at the receiver, or never, or twice.
func (world *World) Send(from, to string, function func()) {
	copies := 1
	if world.Random.Float64() < world.Loss {
		copies = 0
	} else if world.Random.Float64() < world.Double {
		copies = 2
	}
	for ; copies > 0; copies-- {
		delay := clock.Milliseconds(0.2 + 20*world.Random.Float64()*world.Random.Float64())
		world.After(delay, func() {
			if !world.cuts[from+">"+to] {
				function()
			}
		})
	}
}

// Run plays events until a moment.
func (world *World) Run(until clock.Moment) {
	for len(world.queue) > 0 && world.queue[0].at <= until {
		one := heap.Pop(&world.queue).(event)
		world.Now = one.at
		one.function()
	}
	world.Now = until
}

// Forget drops every event that is still to come.
func (world *World) Forget() { world.queue = nil }

// Note writes a line of history.
func (world *World) Note(format string, values ...any) {
	world.history = append(world.history, fmt.Sprintf("%d ", world.Now)+fmt.Sprintf(format, values...))
}

// Sum names the whole history: the same seed gives the same sum.
func (world *World) Sum() uint64 {
	sum := fnv.New64a()
	for _, line := range world.history {
		sum.Write([]byte(line))
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
