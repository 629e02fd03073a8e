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
	clockValue := &hasty{now: clock.Instant(time.Second)}
	var later func()
	worker := NewWorker(nodeSettings, &Record{}, holding{clockValue, &later}, 1)
	if worker.engine.shape.Step != 2*smallShape.Step || worker.warm.Sub(clockValue.Now()) != time.Second {
		t.Fatal(worker.engine.shape, worker.warm)
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
type holding struct {
	*hasty
	later *func()
}

func (h holding) After(_ clock.Duration, function func()) { *h.later = function }
