package linearize

import (
	"testing"
	"time"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/tooling/simulation"
)

const (
	// callSpan is how long the operators call in one history, in ns of the simulated clock.
	callSpan = clock.Duration(12_000_000_000)
	// checkLimit is the time limit for checking one history.
	checkLimit = 20 * time.Second
)

// runHistory runs the simulation with one seed and checks the history that the operators
// recorded.
func runHistory(t *testing.T, seed int64, defects Defects) (*Fleet, error) {
	t.Helper()

	fleet := NewFleet(seed, defects)
	if err := fleet.Run(callSpan); err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	return fleet, fleet.History.Check(RegisterModel(), checkLimit)
}

// TestRegisterHistoriesAreLinearizable checks that the responses of the simulated fleet are those of one
// compare-and-set register although machines restart, lose their disks or are partitioned.
func TestRegisterHistoriesAreLinearizable(t *testing.T) {
	calls, clear, epochs := 0, 0, 0
	for seed := range int64(simulation.Seeds(200)) {
		fleet, err := runHistory(t, seed, Defects{})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		calls, clear = calls+fleet.History.Len(), clear+fleet.History.ClearCount()
		for _, name := range fleet.names {
			epochs = max(epochs, int(fleet.nodes[name].known.SetEpoch))
		}
	}
	t.Logf("%d calls, %d with a clear response, highest set epoch %d in one history", calls, clear, epochs)
	if clear*2 < calls {
		t.Fatalf("%d of %d calls had a clear response, want at least half: the simulation tests too little",
			clear, calls)
	}
}

// TestRemovedGuardsAreDetected checks that each removed guard makes the history of some seed not
// linearizable.
func TestRemovedGuardsAreDetected(t *testing.T) {
	for name, defects := range map[string]Defects{
		"a wiped acceptor keeps its identity":               {KeepIdentity: true},
		"a read uses one acceptor's response":               {ReadFromOne: true},
		"a resent version is rejected":                      {RejectResent: true},
		"an acceptor responds before its record is on disk": {RespondUnsynced: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(400) {
				if _, err := runHistory(t, seed, defects); errs.Is(err, ErrNotLinearizable) {
					t.Logf("found with seed %d", seed)
					return
				}
			}
			t.Fatal("removed guard was not detected in 400 seeds")
		})
	}
}
