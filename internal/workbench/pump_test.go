package workbench

import (
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/watch"
)

// Nobody pumps an empty bench; one that waits is looked at until its patience ends,
// and the next one that comes wakes the pump again.
func TestPumpSleepsWhileNobodyWaits(test *testing.T) {
	one := bench(test, 1, "w")
	stop, over := make(chan struct{}), make(chan struct{})
	go func() {
		one.KeepPumping(stop)
		close(over)
	}()
	for count := 0; count < 1+almanac.RoomAhead; count++ {
		if answer, _ := one.Admit(ask(0), nil, watch.Now()); answer.Verdict != VerdictGranted {
			test.Fatal(answer.Verdict)
		}
	}
	for round := 0; round < 2; round++ {
		refused := make(chan Answer, 1)
		waits := ask(0)
		waits.Patience = watch.Now().Plus(2 * almanac.PumpPeriod)
		if answer, _ := one.Admit(waits, func(late Answer) { refused <- late }, watch.Now()); answer.Verdict != VerdictQueued {
			test.Fatal(answer.Verdict)
		}
		select {
		case late := <-refused:
			if late.Verdict != VerdictNoRoom {
				test.Fatal(late.Verdict)
			}
		case <-watch.After(5_000_000_000):
			test.Fatal("nobody looked at the one that waited, round ", round)
		}
	}
	close(stop)
	<-over
	if one.PumpWaiting(watch.Now()) || len(one.waits) != 0 {
		test.Fatal("something still waits")
	}
}
