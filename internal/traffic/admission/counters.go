package admission

import "sync/atomic"

// Counters counts, for one route, what was displaced, resumed and finished here.
type Counters struct {
	Displaced, Resumed, Finished atomic.Int64
}

// Counters gives the counts of a route.
func (scheduler *Scheduler) Counters(route string) *Counters {
	scheduler.countersLock.Lock()
	defer scheduler.countersLock.Unlock()
	counters := scheduler.tallies[route]
	if counters == nil {
		counters = &Counters{}
		scheduler.tallies[route] = counters
	}
	return counters
}

// Tallies lists them by route.
func (scheduler *Scheduler) Tallies() map[string]*Counters {
	scheduler.countersLock.Lock()
	defer scheduler.countersLock.Unlock()
	copied := map[string]*Counters{}
	for route, counters := range scheduler.tallies {
		copied[route] = counters
	}
	return copied
}
