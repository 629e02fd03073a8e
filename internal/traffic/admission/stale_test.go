package admission

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// That a worker was full holds for about one stay: then somebody must look, or no new
// word would ever come from it. Items wait for one.
func TestFullStateLastsForMeanDuration(t *testing.T) {
	entry := newScheduler(t, 4, "w")
	entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 50, 0)}, atSecond(10))
	if decision, _ := entry.Admit(newRequest(0), nil, atSecond(10).Add(constants.FullFor)); decision.Verdict == VerdictGranted {
		t.Fatal("placed on a worker that was full a moment ago")
	}
	later := atSecond(10).Add(constants.FullFor) + 1
	if decision, _ := entry.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, later); decision.Verdict == VerdictGranted {
		t.Fatal("an item took the chance")
	}
	if decision, _ := entry.Admit(newRequest(0), nil, later); decision.Verdict != VerdictGranted {
		t.Fatal("nobody looks whether it is still full")
	}
	if decision, _ := entry.Admit(newRequest(0), nil, later+1); decision.Verdict == VerdictGranted {
		t.Fatal("a second one looks before the first has seen anything")
	}
	// Where requests stay long, it holds for longer.
	slow := newScheduler(t, 100, "v")
	for count := 0; count < 20; count++ {
		decision, _ := slow.Admit(newRequest(0), nil, atSecond(10))
		decision.Grant.End(ResultServed, atSecond(10).Add(2*constants.GossipPeriod))
	}
	slow.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("v", 200, 0)}, atSecond(20))
	if decision, _ := slow.Admit(newRequest(0), nil, atSecond(21)); decision.Verdict == VerdictGranted {
		t.Fatal("a worker of long requests is not empty after a second")
	}
}

// An old word says little more than the mean: it draws nobody to another zone.
func TestOldSamplesDoNotAttractRequests(t *testing.T) {
	entry := newScheduler(t, 6, "v")
	entry.Merge([]messages.Worker{{ID: "a", Backend: "s", Address: "a", Zone: "elsewhere", Capacity: 6, CallCount: 1}}, 1)
	for count := 0; count < 40; count++ {
		decision, _ := entry.Admit(newRequest(0), nil, atSecond(5))
		decision.Grant.FirstEvent("", atSecond(5).Add(clock.Milliseconds(60)))
		decision.Grant.End(ResultServed, atSecond(5).Add(clock.Milliseconds(60)))
	}
	receive := func(now clock.Instant) {
		loads := append(encodedLoad("v", 4, 0), encodedLoad("a", 0, 0)[1:]...)
		entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: loads}, now)
	}
	at := func(now clock.Instant) string {
		decision, _ := entry.Admit(newRequest(0), nil, now)
		decision.Grant.End(ResultCanceled, now)
		return decision.Grant.Worker.ID
	}
	receive(atSecond(10))
	if at(atSecond(10)) != "a" {
		t.Fatal("a fresh word was not followed")
	}
	if at(atSecond(10).Add(clock.Milliseconds(900))) != "v" {
		t.Fatal("a word fifteen requests old still sends everybody to another zone")
	}
}

// Among equals not every node chooses the same, and each repeats itself.
func TestEqualWorkersAreSpreadOverNodes(t *testing.T) {
	first := map[string]int{}
	for i := 0; i < 40; i++ {
		pick := func() string {
			entry := New(messages.NodeInfo{Name: string(rune('a' + i)), Role: membership.RoleGateway, Zone: "h"}, 1_200_000_000)
			var list []messages.Worker
			for _, name := range []string{"v", "w", "x", "y"} {
				list = append(list, messages.Worker{ID: name, Backend: "s", Zone: "h", Capacity: 4, CallCount: 1})
			}
			entry.Merge(list, 1)
			decision, _ := entry.Admit(newRequest(0), nil, 2)
			return decision.Grant.Worker.ID
		}
		once := pick()
		if once != pick() {
			t.Fatal("a node does not repeat itself")
		}
		first[once]++
	}
	if len(first) != 4 {
		t.Fatal("all nodes choose alike: ", first)
	}
}

// At an engine nobody looks: its batch stays full until something yields.
func TestFullEngineIsNotProbed(t *testing.T) {
	entry := newNode("n", "h1")
	for i := 0; i < 60; i++ {
		entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad(fmt.Sprintf("i-%04d", i), 50, 0)}, atSecond(10))
	}
	if decision, _ := entry.Admit(newRequest(0), nil, atSecond(12)); decision.Verdict == VerdictGranted {
		t.Fatal("placed on a full engine")
	}
}
