// Package explore walks through all interleavings of a small model, breadth first,
// so that the history behind a broken invariant is a shortest one. The models of
// this package play the cores of the control side; they hold no time.
package explore

import (
	"crypto/sha256"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
)

// DepthVariable names the environment variable with the depth that the tests explore
// to, in steps, in place of the depth of CI.
const DepthVariable = "LEMONARCH_EXPLORE_DEPTH"

// Depth is how many steps deep a test explores: shallow, unless the environment says
// otherwise.
func Depth(shallow int) int {
	if depth, err := strconv.Atoi(os.Getenv(DepthVariable)); err == nil && depth > 0 {
		return depth
	}
	return shallow
}

// State is one state of a model. Two states with the same key have the same future.
type State interface {
	// Key names all that matters of the state.
	Key() []byte
	// Next gives every step that can follow.
	Next() []Step
	// Check gives the invariant that the state breaks, or nil.
	Check() error
}

// Step is one event and the state after it.
type Step struct {
	Name string
	To   State
	// Message says that the step delivers a message.
	Message bool
}

// Result tells what an exploration has seen.
type Result struct {
	// States counts the distinct states met and Steps the steps between them.
	States, Steps int
	// Depth is the number of steps of the longest history that was played.
	Depth int
	// Whole says that no step led on from the last states: nothing is left out.
	Complete bool
	// Broken is the invariant that was broken, and Trace the steps that led to it.
	Violation error
	Trace     []string
}

// String gives the figures of an exploration on one line.
func (r Result) String() string {
	text := fmt.Sprintf("states=%d steps=%d depth=%d whole=%v", r.States, r.Steps, r.Depth, r.Complete)
	if r.Violation != nil {
		text += fmt.Sprintf("\nbroken: %v after\n  %s", r.Violation, strings.Join(r.Trace, "\n  "))
	}
	return text
}

const (
	// batchStates is how many states are followed side by side before their steps are
	// taken, and workers how many goroutines do that.
	batchStates = 4096
	workers     = 4
)

type key [16]byte

// visit is a state that was met: how it was reached, to tell its history.
type visit struct {
	parent int32
	name   string
}

// walk is one exploration.
type explorer struct {
	seen   map[key]bool
	visits []visit
	result Result
}

// open is a state whose steps were not followed yet.
type pendingState struct {
	state State
	index int32
}

// Run explores all histories from a state up to a depth. It stops at the first state
// that breaks an invariant. Next is called on several states at once.
func Run(start State, depth int) Result {
	run := &explorer{seen: map[key]bool{}}
	frontier := run.add(nil, &successor{key: keyOf(start), state: start, name: "start", parent: -1, violation: start.Check()})
	for ; len(frontier) > 0 && run.result.Depth < depth && run.result.Violation == nil; run.result.Depth++ {
		frontier = run.expandLevel(frontier)
	}
	run.result.States = len(run.visits)
	run.result.Complete = len(frontier) == 0
	return run.result
}

// found is a state that one step led to, before it is known to be new.
type successor struct {
	key       key
	state     State
	name      string
	parent    int32
	violation error
}

// follow gives the states one step behind those of a level. The steps of a batch are
// worked out side by side, and taken in their order.
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

// expand works out the steps of a batch; those that lead to states met before are
// counted and left out.
func (w *explorer) expandBatch(batch []pendingState) [][]successor {
	lists := make([][]successor, len(batch))
	counts := make([]int, workers)
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for i := worker; i < len(batch); i += workers {
				steps := batch[i].state.Next()
				counts[worker] += len(steps)
				lists[i] = w.unseen(steps, batch[i].index)
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

func (w *explorer) unseen(steps []Step, parent int32) []successor {
	var list []successor
	for _, step := range steps {
		stateKey := keyOf(step.To)
		if !w.seen[stateKey] {
			list = append(list, successor{key: stateKey, state: step.To, name: step.Name, parent: parent, violation: step.To.Check()})
		}
	}
	return list
}

func keyOf(state State) key {
	sum := sha256.Sum256(state.Key())
	return key(sum[:len(key{})])
}

// meet adds a state to a level, unless it was met before.
func (w *explorer) add(frontier []pendingState, next *successor) []pendingState {
	if w.seen[next.key] {
		return frontier
	}
	w.seen[next.key] = true
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
