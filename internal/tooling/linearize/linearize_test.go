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
	daySpan = clock.Span(12_000_000_000)
	// checkLimit is how long one history may be checked.
	checkLimit = 20 * time.Second
)

// play plays one seed's day and checks what the operators saw.
func play(test *testing.T, seed int64, breaks Breaks) (*Fleet, error) {
	fleet := NewFleet(seed, breaks)
	if err := fleet.Run(daySpan); err != nil {
		test.Fatalf("seed %d: %v", seed, err)
	}
	return fleet, fleet.History.Check(RegisterModel(), checkLimit)
}

func TestOperatorsSeeARegister(test *testing.T) {
	calls, clear, changes := 0, 0, 0
	for seed := range int64(simulation.Seeds(200)) {
		fleet, err := play(test, seed, Breaks{})
		if err != nil {
			test.Fatalf("seed %d: %v", seed, err)
		}
		calls, clear = calls+fleet.History.Len(), clear+fleet.History.Clear()
		for _, name := range fleet.names {
			changes = max(changes, int(fleet.nodes[name].known.SetEpoch))
		}
	}
	test.Logf("%d calls, %d with a clear answer, up to %d steps of the set in one history", calls, clear, changes)
	if clear*2 < calls {
		test.Fatal("less than half of the calls had a clear answer: the simulation tests little")
	}
}

// Each guard that is taken out shows in the history of some seed.
func TestBrokenRegistersAreFound(test *testing.T) {
	for name, breaks := range map[string]Breaks{
		"a wiped acceptor keeps its identity":   {KeepIdentity: true},
		"a read believes one acceptor":          {ReadOne: true},
		"a resent version is refused":           {RefuseResent: true},
		"an acceptor answers before its record": {AnswerUnsynced: true},
	} {
		test.Run(name, func(test *testing.T) {
			for seed := range int64(400) {
				if _, err := play(test, seed, breaks); errs.Of(err, Broken) {
					test.Logf("found with seed %d", seed)
					return
				}
			}
			test.Fatal("not found in 400 seeds")
		})
	}
}
