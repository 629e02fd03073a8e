package roster

import (
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

const beat = 1_200_000_000

func worker(count int64, phase pattern.Phase) pattern.Worker {
	return pattern.Worker{ID: "w", Backend: "s", Address: "a:1", Capacity: 4, Count: count, Phase: phase}
}

func TestLateCallsAreKnownByTheirCount(test *testing.T) {
	roster := New(beat)
	roster.Merge(worker(5, pattern.PhaseDraining), 0)
	if roster.Merge(worker(4, pattern.PhaseSteady), 1) {
		test.Fatal("a late call changed something")
	}
	// Even a later count never makes a life steady again.
	roster.Merge(worker(6, pattern.PhaseSteady), 2)
	if got, _ := roster.Get("w"); got.Phase != pattern.PhaseDraining {
		test.Fatal(got.Phase)
	}
	if roster.Standing("w", 2, true) != StandingOut {
		test.Fatal("a draining worker may be placed on")
	}
}

func TestDepartureBeforeAnythingElse(test *testing.T) {
	roster := New(beat)
	roster.Merge(pattern.Worker{ID: "w", Phase: pattern.PhaseGone, Count: 9}, 0)
	roster.Merge(worker(8, pattern.PhaseSteady), 1)
	if roster.Standing("w", 1, true) != StandingOut {
		test.Fatal("a late heartbeat brought a gone worker back")
	}
}

func TestSilenceOfWorkersAndOfForemen(test *testing.T) {
	roster := New(beat)
	roster.Merge(worker(1, pattern.PhaseSteady), 0)
	suspect := watch.Moment(0).Plus((almanac.BeatsMissed + 1) * beat)
	gone := watch.Moment(0).Plus((almanac.BeatsGone + 1) * beat)
	if roster.Standing("w", suspect, true) != StandingSuspect || roster.Standing("w", gone, true) != StandingOut {
		test.Fatal("silence is not judged")
	}
	if roster.Standing("w", gone, false) != StandingGood {
		test.Fatal("a node that hears no foreman must go on with what it has")
	}
}
