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

// SetBulkOwn names the only workers at which this process places items.
func (s *Scheduler) SetBulkOwn(workerList map[string]bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.bulkOwn = workerList
}

// BulkRoom counts the workers that have a place left for an item, whether or not
// they read one already: so many items are worth holding ready.
func (s *Scheduler) BulkRoom(ask *Ask, now clock.Instant) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	listening := s.hears(now)
	count := 0
	for _, worker := range s.Registry.ByService(ask.Service) {
		if s.Registry.Status(worker.ID, now, listening) != workers.StatusHealthy || excluded(ask, worker.ID) {
			continue
		}
		health := s.Tracker.Of(worker.ID)
		if !health.Suspect(now) && health.Running(now) < s.room(ask, worker, now) {
			count++
		}
	}
	return count
}
