package admission

import (
	"testing"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func newScheduler(t *testing.T, capacity int, workerList ...string) *Scheduler {
	t.Helper()

	scheduler := New(messages.NodeInfo{Name: "n", Role: membership.RoleGateway, Zone: "h"}, 1_200_000_000)
	config, err := routeconfig.Parse([]byte(`{"generation":1,"backends":[{"name":"s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	scheduler.SetConfig(config)
	var list []messages.Worker
	for _, name := range workerList {
		list = append(list, messages.Worker{ID: name, Backend: "s", Address: "a", Zone: "h", Capacity: capacity, CallCount: 1})
	}
	scheduler.Merge(list, 1)
	return scheduler
}

func newRequest(priority int) *Request {
	return &Request{Service: "s", Priority: priority, Setpoint: 200_000_000, QueueUntil: 1_000_000_000}
}

// The handle of a taken value must not reach the value that reuses its cell: a client that disconnects
// late could then withdraw the request of another.
func TestSlabRejectsStaleHandles(t *testing.T) {
	slab := Slab[string]{}
	first := slab.Put("one")
	if value, found := slab.Take(first); !found || value != "one" {
		t.Fatalf("Take returned %q and %v, want the stored value", value, found)
	}
	second := slab.Put("two")
	if _, found := slab.Take(first); found {
		t.Fatal("a stale handle returned the value of a reused cell")
	}
	if value, _ := slab.Get(second); value != "two" || slab.Len() != 1 {
		t.Fatalf("got value %q and %d stored values, want the second value alone", value, slab.Len())
	}
}

// When a slot becomes free, the queued request of the highest priority gets it, and each queued
// request is resumed exactly once.
func TestQueueServesHighestPriorityFirst(t *testing.T) {
	scheduler := newScheduler(t, 1, "w")
	var grants []*Grant
	for count := 0; count < 1+constants.QueueAheadMax; count++ {
		decision, _ := scheduler.Admit(newRequest(0), nil, 2)
		if decision.Verdict != VerdictGranted {
			t.Fatalf("verdict %d, want the request granted while there is capacity", decision.Verdict)
		}
		grants = append(grants, decision.Grant)
	}
	// order lists the priorities of the resumed requests, negative for a rejection.
	var order []int
	enqueue := func(priority int) {
		decision, _ := scheduler.Admit(newRequest(priority), func(queuedDecision Decision) {
			if queuedDecision.Verdict == VerdictGranted {
				order = append(order, priority)
			} else {
				order = append(order, -priority)
			}
		}, 3)
		if decision.Verdict != VerdictQueued {
			t.Fatalf("verdict %d, want the request queued", decision.Verdict)
		}
	}
	enqueue(2)
	enqueue(0)
	enqueue(1)
	grants[0].End(ResultServed, 4)
	grants[1].End(ResultServed, 5)
	if len(order) != 2 || order[0] != 0 || order[1] != 1 {
		t.Fatalf("resumed priorities %v, want 0 and 1 in this order", order)
	}
	scheduler.Pump(1_000_000_001)
	if len(order) != 3 || order[2] != -2 {
		t.Fatalf("resumed priorities %v (negative if rejected), want the expired request of priority 2 rejected last", order)
	}
	scheduler.Pump(1_000_000_002)
	if len(order) != 3 {
		t.Fatalf("resumed priorities %v (negative if rejected), want the expired request resumed only once", order)
	}
}

// A client that disconnects withdraws its request. The request must not be given a slot afterwards,
// since that slot would never be released.
func TestWithdrawnIsNeverResumed(t *testing.T) {
	scheduler := newScheduler(t, 1, "w")
	var grants []*Grant
	for count := 0; count < 1+constants.QueueAheadMax; count++ {
		decision, _ := scheduler.Admit(newRequest(0), nil, 2)
		grants = append(grants, decision.Grant)
	}
	_, handle := scheduler.Admit(newRequest(0), func(Decision) { t.Fatal("the withdrawn request was resumed") }, 3)
	if !scheduler.Withdraw(handle) || scheduler.Withdraw(handle) {
		t.Fatal("Withdraw must return true the first time and false the second time")
	}
	grants[0].End(ResultServed, 4)
}

// A draining worker must get no new request, not even one that was granted before the drain was known
// (Allowed).
func TestDrainedWorkerIsNeitherPlacedOnNorSentTo(t *testing.T) {
	scheduler := newScheduler(t, 4, "w", "v")
	scheduler.Merge([]messages.Worker{{ID: "w", Backend: "s", CallCount: 2, Phase: messages.PhaseDraining, Capacity: 4}}, 2)
	if scheduler.Allowed("w", 3) || !scheduler.Allowed("v", 3) {
		t.Fatal("Allowed: the draining worker must be forbidden and the steady worker allowed")
	}
	for count := 0; count < 6; count++ {
		decision, _ := scheduler.Admit(newRequest(0), nil, 3)
		if decision.Verdict == VerdictGranted && decision.Grant.Worker.ID == "w" {
			t.Fatal("placed on a draining worker")
		}
	}
}

// Items of batch jobs leave slots to live requests, and take none beyond the floor while a live
// request is queued at a peer.
func TestItemsLeaveCapacityForLiveRequests(t *testing.T) {
	scheduler := newScheduler(t, 8, "w")
	item := func() Verdict {
		decision, _ := scheduler.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, 3)
		return decision.Verdict
	}
	count := 0
	for item() == VerdictGranted {
		count++
	}
	if want := int(constants.BatchCapacityShare * 8); count != want {
		t.Fatalf("%d items placed, want %d", count, want)
	}
	other := newScheduler(t, 8, "w")
	other.HandleGossip(&messages.Gossip{From: "forge/x", Pressure: []messages.Pressure{{Service: "s", Waiting: 3}}}, 2)
	count = 0
	for decision, _ := other.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, 3); decision.Verdict == VerdictGranted; count++ {
		decision, _ = other.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, 3)
	}
	if count > 1 {
		t.Fatalf("%d items took slots that live requests wait for, want at most 1 (the floor)", count)
	}
}

// A sample from a paused peer expires after three gossip periods.
func TestStaleGossipIsIgnored(t *testing.T) {
	scheduler := newScheduler(t, 1, "w")
	scheduler.HandleGossip(&messages.Gossip{From: "forge/x", Loads: encodedLoad("w", 50, 0)}, 2)
	if decision, _ := scheduler.Admit(newRequest(0), nil, 3); decision.Verdict == VerdictGranted {
		t.Fatal("placed on a worker that is full according to a peer's sample")
	}
	later := clock.Instant(2).Add(constants.GossipStale)
	if decision, _ := scheduler.Admit(newRequest(0), nil, later); decision.Verdict != VerdictGranted {
		t.Fatal("an expired sample still made the worker full")
	}
}
