package admission

import (
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Workers returns the known workers in order of their IDs.
func (s *Scheduler) Workers(now clock.Instant) []messages.Worker {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.Registry.All(now)
}

// SetOwnedWorkers sets the only workers on which this process places items; nil means all workers.
func (s *Scheduler) SetOwnedWorkers(workerList map[string]bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ownedWorkers = workerList
}

// BulkCapacity returns the number of workers that have a free slot for an item, whether or not they
// are already prefilling one. That many items are worth keeping ready for placement.
func (s *Scheduler) BulkCapacity(req *Request, now clock.Instant) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	inContact := s.controllerInContact(now)
	count := 0
	for _, worker := range s.Registry.ByService(req.Service) {
		if s.Registry.Status(worker.ID, now, inContact) != workers.StatusHealthy || isExcluded(req, worker.ID) {
			continue
		}
		health := s.Tracker.HealthOf(worker.ID)
		if !health.Suspect(now) && health.Running(now) < s.capacityFor(req, worker, now) {
			count++
		}
	}
	return count
}
