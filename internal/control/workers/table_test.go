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
	registry := New(heartbeatPeriod)
	if !registry.Heartbeat(worker(1, messages.PhaseSteady), 0) {
		t.Fatal("the first heartbeat of a worker was not reported as a change")
	}
	before := registry.Digest(1)
	for count := int64(2); count < 50; count++ {
		if registry.Heartbeat(worker(count, messages.PhaseSteady), clock.Instant(count*heartbeatPeriod)) {
			t.Fatal("a plain heartbeat was reported as a change")
		}
	}
	if registry.Digest(1) != before || len(registry.Since(before.Clock, 0)) != 0 {
		t.Fatal("plain heartbeats changed the table")
	}
	if !registry.Heartbeat(worker(50, messages.PhaseDraining), 50*heartbeatPeriod) || registry.Digest(1) == before {
		t.Fatal("a drain was not reported as a change")
	}
	if registry.Heartbeat(worker(49, messages.PhaseSteady), 50*heartbeatPeriod) || registry.Heartbeat(worker(51, messages.PhaseSteady), 51*heartbeatPeriod) {
		t.Fatal("a steady heartbeat after a drain was reported as a change")
	}
	if got := registry.HeartbeatsSince(50 * heartbeatPeriod); len(got) != 1 || got[0] != Hash("w") {
		t.Fatalf("HeartbeatsSince: got hashes %v, want only that of w, %d", got, Hash("w"))
	}
}

// Tables that merge the same entries are equal, in any order and with any repetition. Otherwise the tables of
// two processes would never converge.
func TestMergeIsOrderIndependent(t *testing.T) {
	for seed := int64(0); seed < 200; seed++ {
		random := rand.New(rand.NewSource(seed))
		var entries []messages.Worker
		for i := 0; i < 12; i++ {
			merged := worker(random.Int63n(5)+1, messages.Phase(random.Intn(3)))
			merged.ID = fmt.Sprint("w", random.Intn(3))
			merged.Capacity = int(merged.CallCount)
			if merged.Phase == messages.PhaseDeparted && random.Intn(2) == 0 {
				merged.Backend, merged.Address, merged.Capacity = "", "", 0
			}
			entries = append(entries, merged)
		}
		left, right := New(heartbeatPeriod), New(heartbeatPeriod)
		for _, merged := range entries {
			left.Merge(merged, 0)
		}
		random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		for _, merged := range append(entries, entries...) {
			right.Merge(merged, 0)
		}
		if left.Digest(0).Sum != right.Digest(0).Sum {
			t.Fatalf("seed %d: tables differ: %v and %v", seed, left.All(0), right.All(0))
		}
	}
}

// A gateway that is in contact with controllers and receives no heartbeats itself treats only those workers as
// silent that the controllers list as overdue.
func TestOverdueWorkersAreReportedByControllers(t *testing.T) {
	registry := New(heartbeatPeriod)
	other := worker(1, messages.PhaseSteady)
	other.ID = "x"
	registry.Merge(worker(1, messages.PhaseSteady), 0)
	registry.Merge(other, 0)
	now := clock.Instant(0)
	silent := []messages.Overdue{}
	for round := int64(1); round <= 60; round++ {
		now = clock.Instant(round * heartbeatPeriod)
		silent = silent[:0]
		if round > constants.HeartbeatsSuspect {
			silent = append(silent, messages.Overdue{WorkerHash: Hash("x"), AgeMs: (now / 1_000_000).Sub(0).Nanoseconds()})
		}
		registry.ApplyOverdue(silent, now)
		if registry.Status("w", now, true) != StatusHealthy {
			t.Fatalf("round %d: a worker that sends heartbeats is not healthy", round)
		}
		want := StatusHealthy
		switch {
		case round > constants.HeartbeatsDeparted:
			want = StatusUnavailable
		case round > constants.HeartbeatsSuspect:
			want = StatusSuspect
		}
		if got := registry.Status("x", now, true); got != want {
			t.Fatalf("round %d: got status %v of the overdue worker, want %v", round, got, want)
		}
	}
	// The worker comes back: the next list doesn't contain it.
	registry.ApplyOverdue(nil, now)
	if registry.Status("x", now, true) != StatusHealthy {
		t.Fatal("a worker that is no longer overdue is not healthy")
	}
	// No reports arrive for long: only workers that were reported as overdue may be forgotten.
	registry.Forget(now.Add(3 * constants.ForgetAfter))
	if len(registry.All(now)) != 2 {
		t.Fatal("workers that were not overdue were forgotten")
	}
}

func TestForgottenEntriesStayForgotten(t *testing.T) {
	registry := New(heartbeatPeriod)
	departed := worker(3, messages.PhaseDeparted)
	registry.Merge(departed, 0)
	sum := New(heartbeatPeriod).Digest(0).Sum
	registry.Forget(clock.Instant(0).Add(constants.ForgetAfter + 1))
	if registry.Digest(0).Sum != sum {
		t.Fatal("the sum of the table still includes a forgotten worker")
	}
	departed.AgeMs = constants.ForgetAfter.Milliseconds() + 1
	if registry.Merge(departed, 0) {
		t.Fatal("a forgotten worker was merged again from a table that has not forgotten it yet")
	}
}
