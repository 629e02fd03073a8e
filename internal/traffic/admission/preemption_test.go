package admission

import (
	"testing"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// fillSlots places preemptible requests and appends the index of each one that is requested to
// yield to yielded.
func fillSlots(t *testing.T, scheduler *Scheduler, count, priority int, bulk bool, yielded *[]int) []*Grant {
	t.Helper()

	var grants []*Grant
	for i := 0; i < count; i++ {
		decision, _ := scheduler.Admit(&Request{Service: "s", Bulk: bulk, Priority: priority, Setpoint: 1}, nil, clock.Instant(10+i))
		if decision.Verdict != VerdictGranted {
			t.Fatalf("request %d: verdict %d, want it granted", i, decision.Verdict)
		}
		decision.Grant.AllowPreemption(func() { *yielded = append(*yielded, i) })
		grants = append(grants, decision.Grant)
	}
	return grants
}

// A request of a higher priority that finds no capacity preempts the youngest item and gets its
// slot.
func TestHigherPriorityPreemptsYoungestItem(t *testing.T) {
	scheduler := newScheduler(t, 20, "w")
	var yielded []int
	items := fillSlots(t, scheduler, int(constants.BatchCapacityShare*20), 2, true, &yielded)
	for count := 0; count < 20+constants.QueueAheadMax-len(items); count++ {
		if decision, _ := scheduler.Admit(newRequest(0), nil, 100); decision.Verdict != VerdictGranted {
			t.Fatal("no capacity for live requests in addition to the items")
		}
	}
	served := 0
	decision, _ := scheduler.Admit(newRequest(0), func(queuedDecision Decision) {
		if queuedDecision.Verdict == VerdictGranted {
			served++
		}
	}, 101)
	if decision.Verdict != VerdictQueued || len(yielded) != 1 || yielded[0] != len(items)-1 {
		t.Fatalf("verdict %d, preempted items %v; want the request queued and only the youngest item (%d) preempted",
			decision.Verdict, yielded, len(items)-1)
	}
	// The item was already requested to yield, and its slot will be free soon; no second item may
	// be preempted for the same request.
	scheduler.PumpWaiting(102)
	if len(yielded) != 1 {
		t.Fatalf("preempted items %v, want one for one request", yielded)
	}
	items[yielded[0]].End(ResultCanceled, 103)
	if served != 1 {
		t.Fatalf("the queued request was granted %d times after a slot was freed, want 1", served)
	}
}

// Requests of the same priority must not preempt each other, or they would do so in turn without end.
// Only a lower priority yields.
func TestEqualAndHigherPrioritiesAreNeverPreempted(t *testing.T) {
	scheduler := newScheduler(t, 4, "w")
	var yielded []int
	fillSlots(t, scheduler, 4+constants.QueueAheadMax, 1, false, &yielded)
	scheduler.Admit(newRequest(1), func(Decision) {}, 100)
	scheduler.Admit(newRequest(2), func(Decision) {}, 100)
	if len(yielded) != 0 {
		t.Fatalf("streams %v of the same or a higher priority were preempted, want none", yielded)
	}
	scheduler.Admit(newRequest(0), func(Decision) {}, 101)
	if len(yielded) != 1 {
		t.Fatalf("streams %v yielded, want one stream of a lower priority", yielded)
	}
}

// Items yield before streams, regardless of their priorities.
func TestItemsYieldBeforeStreams(t *testing.T) {
	scheduler := newScheduler(t, 8, "w")
	var items, streams []int
	fillSlots(t, scheduler, 6, 1, true, &items)
	fillSlots(t, scheduler, 2+constants.QueueAheadMax, 3, false, &streams)
	scheduler.Admit(newRequest(0), func(Decision) {}, 100)
	if len(items) != 1 || len(streams) != 0 {
		t.Fatalf("items %v and streams %v yielded, want one item and no stream", items, streams)
	}
}

// On a peer's pressure report this node yields its share, but never below the floor.
func TestPeerPressureYieldsShareAboveFloor(t *testing.T) {
	scheduler := newScheduler(t, 40, "w")
	var yielded []int
	const items = 20
	fillSlots(t, scheduler, items, 2, true, &yielded)
	notice := &messages.PressureNotice{From: "forge/x", Entries: []messages.Pressure{{Service: "s", Priority: 0, Waiting: 6}}}
	scheduler.YieldToPressure(notice, 3, 100)
	if len(yielded) != 2 {
		t.Fatalf("items %v yielded, want 2 (a third of 6)", yielded)
	}
	notice.Entries[0].Waiting = 1000
	scheduler.YieldToPressure(notice, 1, 101)
	share, capacity := constants.PreemptionFloor, 40.0
	floor := int(share*capacity) + 1
	if len(yielded) != items-floor {
		t.Fatalf("%d of %d items yielded, want all but the floor of %d", len(yielded), items, floor)
	}
	// While the report is valid no new items start; once it has expired they do.
	if decision, _ := scheduler.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, 102); decision.Verdict == VerdictGranted {
		t.Fatal("an item started under pressure")
	}
	later := clock.Instant(101).Add(constants.PressureStale)
	if decision, _ := scheduler.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, later); decision.Verdict != VerdictGranted {
		t.Fatal("no item started after the pressure report expired")
	}
}

// A report that other processes act on delays new items but preempts nothing.
func TestObservedPressureDelaysNewItems(t *testing.T) {
	scheduler := newScheduler(t, 40, "w")
	var yielded []int
	fillSlots(t, scheduler, 20, 2, true, &yielded)
	notice := &messages.PressureNotice{From: "forge/x", Entries: []messages.Pressure{{Service: "s", Priority: 0, Waiting: 6}}}
	scheduler.ObservePressure(notice, 100)
	if decision, _ := scheduler.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, 101); decision.Verdict == VerdictGranted {
		t.Fatal("an item started under a peer's pressure")
	}
	if len(yielded) != 0 {
		t.Fatalf("an observed report preempted items %v, want none", yielded)
	}
}

// However many requests are queued, peers are notified of pressure once per constants.PressurePeriod,
// so that an overload causes no flood of notices.
func TestPressureIsSentOncePerPeriod(t *testing.T) {
	scheduler := newScheduler(t, 1, "w")
	notified := 0
	scheduler.OnPressure(func([]messages.Pressure) { notified++ })
	for count := 0; count < 10; count++ {
		scheduler.Admit(newRequest(0), func(Decision) {}, 100)
	}
	if notified != 1 {
		t.Fatalf("%d pressure notifications for 10 queued requests, want 1", notified)
	}
	scheduler.PumpWaiting(clock.Instant(100).Add(constants.PressurePeriod))
	if notified != 2 {
		t.Fatalf("%d pressure notifications after a second period, want 2", notified)
	}
}

// A long prompt that a peer placed on a worker counts as pending there until it is prefilled, and
// new requests avoid the worker. A long prompt that is placed here is passed to OnPrefill.
func TestPeersLongPromptIsAvoided(t *testing.T) {
	scheduler := newScheduler(t, 8, "v", "w")
	config, err := routeconfig.Parse([]byte(`{"generation":2,"backends":[{"name":"s","engine":{"capacity":8,"cache-tokens":1000}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	scheduler.SetConfig(config)
	notifiedWorker := ""
	scheduler.OnPrefill(func(worker string, _ float64) { notifiedWorker = worker })
	scheduler.HandlePrefill(&messages.PrefillNotice{Worker: "v", Prefill: 100}, 10)
	for count := 0; count < 4; count++ {
		if decision, _ := scheduler.Admit(newRequest(0), nil, 11); decision.Grant == nil || decision.Grant.Worker.ID != "w" {
			t.Fatal("request not placed on the worker without a long prompt")
		}
	}
	later := clock.Instant(10).Add(clock.Milliseconds(100))
	longRequest := newRequest(0)
	longRequest.Affine, longRequest.Prompt.Tokens = true, 10_000
	decision, _ := scheduler.Admit(longRequest, nil, later)
	if decision.Grant == nil || decision.Grant.Worker.ID != "v" || notifiedWorker != "v" {
		t.Fatalf("decision %+v, last OnPrefill call for worker %q; want the long prompt placed on worker v and reported", decision, notifiedWorker)
	}
}
