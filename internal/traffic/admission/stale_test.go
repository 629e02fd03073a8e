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
func TestFullHoldsForOneStay(t *testing.T) {
	one := scheduler(t, 4, "w")
	one.Heard(&messages.Gossip{From: "forge/x", Loads: load("w", 50, 0)}, second(10))
	if answer, _ := one.Admit(ask(0), nil, second(10).Add(constants.FullFor)); answer.Verdict == VerdictGranted {
		t.Fatal("placed on a worker that was full a moment ago")
	}
	later := second(10).Add(constants.FullFor) + 1
	if answer, _ := one.Admit(&Ask{Service: "s", Bulk: true, Priority: 2}, nil, later); answer.Verdict == VerdictGranted {
		t.Fatal("an item took the chance")
	}
	if answer, _ := one.Admit(ask(0), nil, later); answer.Verdict != VerdictGranted {
		t.Fatal("nobody looks whether it is still full")
	}
	if answer, _ := one.Admit(ask(0), nil, later+1); answer.Verdict == VerdictGranted {
		t.Fatal("a second one looks before the first has seen anything")
	}
	// Where requests stay long, it holds for longer.
	slow := scheduler(t, 100, "v")
	for count := 0; count < 20; count++ {
		answer, _ := slow.Admit(ask(0), nil, second(10))
		answer.Grant.End(ResultServed, second(10).Add(2*constants.GossipPeriod))
	}
	slow.Heard(&messages.Gossip{From: "forge/x", Loads: load("v", 200, 0)}, second(20))
	if answer, _ := slow.Admit(ask(0), nil, second(21)); answer.Verdict == VerdictGranted {
		t.Fatal("a worker of long requests is not empty after a second")
	}
}

// An old word says little more than the mean: it draws nobody to another zone.
func TestOldWordsDrawNobody(t *testing.T) {
	one := scheduler(t, 6, "v")
	one.Merge([]messages.Worker{{ID: "a", Backend: "s", Address: "a", Zone: "elsewhere", Capacity: 6, CallCount: 1}}, 1)
	for count := 0; count < 40; count++ {
		answer, _ := one.Admit(ask(0), nil, second(5))
		answer.Grant.First("", second(5).Add(clock.Milliseconds(60)))
		answer.Grant.End(ResultServed, second(5).Add(clock.Milliseconds(60)))
	}
	hear := func(now clock.Instant) {
		loads := append(load("v", 4, 0), load("a", 0, 0)[1:]...)
		one.Heard(&messages.Gossip{From: "forge/x", Loads: loads}, now)
	}
	at := func(now clock.Instant) string {
		answer, _ := one.Admit(ask(0), nil, now)
		answer.Grant.End(ResultCalledOff, now)
		return answer.Grant.Worker.ID
	}
	hear(second(10))
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
	for place := 0; place < 40; place++ {
		pick := func() string {
			one := New(messages.NodeInfo{Name: string(rune('a' + place)), Role: membership.RoleGateway, Zone: "h"}, 1_200_000_000)
			var list []messages.Worker
			for _, name := range []string{"v", "w", "x", "y"} {
				list = append(list, messages.Worker{ID: name, Backend: "s", Zone: "h", Capacity: 4, CallCount: 1})
			}
			one.Merge(list, 1)
			answer, _ := one.Admit(ask(0), nil, 2)
			return answer.Grant.Worker.ID
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
	one := node("n", "h1")
	for place := 0; place < 60; place++ {
		one.Heard(&messages.Gossip{From: "forge/x", Loads: load(fmt.Sprintf("i-%04d", place), 50, 0)}, second(10))
	}
	if answer, _ := one.Admit(ask(0), nil, second(12)); answer.Verdict == VerdictGranted {
		t.Fatal("placed on a full engine")
	}
}
