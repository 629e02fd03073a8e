package admission

import "sync/atomic"

// Counters counts, for one route, what was displaced, resumed and finished here.
type Counters struct {
	Displaced, Resumed, Finished atomic.Int64
}

// Counters gives the counts of a route.
func (s *Scheduler) Counters(route string) *Counters {
	s.countersLock.Lock()
	defer s.countersLock.Unlock()
	counters := s.tallies[route]
	if counters == nil {
		counters = &Counters{}
		s.tallies[route] = counters
	}
	return counters
}

// Tallies lists them by route.
func (s *Scheduler) Tallies() map[string]*Counters {
	s.countersLock.Lock()
	defer s.countersLock.Unlock()
	copied := map[string]*Counters{}
	for route, counters := range s.tallies {
		copied[route] = counters
	}
	return copied
}
