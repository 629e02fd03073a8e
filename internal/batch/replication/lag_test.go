package replication

import (
	"testing"

	"lemonarch/internal/platform/clock"
)

// ms is an instant of the simulated clock.
func ms(count float64) clock.Instant { return clock.Instant(clock.Milliseconds(count)) }

func TestReplicaLag(t *testing.T) {
	lag := &ReplicaLag{}
	if lag.Behind(5, 5, ms(0)) != 0 || lag.Behind(5, 9, ms(100)) != 0 {
		t.Fatal("behind at once")
	}
	// It moves on, but slower than the others: what counts is the first target.
	if lag.Behind(6, 20, ms(600)) != 500*1_000_000 || lag.Behind(8, 40, ms(1100)) != 1000*1_000_000 {
		t.Fatal("a slow store seems to keep up")
	}
	if lag.Behind(9, 60, ms(1600)) != 0 || lag.Behind(10, 60, ms(1700)) != 100*1_000_000 {
		t.Fatal("the next target does not begin anew")
	}
	if lag.Behind(60, 60, ms(1800)) != 0 || lag.Behind(60, 60, ms(9000)) != 0 {
		t.Fatal("behind although it has everything")
	}
}
