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

// Pump resumes what can be placed now, in order of rank and age, and refuses
// what can wait no longer.
func (bench *Workbench) Pump(now watch.Moment) {
	type resumption struct {
		one    *waiter
		answer Answer
	}
	var resumed []resumption
	bench.lock.Lock()
	for service, queue := range bench.queues {
		kept := queue[:0]
		blocked := false
		for _, handle := range queue {
			one, found := bench.slab.Get(handle)
			if !found {
				continue
			}
			answer := Answer{Verdict: VerdictNoRoom}
			if !blocked {
				answer = bench.place(one.ask, now)
			}
			if answer.Verdict == VerdictNoRoom && now < one.ask.Patience {
				blocked = true
				kept = append(kept, handle)
				continue
			}
			if answer.Verdict == VerdictNoRoom {
				answer.Retry = bench.retryAfter(one.ask, now)
			}
			bench.slab.Take(handle)
			resumed = append(resumed, resumption{one, answer})
		}
		bench.queues[service] = kept
	}
	bench.lock.Unlock()
	for _, each := range resumed {
		each.one.resume(each.answer)
	}
}
