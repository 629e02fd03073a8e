package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// HandleOverdue applies a controller's list of the workers whose heartbeats are overdue. The
// message also proves that a controller was in contact.
func (s *Scheduler) HandleOverdue(overdue []messages.Overdue, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.controllerContactAt = now
	s.Registry.ApplyOverdue(overdue, now)
	s.Registry.Forget(now)
}

// WorkerBucketSums returns the per-bucket sums of the workers known here, for a pull from a
// controller.
func (s *Scheduler) WorkerBucketSums() []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.Registry.BucketSums()
}

// WorkersDigest returns the digest of the workers known here.
func (s *Scheduler) WorkersDigest() messages.Digest {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.Registry.Digest(s.self.Incarnation)
}
