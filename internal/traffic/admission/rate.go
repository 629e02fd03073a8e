package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// rate estimates how many requests per second a service finishes, as observed by this process.
type rate struct {
	since     clock.Instant
	count     float64
	perSecond float64
}

// recordRate counts a request that a service finished. The caller must hold the lock.
func (s *Scheduler) recordRate(service string, now clock.Instant) {
	current := s.rates[service]
	if current == nil {
		current = &rate{since: now}
		s.rates[service] = current
	}
	current.count++
	if elapsed := now.Sub(current.since); elapsed > constants.GossipPeriod/2 {
		measured := current.count / elapsed.Seconds()
		if current.perSecond == 0 {
			current.perSecond = measured
		}
		current.perSecond += 0.4 * (measured - current.perSecond)
		current.count, current.since = 0, now
	}
}

// retryAfter returns the time until capacity is expected, between 50 ms and constants.GossipPeriod.
// If that time is not known, it starts from the request's setpoint. The caller must hold the lock.
func (s *Scheduler) retryAfter(req *Request) clock.Duration {
	wait, known := s.expectedWait(req)
	if !known {
		wait = req.Setpoint
	}
	return min(max(wait, 50*1_000_000), constants.GossipPeriod)
}

// expectedWait returns the time until the service has finished as many requests as are queued ahead
// of this one, plus one. It returns false if the service's rate is not known yet. The caller must
// hold the lock.
func (s *Scheduler) expectedWait(req *Request) (clock.Duration, bool) {
	rate := s.rates[req.Service]
	if rate == nil || rate.perSecond <= 0 {
		return 0, false
	}
	ahead := 1.0
	for _, handle := range s.queues[req.Service] {
		if queued, found := s.slab.Get(handle); found && queued.request.Priority <= req.Priority {
			ahead++
		}
	}
	return clock.Milliseconds(1000 * ahead / rate.perSecond), true
}
