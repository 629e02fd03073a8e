package workeremulator

import (
	"testing"
	"time"

	"lemonarch/internal/platform/clock"
)

// A worker is slow for its warm-up, says so in its beats, and is itself afterwards.
func TestWarmup(t *testing.T) {
	nodeSettings := engineSettings
	nodeSettings.Warmup = time.Second
	clockValue := &immediateClock{now: clock.Instant(time.Second)}
	var later func()
	worker := NewWorker(nodeSettings, &Record{}, deferringClock{clockValue, &later}, 1)
	if worker.engine.shape.Step != 2*smallShape.Step || worker.warmUntil.Sub(clockValue.Now()) != time.Second {
		t.Fatal(worker.engine.shape, worker.warmUntil)
	}
	worker.SetFaults(Faults{Slow: 3})
	if worker.engine.shape.Step != 6*smallShape.Step {
		t.Fatal("trouble and warm-up do not add up", worker.engine.shape)
	}
	worker.SetFaults(Faults{})
	clockValue.now = clock.Instant(2 * time.Second)
	later()
	if worker.engine.shape.Step != smallShape.Step || worker.engine.shape.ReadPerMs != smallShape.ReadPerMs {
		t.Fatal("slow for ever", worker.engine.shape)
	}
}

// holding is a clock that keeps what is to happen later.
type deferringClock struct {
	*immediateClock
	later *func()
}

func (h deferringClock) After(_ clock.Duration, function func()) { *h.later = function }
