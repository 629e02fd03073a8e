package admission

import (
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Workers lists the workers that are known, in order.
func (scheduler *Scheduler) Workers(now clock.Moment) []messages.Worker {
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	return scheduler.Registry.All(now)
}

// SetBulkOwn names the only workers at which this process places items.
func (scheduler *Scheduler) SetBulkOwn(workerList map[string]bool) {
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	scheduler.bulkOwn = workerList
}

// BulkRoom counts the workers that have a place left for an item, whether or not
// they read one already: so many items are worth holding ready.
func (scheduler *Scheduler) BulkRoom(ask *Ask, now clock.Moment) int {
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	listening := scheduler.hears(now)
	count := 0
	for _, worker := range scheduler.Registry.Named(ask.Service) {
		if scheduler.Registry.Standing(worker.ID, now, listening) != workers.StandingGood || excluded(ask, worker.ID) {
			continue
		}
		health := scheduler.Tracker.Of(worker.ID)
		if !health.Suspect(now) && health.Running(now) < scheduler.room(ask, worker, now) {
			count++
		}
	}
	return count
}
