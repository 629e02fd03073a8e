package workers

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func TestSteadyHeartbeatsChangeNothing(t *testing.T) {
	registry := New(beat)
	if !registry.Heartbeat(worker(1, messages.PhaseSteady), 0) {
		t.Fatal("a new worker is a change")
	}
	was := registry.Digest(1)
	for count := int64(2); count < 50; count++ {
		if registry.Heartbeat(worker(count, messages.PhaseSteady), clock.Instant(count*beat)) {
			t.Fatal("a plain beat is told")
		}
	}
	if registry.Digest(1) != was || len(registry.Since(was.Clock, 0)) != 0 {
		t.Fatal("a plain beat moved the table")
	}
	if !registry.Heartbeat(worker(50, messages.PhaseDraining), 50*beat) || registry.Digest(1) == was {
		t.Fatal("a drain is no change")
	}
	if registry.Heartbeat(worker(49, messages.PhaseSteady), 50*beat) || registry.Heartbeat(worker(51, messages.PhaseSteady), 51*beat) {
		t.Fatal("a drain was taken back")
	}
	if got := registry.HeartbeatsSince(50 * beat); len(got) != 1 || got[0] != Hash("w") {
		t.Fatal(got)
	}
}

// Whatever the order in which entries come, and however often, tables end alike.
func TestTablesJoin(t *testing.T) {
	for seed := int64(0); seed < 200; seed++ {
		random := rand.New(rand.NewSource(seed))
		var entries []messages.Worker
		for i := 0; i < 12; i++ {
			found := worker(random.Int63n(5)+1, messages.Phase(random.Intn(3)))
			found.ID = fmt.Sprint("w", random.Intn(3))
			found.Capacity = int(found.CallCount)
			if found.Phase == messages.PhaseDeparted && random.Intn(2) == 0 {
				found.Backend, found.Address, found.Capacity = "", "", 0
			}
			entries = append(entries, found)
		}
		left, right := New(beat), New(beat)
		for _, found := range entries {
			left.Merge(found, 0)
		}
		random.Shuffle(len(entries), func(found, other int) { entries[found], entries[other] = entries[other], entries[found] })
		for _, found := range append(entries, entries...) {
			right.Merge(found, 0)
		}
		if left.Digest(0).Sum != right.Digest(0).Sum {
			t.Fatalf("seed %d: %v %v", seed, left.All(0), right.All(0))
		}
	}
}

// A gateway in contact with controllers that gets no heartbeats takes nobody for silent whom they don't name.
func TestOverdueWorkersAreReportedByControllers(t *testing.T) {
	registry := New(beat)
	other := worker(1, messages.PhaseSteady)
	other.ID = "x"
	registry.Merge(worker(1, messages.PhaseSteady), 0)
	registry.Merge(other, 0)
	now := clock.Instant(0)
	silent := []messages.Overdue{}
	for round := int64(1); round <= 60; round++ {
		now = clock.Instant(round * beat)
		silent = silent[:0]
		if round > constants.HeartbeatsSuspect {
			silent = append(silent, messages.Overdue{WorkerHash: Hash("x"), AgeMs: (now / 1_000_000).Sub(0).Nanoseconds()})
		}
		registry.ApplyOverdue(silent, now)
		if registry.Status("w", now, true) != StatusHealthy {
			t.Fatalf("round %d: a worker that beats is doubted", round)
		}
		want := StatusHealthy
		switch {
		case round > constants.HeartbeatsDeparted:
			want = StatusUnavailable
		case round > constants.HeartbeatsSuspect:
			want = StatusSuspect
		}
		if got := registry.Status("x", now, true); got != want {
			t.Fatalf("round %d: %v", round, got)
		}
	}
	// It comes back: the next list does not name it.
	registry.ApplyOverdue(nil, now)
	if registry.Status("x", now, true) != StatusHealthy {
		t.Fatal("still silent")
	}
	// Deaf for long: nothing is forgotten but what was known to be silent.
	registry.Forget(now.Add(3 * constants.ForgetAfter))
	if len(registry.All(now)) != 2 {
		t.Fatal("own deafness made workers go")
	}
}

func TestForgottenEntriesStayForgotten(t *testing.T) {
	registry := New(beat)
	departed := worker(3, messages.PhaseDeparted)
	registry.Merge(departed, 0)
	sum := New(beat).Digest(0).Sum
	registry.Forget(clock.Instant(0).Add(constants.ForgetAfter + 1))
	if registry.Digest(0).Sum != sum {
		t.Fatal("the sum keeps what was forgotten")
	}
	departed.AgeMs = constants.ForgetAfter.Milliseconds() + 1
	if registry.Merge(departed, 0) {
		t.Fatal("taken back from one that has not forgotten yet")
	}
}
