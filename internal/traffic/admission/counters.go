package admission

import "sync/atomic"

// Counters contains the counters of one route in this process: Preempted counts the preemptions,
// Resumed the attempts that continue a preempted request, and Finished the requests that were served
// after a preemption.
type Counters struct {
	Preempted, Resumed, Finished atomic.Int64
}

// Counters returns the counters of a route and creates them if necessary.
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

// AllCounters returns the counters of all routes, keyed by route.
func (s *Scheduler) AllCounters() map[string]*Counters {
	s.countersLock.Lock()
	defer s.countersLock.Unlock()
	copied := map[string]*Counters{}
	for route, counters := range s.counters {
		copied[route] = counters
	}
	return copied
}
