package admission

import (
	"testing"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// fill takes places for work that may be displaced and counts who yields.
func fillSlots(t *testing.T, scheduler *Scheduler, count, priority int, bulk bool, yielded *[]int) []*Grant {
	t.Helper()

	var grants []*Grant
	for i := 0; i < count; i++ {
		decision, _ := scheduler.Admit(&Request{Service: "s", Bulk: bulk, Priority: priority, Setpoint: 1}, nil, clock.Instant(10+i))
		if decision.Verdict != VerdictGranted {
			t.Fatal("no place for number ", i)
		}
		decision.Grant.AllowPreemption(func() { *yielded = append(*yielded, i) })
		grants = append(grants, decision.Grant)
	}
	return grants
}

// A request of a higher rank that finds no capacity makes the youngest item yield,
// and gets its place.
func TestHigherPriorityPreemptsYoungestItem(t *testing.T) {
	scheduler := newScheduler(t, 20, "w")
	var yielded []int
	items := fillSlots(t, scheduler, int(constants.BatchCapacityShare*20), 2, true, &yielded)
	for count := 0; count < 20+constants.QueueAheadMax-len(items); count++ {
		if decision, _ := scheduler.Admit(newRequest(0), nil, 100); decision.Verdict != VerdictGranted {
			t.Fatal("no room for live requests beside the items")
		}
	}
	served := 0
	decision, _ := scheduler.Admit(newRequest(0), func(late Decision) {
		if late.Verdict == VerdictGranted {
			served++
		}
	}, 101)
	if decision.Verdict != VerdictQueued || len(yielded) != 1 || yielded[0] != len(items)-1 {
		t.Fatal(decision.Verdict, yielded)
	}
	// Asked once; its place is on the way and no second one is taken for it.
	scheduler.PumpWaiting(102)
	if len(yielded) != 1 {
		t.Fatal("displaced twice for one request: ", yielded)
	}
	items[yielded[0]].End(ResultCanceled, 103)
	if served != 1 {
		t.Fatal("the place did not go to the one that waited")
	}
}

func TestEqualAndHigherRanksAreNeverPreempted(t *testing.T) {
	scheduler := newScheduler(t, 4, "w")
	var yielded []int
	fillSlots(t, scheduler, 4+constants.QueueAheadMax, 1, false, &yielded)
	scheduler.Admit(newRequest(1), func(Decision) {}, 100)
	scheduler.Admit(newRequest(2), func(Decision) {}, 100)
	if len(yielded) != 0 {
		t.Fatal(yielded)
	}
	scheduler.Admit(newRequest(0), func(Decision) {}, 101)
	if len(yielded) != 1 {
		t.Fatal("a stream of a lower rank did not yield")
	}
}

// Items yield before streams, whatever their ranks.
func TestItemsYieldBeforeStreams(t *testing.T) {
	scheduler := newScheduler(t, 8, "w")
	var items, streams []int
	fillSlots(t, scheduler, 6, 1, true, &items)
	fillSlots(t, scheduler, 2+constants.QueueAheadMax, 3, false, &streams)
	scheduler.Admit(newRequest(0), func(Decision) {}, 100)
	if len(items) != 1 || len(streams) != 0 {
		t.Fatal(items, streams)
	}
}

// A peer's pressure makes this node yield its share, but never below the floor.
func TestPeersPressureAndTheFloor(t *testing.T) {
	scheduler := newScheduler(t, 40, "w")
	var yielded []int
	const items = 20
	fillSlots(t, scheduler, items, 2, true, &yielded)
	sample := &messages.PressureNotice{From: "forge/x", Entries: []messages.Pressure{{Service: "s", Priority: 0, Waiting: 6}}}
	scheduler.YieldToPressure(sample, 3, 100)
	if len(yielded) != 2 {
		t.Fatal("want a third of six, got ", yielded)
	}
	sample.Entries[0].Waiting = 1000
	scheduler.YieldToPressure(sample, 1, 101)
	share, capacity := constants.PreemptionFloor, 40.0
	floor := int(share*capacity) + 1
	if len(yielded) != items-floor {
		t.Fatalf("%d of %d yielded, the floor is %d", len(yielded), items, floor)
	}
	// While the pressure lasts no new items start; once it is stale they do.
	if decision, _ := scheduler.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, 102); decision.Verdict == VerdictGranted {
		t.Fatal("an item started under pressure")
	}
	later := clock.Instant(101).Add(constants.PressureStale)
	if decision, _ := scheduler.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, later); decision.Verdict != VerdictGranted {
		t.Fatal("items wait for ever")
	}
}

// A report at second hand delays new items and takes no slot from anybody.
func TestObservedPressureDelaysNewItems(t *testing.T) {
	scheduler := newScheduler(t, 40, "w")
	var yielded []int
	fillSlots(t, scheduler, 20, 2, true, &yielded)
	sample := &messages.PressureNotice{From: "forge/x", Entries: []messages.Pressure{{Service: "s", Priority: 0, Waiting: 6}}}
	scheduler.ObservePressure(sample, 100)
	if decision, _ := scheduler.Admit(&Request{Service: "s", Bulk: true, Priority: 2}, nil, 101); decision.Verdict == VerdictGranted {
		t.Fatal("an item started against a peer's pressure")
	}
	if len(yielded) != 0 {
		t.Fatal("a word at second hand took places: ", yielded)
	}
}

func TestPressureIsSentOnceAPeriod(t *testing.T) {
	scheduler := newScheduler(t, 1, "w")
	known := 0
	scheduler.OnPressure(func([]messages.Pressure) { known++ })
	for count := 0; count < 10; count++ {
		scheduler.Admit(newRequest(0), func(Decision) {}, 100)
	}
	if known != 1 {
		t.Fatal("told ", known)
	}
	scheduler.PumpWaiting(clock.Instant(100).Add(constants.PressurePeriod))
	if known != 2 {
		t.Fatal("told ", known)
	}
}

// A long prompt that a peer gave a worker counts as waiting there until it is read,
// and items keep away from it.
func TestPeersLongPromptIsAvoided(t *testing.T) {
	entry := newScheduler(t, 8, "v", "w")
	config, err := routeconfig.Parse([]byte(`{"generation":2,"backends":[{"name":"s","engine":{"capacity":8,"cache-tokens":1000}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	entry.SetConfig(config)
	known := ""
	entry.OnPrefill(func(worker string, _ float64) { known = worker })
	entry.HandlePrefill(&messages.PrefillNotice{Worker: "v", Prefill: 100}, 10)
	for count := 0; count < 4; count++ {
		if decision, _ := entry.Admit(newRequest(0), nil, 11); decision.Grant == nil || decision.Grant.Worker.ID != "w" {
			t.Fatal("placed behind a long prompt")
		}
	}
	later := clock.Instant(10).Add(clock.Milliseconds(100))
	long := newRequest(0)
	long.Affine, long.Prompt.Tokens = true, 10_000
	decision, _ := entry.Admit(long, nil, later)
	if decision.Grant == nil || decision.Grant.Worker.ID != "v" || known != "v" {
		t.Fatal("not placed on the free worker, or not told: ", known)
	}
}
