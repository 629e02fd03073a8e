package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// someWait wakes whoever pumps; one word is enough.
func (s *Scheduler) someWait() {
	select {
	case s.waits <- struct{}{}:
	default:
	}
}

// PumpWaiting pumps where anything waits, since patience may have run out, and tells
// whether something still does.
func (s *Scheduler) PumpWaiting(now clock.Instant) bool {
	if !s.waiting() {
		return false
	}
	s.Pump(now)
	s.press(now)
	return s.waiting()
}

func (s *Scheduler) waiting() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.slab.Len() > 0
}

// KeepPumping looks at those that wait each period, and sleeps while nobody does: an
// idle process must not wake up for nothing.
func (s *Scheduler) KeepPumping(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-s.waits:
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

// Pump resumes what can be placed now, in order of rank and age, and refuses
// what can wait no longer.
func (s *Scheduler) Pump(now clock.Instant) {
	type resumption struct {
		one    *waiter
		answer Answer
	}
	var resumed []resumption
	s.lock.Lock()
	for service, queue := range s.queues {
		kept := queue[:0]
		blocked := false
		for _, handle := range queue {
			one, found := s.slab.Get(handle)
			if !found {
				continue
			}
			answer := Answer{Verdict: VerdictNoRoom}
			if !blocked {
				answer = s.place(one.ask, now)
			}
			if answer.Verdict == VerdictNoRoom && now < one.ask.Patience {
				blocked = true
				kept = append(kept, handle)
				continue
			}
			if answer.Verdict == VerdictNoRoom {
				answer.Retry = s.retryAfter(one.ask)
			}
			s.slab.Take(handle)
			resumed = append(resumed, resumption{one, answer})
		}
		s.queues[service] = kept
	}
	s.lock.Unlock()
	for _, each := range resumed {
		each.one.resume(each.answer)
	}
}
