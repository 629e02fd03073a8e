package admission

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Nobody pumps an empty bench; one that waits is looked at until its patience ends,
// and the next one that comes wakes the pump again.
func TestPumpSleepsWhileNobodyWaits(t *testing.T) {
	one := scheduler(t, 1, "w")
	stop, over := make(chan struct{}), make(chan struct{})
	go func() {
		one.KeepPumping(stop)
		close(over)
	}()
	for count := 0; count < 1+constants.QueueAheadMax; count++ {
		if answer, _ := one.Admit(ask(0), nil, clock.Now()); answer.Verdict != VerdictGranted {
			t.Fatal(answer.Verdict)
		}
	}
	for round := 0; round < 2; round++ {
		refused := make(chan Answer, 1)
		waits := ask(0)
		waits.Patience = clock.Now().Add(2 * constants.PumpPeriod)
		if answer, _ := one.Admit(waits, func(late Answer) { refused <- late }, clock.Now()); answer.Verdict != VerdictQueued {
			t.Fatal(answer.Verdict)
		}
		select {
		case late := <-refused:
			if late.Verdict != VerdictNoRoom {
				t.Fatal(late.Verdict)
			}
		case <-clock.After(5_000_000_000):
			t.Fatal("nobody looked at the one that waited, round ", round)
		}
	}
	close(stop)
	<-over
	if one.PumpWaiting(clock.Now()) || len(one.waits) != 0 {
		t.Fatal("something still waits")
	}
}
