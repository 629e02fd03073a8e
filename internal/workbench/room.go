package workbench

import (
	"lemonarch/internal/pattern"
	"lemonarch/internal/roster"
	"lemonarch/internal/watch"
)

// Workers lists the workers that are known, in order.
func (bench *Workbench) Workers(now watch.Moment) []pattern.Worker {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	return bench.Roster.All(now)
}

// SetBulkOwn names the only workers at which this process places items.
func (bench *Workbench) SetBulkOwn(workers map[string]bool) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	bench.bulkOwn = workers
}

// BulkRoom counts the workers that have a place left for an item, whether or not
// they read one already: so many items are worth holding ready.
func (bench *Workbench) BulkRoom(ask *Ask, now watch.Moment) int {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	listening := bench.hears(now)
	count := 0
	for _, worker := range bench.Roster.Named(ask.Service) {
		if bench.Roster.Standing(worker.ID, now, listening) != roster.StandingGood || excluded(ask, worker.ID) {
			continue
		}
		vitals := bench.Gauge.Of(worker.ID)
		if !vitals.Suspect(now) && vitals.Running(now) < bench.room(ask, worker, now) {
			count++
		}
	}
	return count
}
