package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// HandleOverdue takes a controller's list of the workers that are silent. It says, too, that a
// controller was in contact.
func (s *Scheduler) HandleOverdue(silent []messages.Overdue, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.controllerContactAt = now
	s.Registry.ApplyOverdue(silent, now)
	s.Registry.Forget(now)
}

// WorkerBucketSums are the sums of the workers known here, for a pull from a controller.
func (s *Scheduler) WorkerBucketSums() []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.Registry.BucketSums()
}

// WorkersDigest stands for the workers known here.
func (s *Scheduler) WorkersDigest() messages.Digest {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.Registry.Digest(s.self.Incarnation)
}
