package linearize

import (
	"testing"
	"time"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/tooling/simulation"
)

const (
	// daySpan is how long operators call in one history, in ns of the fake clock.
	daySpan = clock.Duration(12_000_000_000)
	// checkLimit is how long one history may be checked.
	checkLimit = 20 * time.Second
)

// play plays one seed's day and checks what the operators saw.
func play(t *testing.T, seed int64, breaks Breaks) (*Fleet, error) {
	t.Helper()

	fleet := NewFleet(seed, breaks)
	if err := fleet.Run(daySpan); err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	return fleet, fleet.History.Check(RegisterModel(), checkLimit)
}

func TestOperatorsSeeARegister(t *testing.T) {
	calls, clear, changes := 0, 0, 0
	for seed := range int64(simulation.Seeds(200)) {
		fleet, err := play(t, seed, Breaks{})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		calls, clear = calls+fleet.History.Len(), clear+fleet.History.Clear()
		for _, name := range fleet.names {
			changes = max(changes, int(fleet.nodes[name].known.SetEpoch))
		}
	}
	t.Logf("%d calls, %d with a clear answer, up to %d steps of the set in one history", calls, clear, changes)
	if clear*2 < calls {
		t.Fatal("less than half of the calls had a clear answer: the simulation tests little")
	}
}

// Each guard that is taken out shows in the history of some seed.
func TestBrokenRegistersAreFound(t *testing.T) {
	for name, breaks := range map[string]Breaks{
		"a wiped acceptor keeps its identity":   {KeepIdentity: true},
		"a read believes one acceptor":          {ReadOne: true},
		"a resent version is refused":           {RefuseResent: true},
		"an acceptor answers before its record": {AnswerUnsynced: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(400) {
				if _, err := play(t, seed, breaks); errs.Is(err, ErrNotLinearizable) {
					t.Logf("found with seed %d", seed)
					return
				}
			}
			t.Fatal("not found in 400 seeds")
		})
	}
}
