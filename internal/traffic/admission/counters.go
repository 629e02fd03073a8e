package admission

import "sync/atomic"

// Counters counts, for one route, what was preempted, resumed and finished here.
type Counters struct {
	Displaced, Resumed, Finished atomic.Int64
}

// Counters gives the counts of a route.
func (s *Scheduler) Counters(route string) *Counters {
	s.countersLock.Lock()
	defer s.countersLock.Unlock()
	counters := s.counters[route]
	if counters == nil {
		counters = &Counters{}
		s.counters[route] = counters
	}
	return counters
}

// AllCounters lists them by route.
func (s *Scheduler) AllCounters() map[string]*Counters {
	s.countersLock.Lock()
	defer s.countersLock.Unlock()
	copied := map[string]*Counters{}
	for route, counters := range s.counters {
		copied[route] = counters
	}
	return copied
}
