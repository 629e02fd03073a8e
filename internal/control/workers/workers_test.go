package workers

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

const beat = 1_200_000_000

func worker(count int64, phase messages.Phase) messages.Worker {
	return messages.Worker{ID: "w", Backend: "s", Address: "a:1", Capacity: 4, CallCount: count, Phase: phase}
}

func TestLateCallsAreKnownByTheirCount(t *testing.T) {
	registry := New(beat)
	registry.Merge(worker(5, messages.PhaseDraining), 0)
	if registry.Merge(worker(4, messages.PhaseSteady), 1) {
		t.Fatal("a late call changed something")
	}
	// Even a later count never makes an incarnation steady again.
	registry.Merge(worker(6, messages.PhaseSteady), 2)
	if got, _ := registry.Get("w"); got.Phase != messages.PhaseDraining {
		t.Fatal(got.Phase)
	}
	if registry.Status("w", 2, true) != StatusUnavailable {
		t.Fatal("a draining worker may be placed on")
	}
}

func TestDepartureBeforeAnythingElse(t *testing.T) {
	registry := New(beat)
	registry.Merge(messages.Worker{ID: "w", Phase: messages.PhaseDeparted, CallCount: 9}, 0)
	registry.Merge(worker(8, messages.PhaseSteady), 1)
	if registry.Status("w", 1, true) != StatusUnavailable {
		t.Fatal("a late heartbeat brought a gone worker back")
	}
}

func TestStatusWhileWorkersOrControllersAreSilent(t *testing.T) {
	registry := New(beat)
	registry.Merge(worker(1, messages.PhaseSteady), 0)
	suspect := clock.Instant(0).Add((constants.HeartbeatsSuspect + 1) * beat)
	departed := clock.Instant(0).Add((constants.HeartbeatsDeparted + 1) * beat)
	if registry.Status("w", suspect, true) != StatusSuspect || registry.Status("w", departed, true) != StatusUnavailable {
		t.Fatal("silence is not judged")
	}
	if registry.Status("w", departed, false) != StatusHealthy {
		t.Fatal("a node that hears no controller must go on with what it has")
	}
}
