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
func TestFullLastsForOneStay(t *testing.T) {
	entry := scheduler(t, 4, "w")
	entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: load("w", 50, 0)}, second(10))
	if decision, _ := entry.Admit(ask(0), nil, second(10).Add(constants.FullFor)); decision.Verdict == VerdictGranted {
		t.Fatal("placed on a worker that was full a moment ago")
	}
	later := second(10).Add(constants.FullFor) + 1
	if decision, _ := entry.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, later); decision.Verdict == VerdictGranted {
		t.Fatal("an item took the chance")
	}
	if decision, _ := entry.Admit(ask(0), nil, later); decision.Verdict != VerdictGranted {
		t.Fatal("nobody looks whether it is still full")
	}
	if decision, _ := entry.Admit(ask(0), nil, later+1); decision.Verdict == VerdictGranted {
		t.Fatal("a second one looks before the first has seen anything")
	}
	// Where requests stay long, it holds for longer.
	slow := scheduler(t, 100, "v")
	for count := 0; count < 20; count++ {
		decision, _ := slow.Admit(ask(0), nil, second(10))
		decision.Grant.End(ResultServed, second(10).Add(2*constants.GossipPeriod))
	}
	slow.HandleGossip(&messages.Gossip{From: "forge/x", Loads: load("v", 200, 0)}, second(20))
	if decision, _ := slow.Admit(ask(0), nil, second(21)); decision.Verdict == VerdictGranted {
		t.Fatal("a worker of long requests is not empty after a second")
	}
}

// An old word says little more than the mean: it draws nobody to another zone.
func TestOldSamplesAttractNobody(t *testing.T) {
	entry := scheduler(t, 6, "v")
	entry.Merge([]messages.Worker{{ID: "a", Backend: "s", Address: "a", Zone: "elsewhere", Capacity: 6, CallCount: 1}}, 1)
	for count := 0; count < 40; count++ {
		decision, _ := entry.Admit(ask(0), nil, second(5))
		decision.Grant.FirstEvent("", second(5).Add(clock.Milliseconds(60)))
		decision.Grant.End(ResultServed, second(5).Add(clock.Milliseconds(60)))
	}
	receive := func(now clock.Instant) {
		loads := append(load("v", 4, 0), load("a", 0, 0)[1:]...)
		entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: loads}, now)
	}
	at := func(now clock.Instant) string {
		decision, _ := entry.Admit(ask(0), nil, now)
		decision.Grant.End(ResultCanceled, now)
		return decision.Grant.Worker.ID
	}
	receive(second(10))
	if at(second(10)) != "a" {
		t.Fatal("a fresh word was not followed")
	}
	if at(second(10).Add(clock.Milliseconds(900))) != "v" {
		t.Fatal("a word fifteen requests old still sends everybody to another zone")
	}
}

// Among equals not every node chooses the same, and each repeats itself.
func TestEqualsAreSpread(t *testing.T) {
	first := map[string]int{}
	for i := 0; i < 40; i++ {
		pick := func() string {
			entry := New(messages.NodeInfo{Name: string(rune('a' + i)), Role: membership.RoleGateway, Zone: "h"}, 1_200_000_000)
			var list []messages.Worker
			for _, name := range []string{"v", "w", "x", "y"} {
				list = append(list, messages.Worker{ID: name, Backend: "s", Zone: "h", Capacity: 4, CallCount: 1})
			}
			entry.Merge(list, 1)
			decision, _ := entry.Admit(ask(0), nil, 2)
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
func TestFullEngineIsNotLookedAt(t *testing.T) {
	entry := node("n", "h1")
	for i := 0; i < 60; i++ {
		entry.HandleGossip(&messages.Gossip{From: "forge/x", Loads: load(fmt.Sprintf("i-%04d", i), 50, 0)}, second(10))
	}
	if decision, _ := entry.Admit(ask(0), nil, second(12)); decision.Verdict == VerdictGranted {
		t.Fatal("placed on a full engine")
	}
}
