package workeremulator

import (
	"testing"
	"time"

	"lemonarch/internal/platform/clock"
)

// TestWorkerIsSlowDuringWarmup checks that a worker is slow during warm-up, sets the end of the warm-up
// from which its heartbeats compute the remaining time, and runs at normal speed afterwards.
func TestWorkerIsSlowDuringWarmup(t *testing.T) {
	settings := engineSettings
	settings.Warmup = time.Second
	clockValue := &immediateClock{now: clock.Instant(time.Second)}
	var later func()
	worker := NewWorker(settings, &Record{}, deferringClock{clockValue, &later}, 1)
	if worker.engine.shape.Step != 2*smallShape.Step || worker.warmUntil.Sub(clockValue.Now()) != time.Second {
		t.Fatalf("shape %+v and end of warm-up %v, want steps twice as long and 1 s of warm-up left", worker.engine.shape, worker.warmUntil)
	}
	worker.SetFaults(Faults{Slow: 3})
	if worker.engine.shape.Step != 6*smallShape.Step {
		t.Fatalf("shape %+v with a fault that slows by 3 during warm-up, want steps 6 times as long", worker.engine.shape)
	}
	worker.SetFaults(Faults{})
	clockValue.now = clock.Instant(2 * time.Second)
	later()
	if worker.engine.shape.Step != smallShape.Step || worker.engine.shape.ReadPerMs != smallShape.ReadPerMs {
		t.Fatalf("shape %+v after warm-up, want normal speed", worker.engine.shape)
	}
}

// deferringClock is a clock that stores the scheduled function without calling it.
type deferringClock struct {
	*immediateClock
	later *func()
}

func (c deferringClock) After(_ clock.Duration, function func()) { *c.later = function }
