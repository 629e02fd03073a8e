package replication

import (
	"testing"

	"lemonarch/internal/platform/clock"
)

// ms is an instant of the simulated clock.
func ms(count float64) clock.Instant { return clock.Instant(clock.Milliseconds(count)) }

// The lag of a store that makes progress, but more slowly than the others, must grow: a leader on a slow
// disk would otherwise never resign.
func TestLagCountsUntilTheFirstTargetIsReached(t *testing.T) {
	lag := &ReplicaLag{}
	if lag.Behind(5, 5, ms(0)) != 0 || lag.Behind(5, 9, ms(100)) != 0 {
		t.Fatal("want no lag when the store is first seen behind")
	}
	// The store makes progress, but more slowly than the others: the lag counts from the first target.
	if lag.Behind(6, 20, ms(600)) != 500*1_000_000 || lag.Behind(8, 40, ms(1100)) != 1000*1_000_000 {
		t.Fatal("lag of a slow store does not count from when it was first seen behind, want 500 ms and 1000 ms")
	}
	if lag.Behind(9, 60, ms(1600)) != 0 || lag.Behind(10, 60, ms(1700)) != 100*1_000_000 {
		t.Fatal("lag was not reset with the next target")
	}
	if lag.Behind(60, 60, ms(1800)) != 0 || lag.Behind(60, 60, ms(9000)) != 0 {
		t.Fatal("store that has all records has a lag, want 0")
	}
}
