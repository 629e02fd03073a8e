package dispatch

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// itemEvents is how many events a run of itemHistory has.
const itemEvents = 4

// itemHistory is one item with the runs that were started on it.
type itemHistory struct {
	item    *Item
	runs    []int
	results int
	// position is the id of the last event of each run.
	position map[int]int64
}

// step performs the operation that a byte encodes, on the run that the byte selects.
func (h *itemHistory) step(choice uint8) {
	run := 0
	if len(h.runs) > 0 {
		run = h.runs[int(choice>>3)%len(h.runs)]
	}
	switch choice % 6 {
	case 0:
		if next := h.item.StartRun(); next > 0 {
			h.runs = append(h.runs, next)
			h.position[next] = h.item.LastID
		}
	case 1:
		// The worker's stream continues from the event at which the run started.
		if next := h.position[run] + 1; run > 0 && next <= itemEvents && h.item.AppendEvents(run, [][]byte{[]byte(fmt.Sprint(next))}, next) {
			h.position[run] = next
		}
	case 2:
		h.item.Yield(run)
	case 3:
		h.item.Requeue(run)
	case 4:
		if run > 0 && h.position[run] == itemEvents && h.item.Finish(run) {
			h.results++
		}
	case 5:
		if choice > 250 && h.item.Abandon(run) {
			h.results++
		}
	}
}

// eventsInOrder reports whether the item's events are 1..n once each.
func (h *itemHistory) eventsInOrder() bool {
	for i, event := range h.item.Events {
		if string(event) != fmt.Sprint(i+1) {
			return false
		}
	}
	return true
}

// canFinish reports whether the item, which has no result, can still be run to completion.
func (h *itemHistory) canFinish() bool {
	for _, run := range h.runs {
		h.item.Requeue(run)
	}
	run := h.item.StartRun()
	for next := h.item.LastID + 1; next <= itemEvents; next++ {
		if !h.item.AppendEvents(run, [][]byte{[]byte(fmt.Sprint(next))}, next) {
			return false
		}
	}
	return h.results == 0 && run > 0 && len(h.item.Events) == itemEvents && h.item.Finish(run)
}

// For every order of start, append, yield, requeue, finish and abandon, including late calls of
// earlier runs: an item has at most one result, its events are 1..n once each, and it can always
// be started again until it has a result.
func TestItemHasOneResultInAnyOrderOfCalls(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	properties.Property("one outcome", prop.ForAll(func(choices []uint8) bool {
		history := &itemHistory{item: &Item{Job: &Job{}}, position: map[int]int64{}}
		for _, choice := range choices {
			history.step(choice)
			if !history.eventsInOrder() {
				return false
			}
		}
		if history.results == 1 {
			return history.item.State == ItemClosing && history.item.StartRun() == 0
		}
		// An item without a result can always be run to completion.
		return history.canFinish()
	}, gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
}

// A run can't resume after events without ids, so it delivers all of them again. Events that were kept
// would be in the output twice.
func TestEventsWithoutIDsAreDropped(t *testing.T) {
	item := &Item{Job: &Job{}}
	run := item.StartRun()
	item.AppendEvents(run, [][]byte{[]byte("a")}, 0)
	item.Requeue(run)
	if len(item.Events) != 0 {
		t.Fatal("events without ids were kept")
	}
}

func TestEndedJobRunsNothing(t *testing.T) {
	item := &Item{Job: &Job{}}
	run := item.StartRun()
	item.Job.Ended = true
	if item.AppendEvents(run, [][]byte{[]byte("a")}, 1) || item.Finish(run) || !item.Requeue(run) || item.StartRun() != 0 {
		t.Fatal("item of an ended job accepted events, a result or a run, or was not requeued")
	}
}
