package admission

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Nobody pumps an empty bench; one that waits is looked at until its patience ends,
// and the next one that comes wakes the pump again.
func TestPumpSleepsWhileQueueIsEmpty(t *testing.T) {
	entry := newScheduler(t, 1, "w")
	stop, over := make(chan struct{}), make(chan struct{})
	go func() {
		entry.RunPump(stop)
		close(over)
	}()
	for count := 0; count < 1+constants.QueueAheadMax; count++ {
		if decision, _ := entry.Admit(newRequest(0), nil, clock.Now()); decision.Verdict != VerdictGranted {
			t.Fatal(decision.Verdict)
		}
	}
	for round := 0; round < 2; round++ {
		refused := make(chan Decision, 1)
		waits := newRequest(0)
		waits.QueueUntil = clock.Now().Add(2 * constants.PumpPeriod)
		if decision, _ := entry.Admit(waits, func(late Decision) { refused <- late }, clock.Now()); decision.Verdict != VerdictQueued {
			t.Fatal(decision.Verdict)
		}
		select {
		case late := <-refused:
			if late.Verdict != VerdictNoCapacity {
				t.Fatal(late.Verdict)
			}
		case <-clock.After(5_000_000_000):
			t.Fatal("nobody looked at the one that waited, round ", round)
		}
	}
	close(stop)
	<-over
	if entry.PumpWaiting(clock.Now()) || len(entry.wake) != 0 {
		t.Fatal("something still waits")
	}
}
