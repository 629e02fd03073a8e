package register_test

import (
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// burst has every process propose at once on the same base. It returns the time until all have a
// definite outcome, and the number of attempts that this took.
func (f *fleet) burst(generation *int64, base int64) (clock.Duration, int) {
	names := simulation.SortedKeys(f.controllers)
	start, before, waiting := f.world.Now, f.attempts, len(names)
	var last clock.Instant
	for _, name := range names {
		*generation++
		version := messages.Version{Generation: *generation, Base: base, Hash: name}
		var result register.Result
		f.change(name, register.Replace(version, []byte(name), &result), 1000, func(messages.RegisterValue, bool) {
			waiting--
			last = f.world.Now
		})
	}
	for waiting > 0 && f.world.Now.Sub(start) < 60*constants.RegisterTimeout {
		f.world.Run(f.world.Now.Add(clock.Milliseconds(10)))
	}
	if waiting > 0 {
		f.test.Fatalf("%d of %d proposers have no outcome", waiting, len(names))
	}
	return last.Sub(start), f.attempts - before
}

// Eight concurrent changes through eight processes, on disks that sync without delay and on slow
// ones: every proposer completes within the timeout of one change.
func TestEightConcurrentProposersAllComplete(t *testing.T) {
	for _, maxSyncMs := range []float64{0, 10, 30, 60} {
		var longest, total clock.Duration
		attempts, maxAttempts, bursts := 0, 0, 0
		for seed := int64(1); seed <= 20; seed++ {
			fleet := newFleet(t, seed, "a", "b", "c", "d", "e")
			for _, name := range []string{"f", "g", "h"} {
				fleet.addNonMember(name)
			}
			fleet.maxSyncMs = maxSyncMs
			generation := int64(0)
			for range 10 {
				duration, count := fleet.burst(&generation, fleet.newest("a"))
				longest, total = max(longest, duration), total+duration
				attempts, maxAttempts, bursts = attempts+count, max(maxAttempts, count), bursts+1
			}
		}
		t.Logf("sync up to %v ms: %d bursts, mean %v, longest %v, attempts mean %.1f, most %d", maxSyncMs, bursts,
			total/clock.Duration(bursts), longest, float64(attempts)/float64(bursts), maxAttempts)
		if longest > constants.RegisterTimeout {
			t.Errorf("sync up to %v ms: a burst took %v, want at most the timeout of one change, %v", maxSyncMs, longest, constants.RegisterTimeout)
		}
	}
}
