package workbench

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/watch"
)

// someWait wakes whoever pumps; one word is enough.
func (bench *Workbench) someWait() {
	select {
	case bench.waits <- struct{}{}:
	default:
	}
}

// PumpWaiting pumps where anything waits, since patience may have run out, and tells
// whether something still does.
func (bench *Workbench) PumpWaiting(now watch.Moment) bool {
	if !bench.waiting() {
		return false
	}
	bench.Pump(now)
	bench.press(now)
	return bench.waiting()
}

func (bench *Workbench) waiting() bool {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	return bench.slab.Len() > 0
}

// KeepPumping looks at those that wait each period, and sleeps while nobody does: an
// idle process must not wake up for nothing.
func (bench *Workbench) KeepPumping(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-bench.waits:
		}
		for waiting := true; waiting; waiting = bench.PumpWaiting(watch.Now()) {
			select {
			case <-stop:
				return
			case <-watch.After(almanac.PumpPeriod):
			}
		}
	}
}
