package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// wakePump wakes RunPump; one signal is enough.
func (s *Scheduler) wakePump() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// PumpWaiting pumps where anything waits, since its time may have run out, and tells
// whether something still does.
func (s *Scheduler) PumpWaiting(now clock.Instant) bool {
	if !s.hasWaiting() {
		return false
	}
	s.Pump(now)
	s.applyPressure(now)
	return s.hasWaiting()
}

func (s *Scheduler) hasWaiting() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.slab.Len() > 0
}

// RunPump looks at those that wait each period, and sleeps while nobody does: an
// idle process must not wake up for nothing.
func (s *Scheduler) RunPump(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-s.wake:
		}
		for waiting := true; waiting; waiting = s.PumpWaiting(clock.Now()) {
			select {
			case <-stop:
				return
			case <-clock.After(constants.PumpPeriod):
			}
		}
	}
}

// Pump resumes what can be placed now, in order of rank and age, and rejects
// what can wait no longer.
func (s *Scheduler) Pump(now clock.Instant) {
	type resumption struct {
		one    *waiter
		answer Decision
	}
	var resumed []resumption
	s.lock.Lock()
	for service, queue := range s.queues {
		remaining := queue[:0]
		blocked := false
		for _, handle := range queue {
			queued, found := s.slab.Get(handle)
			if !found {
				continue
			}
			decision := Decision{Verdict: VerdictNoCapacity}
			if !blocked {
				decision = s.selectWorker(queued.request, now)
			}
			if decision.Verdict == VerdictNoCapacity && now < queued.request.QueueUntil {
				blocked = true
				remaining = append(remaining, handle)
				continue
			}
			if decision.Verdict == VerdictNoCapacity {
				decision.Retry = s.retryAfter(queued.request)
			}
			s.slab.Take(handle)
			resumed = append(resumed, resumption{queued, decision})
		}
		s.queues[service] = remaining
	}
	s.lock.Unlock()
	for _, each := range resumed {
		each.one.resume(each.answer)
	}
}
