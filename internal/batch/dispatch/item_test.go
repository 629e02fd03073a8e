package dispatch

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Whatever order begin, gather, yield, set back and finish come in, late ones of
// earlier runs included: an item has at most one result, its events are 1..n once
// each, and it can always be begun again until it has its result.
func TestRequeueState(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	const whole = 4
	properties.Property("one outcome", prop.ForAll(func(outcomes []uint8) bool {
		item := &Item{Job: &Job{}}
		var runs []int
		results := 0
		position := map[int]int64{}
		for _, step := range outcomes {
			run := 0
			if len(runs) > 0 {
				run = runs[int(step>>3)%len(runs)]
			}
			switch step % 6 {
			case 0:
				if next := item.StartRun(); next > 0 {
					runs = append(runs, next)
					position[next] = item.LastID
				}
			case 1:
				// The worker's stream goes on from where the run began.
				if next := position[run] + 1; run > 0 && next <= whole && item.AppendEvents(run, [][]byte{[]byte(fmt.Sprint(next))}, next) {
					position[run] = next
				}
			case 2:
				item.Yield(run)
			case 3:
				item.Requeue(run)
			case 4:
				if run > 0 && position[run] == whole && item.Finish(run) {
					results++
				}
			case 5:
				if step > 250 && item.Abandon(run) {
					results++
				}
			}
			for i, piece := range item.Events {
				if string(piece) != fmt.Sprint(i+1) {
					return false
				}
			}
		}
		if results == 1 {
			return item.State == ItemClosing && item.StartRun() == 0
		}
		// Without a result there is always a way on: no path ends without one.
		for _, run := range runs {
			item.Requeue(run)
		}
		run := item.StartRun()
		for next := item.LastID + 1; next <= whole; next++ {
			if !item.AppendEvents(run, [][]byte{[]byte(fmt.Sprint(next))}, next) {
				return false
			}
		}
		return results == 0 && run > 0 && len(item.Events) == whole && item.Finish(run)
	}, gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
}

func TestEventsWithoutIDsAreDropped(t *testing.T) {
	item := &Item{Job: &Job{}}
	run := item.StartRun()
	item.AppendEvents(run, [][]byte{[]byte("a")}, 0)
	item.Requeue(run)
	if len(item.Events) != 0 {
		t.Fatal("events that nobody can continue were kept")
	}
}

func TestEndedJobRunsNothing(t *testing.T) {
	item := &Item{Job: &Job{}}
	run := item.StartRun()
	item.Job.Ended = true
	if item.AppendEvents(run, [][]byte{[]byte("a")}, 1) || item.Finish(run) || !item.Requeue(run) || item.StartRun() != 0 {
		t.Fatal("an ended lot goes on")
	}
}
