package workers

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

const heartbeatPeriod = 1_200_000_000

func worker(count int64, phase messages.Phase) messages.Worker {
	return messages.Worker{ID: "w", Backend: "s", Address: "a:1", Capacity: 4, CallCount: count, Phase: phase}
}

func TestLateCallsAreIgnored(t *testing.T) {
	registry := New(heartbeatPeriod)
	registry.Merge(worker(5, messages.PhaseDraining), 0)
	if registry.Merge(worker(4, messages.PhaseSteady), 1) {
		t.Fatal("a late call changed the table")
	}
	// Even a call with a higher count never makes an incarnation steady again.
	registry.Merge(worker(6, messages.PhaseSteady), 2)
	if got, _ := registry.Get("w"); got.Phase != messages.PhaseDraining {
		t.Fatalf("got phase %s after a steady call with a higher count, want %s", got.Phase, messages.PhaseDraining)
	}
	if registry.Status("w", 2, true) != StatusUnavailable {
		t.Fatal("a draining worker is not unavailable")
	}
}

func TestDepartureBeforeFirstHeartbeat(t *testing.T) {
	registry := New(heartbeatPeriod)
	registry.Merge(messages.Worker{ID: "w", Phase: messages.PhaseDeparted, CallCount: 9}, 0)
	registry.Merge(worker(8, messages.PhaseSteady), 1)
	if registry.Status("w", 1, true) != StatusUnavailable {
		t.Fatal("a late heartbeat made a departed worker available again")
	}
}

func TestStatusWhileWorkersOrControllersAreSilent(t *testing.T) {
	registry := New(heartbeatPeriod)
	registry.Merge(worker(1, messages.PhaseSteady), 0)
	suspect := clock.Instant(0).Add((constants.HeartbeatsSuspect + 1) * heartbeatPeriod)
	departed := clock.Instant(0).Add((constants.HeartbeatsDeparted + 1) * heartbeatPeriod)
	if registry.Status("w", suspect, true) != StatusSuspect || registry.Status("w", departed, true) != StatusUnavailable {
		t.Fatal("a silent worker is not suspect and then unavailable")
	}
	if registry.Status("w", departed, false) != StatusHealthy {
		t.Fatal("a silent worker is not healthy for a node that is not in contact with a controller")
	}
}
