package admission

import (
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Workers lists the workers that are known, in order.
func (s *Scheduler) Workers(now clock.Instant) []messages.Worker {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.Registry.All(now)
}

// SetOwnedWorkers names the only workers at which this process places items.
func (s *Scheduler) SetOwnedWorkers(workerList map[string]bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ownedWorkers = workerList
}

// BulkCapacity counts the workers that have a slot left for an item, whether or not
// they prefill one already: so many items are worth holding ready.
func (s *Scheduler) BulkCapacity(req *Request, now clock.Instant) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	listening := s.controllerInContact(now)
	count := 0
	for _, worker := range s.Registry.ByService(req.Service) {
		if s.Registry.Status(worker.ID, now, listening) != workers.StatusHealthy || isExcluded(req, worker.ID) {
			continue
		}
		health := s.Tracker.Of(worker.ID)
		if !health.Suspect(now) && health.Running(now) < s.capacityFor(req, worker, now) {
			count++
		}
	}
	return count
}
