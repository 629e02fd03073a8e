package workbench

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/watch"
)

// retryAfter tells when room is expected.
func (bench *Workbench) retryAfter(ask *Ask, now watch.Moment) watch.Span {
	wait, known := bench.expectedWait(ask, now)
	if !known {
		wait = ask.Setpoint
	}
	return min(max(wait, 50*1_000_000), almanac.GossipPeriod)
}

func (bench *Workbench) expectedWait(ask *Ask, now watch.Moment) (watch.Span, bool) {
	pace := bench.rates[ask.Service]
	if pace == nil || pace.perS <= 0 {
		return 0, false
	}
	ahead := 1.0
	for _, handle := range bench.queues[ask.Service] {
		if one, found := bench.slab.Get(handle); found && one.ask.Priority <= ask.Priority {
			ahead++
		}
	}
	return watch.Milliseconds(1000 * ahead / pace.perS), true
}
