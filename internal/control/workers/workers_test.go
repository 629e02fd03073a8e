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
	// Even a later count never makes a life steady again.
	registry.Merge(worker(6, messages.PhaseSteady), 2)
	if got, _ := registry.Get("w"); got.Phase != messages.PhaseDraining {
		t.Fatal(got.Phase)
	}
	if registry.Standing("w", 2, true) != StandingOut {
		t.Fatal("a draining worker may be placed on")
	}
}

func TestDepartureBeforeAnythingElse(t *testing.T) {
	registry := New(beat)
	registry.Merge(messages.Worker{ID: "w", Phase: messages.PhaseDeparted, CallCount: 9}, 0)
	registry.Merge(worker(8, messages.PhaseSteady), 1)
	if registry.Standing("w", 1, true) != StandingOut {
		t.Fatal("a late heartbeat brought a gone worker back")
	}
}

func TestSilenceOfWorkersAndOfControllers(t *testing.T) {
	registry := New(beat)
	registry.Merge(worker(1, messages.PhaseSteady), 0)
	suspect := clock.Instant(0).Add((constants.HeartbeatsSuspect + 1) * beat)
	gone := clock.Instant(0).Add((constants.HeartbeatsDeparted + 1) * beat)
	if registry.Standing("w", suspect, true) != StandingSuspect || registry.Standing("w", gone, true) != StandingOut {
		t.Fatal("silence is not judged")
	}
	if registry.Standing("w", gone, false) != StandingGood {
		t.Fatal("a node that hears no controller must go on with what it has")
	}
}
