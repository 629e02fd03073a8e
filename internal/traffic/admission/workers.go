package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Judged takes a controller's list of the workers that are silent. It says, too, that a
// controller was heard.
func (s *Scheduler) Judged(silent []messages.Overdue, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.listening = now
	s.Registry.ApplyOverdue(silent, now)
	s.Registry.Forget(now)
}

// Table stands for the workers known here.
func (s *Scheduler) Table() messages.Digest {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.Registry.Digest(s.own.Incarnation)
}
