package soak

import (
	"testing"
	"time"

	"lemonarch/internal/platform/constants"
)

func generated(t *testing.T, seed int64) *Schedule {
	t.Helper()
	schedule, err := Generate(Options{Seed: seed, Duration: 40 * time.Second, Processes: 24})
	if err != nil {
		t.Fatal(err)
	}
	return schedule
}

// TestScheduleIsDeterministic checks that the same seed gives the same schedule, byte for byte, and
// different seeds different ones.
func TestScheduleIsDeterministic(t *testing.T) {
	texts := map[string]bool{}
	for seed := int64(1); seed <= 50; seed++ {
		first, err := generated(t, seed).Text()
		if err != nil {
			t.Fatal(err)
		}
		if second, _ := generated(t, seed).Text(); first != second {
			t.Fatalf("seed %d gave two different schedules", seed)
		}
		texts[first] = true
	}
	if len(texts) != 50 {
		t.Errorf("got %d different schedules, want 50", len(texts))
	}
}

// TestScheduleBounds checks that every schedule respects the bounds on fleet size and times and on what
// counts as planned work, and that no two processes with a disk are lost within the time that the repair
// of the first takes.
func TestScheduleBounds(t *testing.T) {
	planned, powerLosses, kinds := 0, 0, map[string]int{}
	for seed := int64(1); seed <= 200; seed++ {
		schedule := generated(t, seed)
		if schedule.PlannedOnly {
			planned++
		}
		plan := schedule.Experiment.Fleets[0]
		if total := plan.Gateways + plan.Controllers + plan.Stores; total > 24 || plan.Gateways < 2 {
			t.Fatalf("seed %d: got %d processes, %d gateways; want at most 24 processes, at least 2 gateways", seed, total, plan.Gateways)
		}
		lastDiskTroubleS := -constants.SoakRepairTime.Seconds()
		for _, trouble := range schedule.Experiment.Trouble {
			kinds[trouble.Kind]++
			if trouble.Target == "store" {
				powerLosses++
			}
			if err := trouble.Check(); err != nil || trouble.AtS >= 40 {
				t.Fatalf("seed %d: got trouble %+v, error %v; want a valid one that begins before 40 s", seed, trouble, err)
			}
			if schedule.PlannedOnly && (trouble.Kind == "kill" || trouble.Kind == "freeze" || trouble.Kind == "wipe" || trouble.Kind == "crash") {
				t.Fatalf("seed %d: %s is not planned work", seed, trouble.Kind)
			}
			if trouble.Target != "" && (trouble.Target[0] == 's' || trouble.Target[0] == 'c') {
				// All processes may be killed at one moment: that loses no disk.
				powerLoss := trouble.Kind == "kill" && (trouble.Target == "store" || trouble.Target == "controller") && trouble.AtS == lastDiskTroubleS
				if !powerLoss && trouble.AtS-lastDiskTroubleS < constants.SoakRepairTime.Seconds()-0.02 {
					t.Fatalf("seed %d: %v follows before the previous process is repaired", seed, trouble)
				}
				lastDiskTroubleS = trouble.AtS
			}
		}
	}
	if planned < 50 || planned > 150 || len(kinds) != 9 || powerLosses < 20 {
		t.Errorf("got %d of 200 schedules with planned work only, want 50 to 150; got kinds of trouble %v, want 9; got %d losses of power, want 20 or more", planned, kinds, powerLosses)
	}
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	for _, options := range []Options{{Duration: time.Second, Processes: 10}, {Duration: 24 * time.Hour, Processes: 10}, {Duration: 20 * time.Second, Processes: 3}, {Duration: 20 * time.Second, Processes: 1000}} {
		if _, err := Generate(options); err == nil {
			t.Errorf("invalid options %+v were accepted", options)
		}
	}
}
