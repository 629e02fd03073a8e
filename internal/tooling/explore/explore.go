// Package explore visits all interleavings of a small model in breadth-first order, so that the
// trace to an invariant violation is a shortest one. The models in this package run the core
// state machines of the control plane; the model of the register has no clock.
package explore

import (
	"crypto/sha256"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
)

// DepthVariable names the environment variable that overrides the depth, in steps, to which the
// tests explore. Without it they use the depth of CI.
const DepthVariable = "LEMONARCH_EXPLORE_DEPTH"

// Depth returns the number of steps to which a test explores: the value of DepthVariable if it
// is a positive number, otherwise shallow.
func Depth(shallow int) int {
	if depth, err := strconv.Atoi(os.Getenv(DepthVariable)); err == nil && depth > 0 {
		return depth
	}
	return shallow
}

// State is one state of a model. Two states with the same key must have the same possible
// futures.
type State interface {
	// Key encodes everything in the state that can affect later steps or checks.
	Key() []byte
	// Next returns every step that can follow. It is called on several states concurrently.
	Next() []Step
	// Check returns an error that describes the invariant that the state violates, or nil.
	Check() error
}

// Step is one event and the state that results from it.
type Step struct {
	Name string
	To   State
	// Message reports whether the step delivers a message.
	Message bool
}

// Result summarizes an exploration.
type Result struct {
	// States is the number of distinct states visited, Steps the number of steps between them.
	States, Steps int
	// Depth is the number of steps in the longest history explored.
	Depth int
	// Complete reports whether the whole state space was visited: the last states had no
	// further steps.
	Complete bool
	// Violation is the first invariant violation found, or nil. Trace lists the steps that led
	// to it.
	Violation error
	Trace     []string
}

// String formats the counts of an exploration on one line, followed by the violation and its
// trace if there is one.
func (r Result) String() string {
	text := fmt.Sprintf("states=%d steps=%d depth=%d complete=%v", r.States, r.Steps, r.Depth, r.Complete)
	if r.Violation != nil {
		text += fmt.Sprintf("\nviolation: %v after\n  %s", r.Violation, strings.Join(r.Trace, "\n  "))
	}
	return text
}

const (
	// batchStates is the number of states expanded concurrently before their successors are
	// added; workers is the number of goroutines that expand them.
	batchStates = 4096
	workers     = 4
)

type key [16]byte

// visit records how a visited state was reached, so that its trace can be rebuilt.
type visit struct {
	parent int32
	name   string
}

// explorer is the state of one exploration.
type explorer struct {
	visited map[key]bool
	visits  []visit
	result  Result
}

// pendingState is a visited state whose steps were not expanded yet.
type pendingState struct {
	state State
	index int32
}

// Run explores all histories from a start state up to a depth. It stops at the first state that
// violates an invariant. Next is called on several states concurrently.
func Run(start State, depth int) Result {
	run := &explorer{visited: map[key]bool{}}
	frontier := run.add(nil, &successor{key: keyOf(start), state: start, name: "start", parent: -1, violation: start.Check()})
	for ; len(frontier) > 0 && run.result.Depth < depth && run.result.Violation == nil; run.result.Depth++ {
		frontier = run.expandLevel(frontier)
	}
	run.result.States = len(run.visits)
	run.result.Complete = len(frontier) == 0
	return run.result
}

// successor is a state that one step led to. It may have been visited before.
type successor struct {
	key       key
	state     State
	name      string
	parent    int32
	violation error
}

// expandLevel returns the new states that are one step after those of the frontier. The steps
// of a batch are computed concurrently and added in order.
func (w *explorer) expandLevel(frontier []pendingState) []pendingState {
	var next []pendingState
	for len(frontier) > 0 && w.result.Violation == nil {
		batch := frontier[:min(len(frontier), batchStates)]
		frontier = frontier[len(batch):]
		for _, list := range w.expandBatch(batch) {
			for index := range list {
				next = w.add(next, &list[index])
			}
		}
	}
	return next
}

// expandBatch computes the steps of a batch. Steps to states visited before are counted and
// left out.
func (w *explorer) expandBatch(batch []pendingState) [][]successor {
	lists := make([][]successor, len(batch))
	counts := make([]int, workers)
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for i := worker; i < len(batch); i += workers {
				steps := batch[i].state.Next()
				counts[worker] += len(steps)
				lists[i] = w.unvisited(steps, batch[i].index)
				batch[i].state = nil
			}
		})
	}
	group.Wait()
	for _, count := range counts {
		w.result.Steps += count
	}
	return lists
}

func (w *explorer) unvisited(steps []Step, parent int32) []successor {
	var list []successor
	for _, step := range steps {
		stateKey := keyOf(step.To)
		if !w.visited[stateKey] {
			list = append(list, successor{key: stateKey, state: step.To, name: step.Name, parent: parent, violation: step.To.Check()})
		}
	}
	return list
}

func keyOf(state State) key {
	sum := sha256.Sum256(state.Key())
	return key(sum[:len(key{})])
}

// add appends a state to a frontier unless it was visited before.
func (w *explorer) add(frontier []pendingState, next *successor) []pendingState {
	if w.visited[next.key] {
		return frontier
	}
	w.visited[next.key] = true
	i := int32(len(w.visits))
	w.visits = append(w.visits, visit{parent: next.parent, name: next.name})
	if next.violation != nil && w.result.Violation == nil {
		w.result.Violation, w.result.Trace = next.violation, w.trace(i)
	}
	return append(frontier, pendingState{state: next.state, index: i})
}

func (w *explorer) trace(i int32) []string {
	var names []string
	for ; i >= 0; i = w.visits[i].parent {
		names = append([]string{w.visits[i].name}, names...)
	}
	return names
}
