package admission

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// The observation that a worker is full is valid for about one mean request duration. Then a
// request must probe the worker, or no new sample of it would ever arrive. Items do not probe
// the worker; they wait for a new sample.
func TestFullStateLastsForMeanDuration(t *testing.T) {
	scheduler := newScheduler(t, 4, "w")
	scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 50, 0)}, atSecond(10))
	if decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(10).Add(constants.FullDurationMin)); decision.Verdict == VerdictGranted {
		t.Fatal("placed on a worker that was full a moment ago")
	}
	later := atSecond(10).Add(constants.FullDurationMin) + 1
	if decision, _ := scheduler.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, later); decision.Verdict == VerdictGranted {
		t.Fatal("an item probed the worker")
	}
	if decision, _ := scheduler.Admit(newRequest(0), nil, later); decision.Verdict != VerdictGranted {
		t.Fatal("no request probed whether the worker is still full")
	}
	if decision, _ := scheduler.Admit(newRequest(0), nil, later+1); decision.Verdict == VerdictGranted {
		t.Fatal("a second request probed the worker before the first one's result")
	}
	// If requests take long, the observation is valid for longer.
	slow := newScheduler(t, 100, "v")
	for count := 0; count < 20; count++ {
		decision, _ := slow.Admit(newRequest(0), nil, atSecond(10))
		decision.Grant.End(ResultServed, atSecond(10).Add(2*constants.GossipPeriod))
	}
	slow.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("v", 200, 0)}, atSecond(20))
	if decision, _ := slow.Admit(newRequest(0), nil, atSecond(21)); decision.Verdict == VerdictGranted {
		t.Fatal("a worker with long requests was assumed to have capacity after one second")
	}
}

// An old sample says little more than the mean load does, so it must not draw requests to another
// zone.
func TestOldSamplesDoNotAttractRequests(t *testing.T) {
	scheduler := newScheduler(t, 6, "v")
	scheduler.Merge([]messages.Worker{{ID: "a", Backend: "s", Address: "a", Zone: "elsewhere", Capacity: 6, CallCount: 1}}, 1)
	for count := 0; count < 40; count++ {
		decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(5))
		decision.Grant.FirstEvent("", atSecond(5).Add(clock.Milliseconds(60)))
		decision.Grant.End(ResultServed, atSecond(5).Add(clock.Milliseconds(60)))
	}
	receive := func(now clock.Instant) {
		loads := append(encodedLoad("v", 4, 0), encodedLoad("a", 0, 0)[1:]...)
		scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: loads}, now)
	}
	placedOn := func(now clock.Instant) string {
		decision, _ := scheduler.Admit(newRequest(0), nil, now)
		decision.Grant.End(ResultCanceled, now)
		return decision.Grant.Worker.ID
	}
	receive(atSecond(10))
	if placedOn(atSecond(10)) != "a" {
		t.Fatal("a fresh sample did not attract the request")
	}
	if placedOn(atSecond(10).Add(clock.Milliseconds(900))) != "v" {
		t.Fatal("a sample 15 request durations old still attracts requests to another zone")
	}
}

// Of equal workers, not every node selects the same one, and each node's selection is repeatable.
func TestEqualWorkersAreSpreadOverNodes(t *testing.T) {
	selections := map[string]int{}
	for i := 0; i < 40; i++ {
		pick := func() string {
			scheduler := New(messages.NodeInfo{Name: string(rune('a' + i)), Role: membership.RoleGateway, Zone: "h"}, 1_200_000_000)
			var list []messages.Worker
			for _, name := range []string{"v", "w", "x", "y"} {
				list = append(list, messages.Worker{ID: name, Backend: "s", Zone: "h", Capacity: 4, CallCount: 1})
			}
			scheduler.Merge(list, 1)
			decision, _ := scheduler.Admit(newRequest(0), nil, 2)
			return decision.Grant.Worker.ID
		}
		selected := pick()
		if selected != pick() {
			t.Fatal("a node's selection is not repeatable")
		}
		selections[selected]++
	}
	if len(selections) != 4 {
		t.Fatalf("nodes per selected worker: %v, want all 4 workers selected by some node", selections)
	}
}

// A full engine is not probed: its batch stays full until a request yields.
func TestFullEngineIsNotProbed(t *testing.T) {
	scheduler := newNode("n", "h1")
	for i := 0; i < 60; i++ {
		scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad(fmt.Sprintf("i-%04d", i), 50, 0)}, atSecond(10))
	}
	if decision, _ := scheduler.Admit(newRequest(0), nil, atSecond(12)); decision.Verdict == VerdictGranted {
		t.Fatal("placed on a full engine")
	}
}
