package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// wakePump wakes RunPump. One pending signal is enough.
func (s *Scheduler) wakePump() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// PumpWaiting pumps the queues if any request is queued, since the QueueUntil of a request may have
// passed, and reports whether any request is still queued.
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

// RunPump pumps the queues every constants.PollPeriod while requests are queued, and sleeps while
// none are, so that an idle process causes no wakeups.
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
			case <-clock.After(constants.PollPeriod):
			}
		}
	}
}

// Pump resumes the queued requests that can be placed now, in order of priority and age, and
// rejects those that can't and whose QueueUntil has passed. A request that stays queued for lack of
// capacity blocks the requests behind it in the queue of its service.
func (s *Scheduler) Pump(now clock.Instant) {
	type resumption struct {
		waiter   *waiter
		decision Decision
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
	for _, next := range resumed {
		next.waiter.resume(next.decision)
	}
}
