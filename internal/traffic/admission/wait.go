package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// retryAfter tells when room is expected.
func (s *Scheduler) retryAfter(ask *Ask) clock.Duration {
	wait, known := s.expectedWait(ask)
	if !known {
		wait = ask.Setpoint
	}
	return min(max(wait, 50*1_000_000), constants.GossipPeriod)
}

func (s *Scheduler) expectedWait(ask *Ask) (clock.Duration, bool) {
	pace := s.rates[ask.Service]
	if pace == nil || pace.perS <= 0 {
		return 0, false
	}
	ahead := 1.0
	for _, handle := range s.queues[ask.Service] {
		if one, found := s.slab.Get(handle); found && one.ask.Priority <= ask.Priority {
			ahead++
		}
	}
	return clock.Milliseconds(1000 * ahead / pace.perS), true
}
