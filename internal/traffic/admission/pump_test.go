package admission

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// The pump sleeps while no request is queued. A queued request is checked until its QueueUntil, and
// the next queued request wakes the pump again.
func TestPumpSleepsWhileQueueIsEmpty(t *testing.T) {
	scheduler := newScheduler(t, 1, "w")
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		scheduler.RunPump(stop)
		close(done)
	}()
	for count := 0; count < 1+constants.QueueAheadMax; count++ {
		if decision, _ := scheduler.Admit(newRequest(0), nil, clock.Now()); decision.Verdict != VerdictGranted {
			t.Fatalf("verdict %d, want the request granted while there is capacity", decision.Verdict)
		}
	}
	for round := 0; round < 2; round++ {
		rejected := make(chan Decision, 1)
		req := newRequest(0)
		req.QueueUntil = clock.Now().Add(2 * constants.PollPeriod)
		if decision, _ := scheduler.Admit(req, func(queuedDecision Decision) { rejected <- queuedDecision }, clock.Now()); decision.Verdict != VerdictQueued {
			t.Fatalf("verdict %d, want the request queued", decision.Verdict)
		}
		select {
		case queuedDecision := <-rejected:
			if queuedDecision.Verdict != VerdictNoCapacity {
				t.Fatalf("verdict %d, want the queued request rejected (%d)", queuedDecision.Verdict, VerdictNoCapacity)
			}
		case <-clock.After(5_000_000_000):
			t.Fatalf("round %d: the queued request was not rejected within 5 s", round)
		}
	}
	close(stop)
	<-done
	if scheduler.PumpWaiting(clock.Now()) || len(scheduler.wake) != 0 {
		t.Fatal("requests are still queued or the pump has a pending wakeup")
	}
}
