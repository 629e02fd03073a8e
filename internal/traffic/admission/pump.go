package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// someWait wakes whoever pumps; one word is enough.
func (scheduler *Scheduler) someWait() {
	select {
	case scheduler.waits <- struct{}{}:
	default:
	}
}

// PumpWaiting pumps where anything waits, since patience may have run out, and tells
// whether something still does.
func (scheduler *Scheduler) PumpWaiting(now clock.Moment) bool {
	if !scheduler.waiting() {
		return false
	}
	scheduler.Pump(now)
	scheduler.press(now)
	return scheduler.waiting()
}

func (scheduler *Scheduler) waiting() bool {
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	return scheduler.slab.Len() > 0
}

// KeepPumping looks at those that wait each period, and sleeps while nobody does: an
// idle process must not wake up for nothing.
func (scheduler *Scheduler) KeepPumping(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-scheduler.waits:
		}
		for waiting := true; waiting; waiting = scheduler.PumpWaiting(clock.Now()) {
			select {
			case <-stop:
				return
			case <-clock.After(constants.PumpPeriod):
			}
		}
	}
}

// Pump resumes what can be placed now, in order of rank and age, and refuses
// what can wait no longer.
func (scheduler *Scheduler) Pump(now clock.Moment) {
	type resumption struct {
		one    *waiter
		answer Answer
	}
	var resumed []resumption
	scheduler.lock.Lock()
	for service, queue := range scheduler.queues {
		kept := queue[:0]
		blocked := false
		for _, handle := range queue {
			one, found := scheduler.slab.Get(handle)
			if !found {
				continue
			}
			answer := Answer{Verdict: VerdictNoRoom}
			if !blocked {
				answer = scheduler.place(one.ask, now)
			}
			if answer.Verdict == VerdictNoRoom && now < one.ask.Patience {
				blocked = true
				kept = append(kept, handle)
				continue
			}
			if answer.Verdict == VerdictNoRoom {
				answer.Retry = scheduler.retryAfter(one.ask, now)
			}
			scheduler.slab.Take(handle)
			resumed = append(resumed, resumption{one, answer})
		}
		scheduler.queues[service] = kept
	}
	scheduler.lock.Unlock()
	for _, each := range resumed {
		each.one.resume(each.answer)
	}
}
