package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// retryAfter tells when room is expected.
func (s *Scheduler) retryAfter(req *Request) clock.Duration {
	wait, known := s.expectedWait(req)
	if !known {
		wait = req.Setpoint
	}
	return min(max(wait, 50*1_000_000), constants.GossipPeriod)
}

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
