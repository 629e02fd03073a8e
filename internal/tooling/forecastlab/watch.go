package forecastlab

import (
	"context"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/forecast"
	"lemonarch/internal/traffic/trafficstats"
)

// queueTotals is the cumulative number of queued and rejected requests of a family and their total
// wait.
type queueTotals struct {
	requests, rejected int64
	waitMs             float64
}

func queueTotalsOf(summary *messages.TrafficSummary) queueTotals {
	histogram := trafficstats.Decode(&summary.QueueWait)
	return queueTotals{requests: histogram.TotalCount(), rejected: summary.Rejected, waitMs: histogram.Mean() / 10 * float64(histogram.TotalCount())}
}

// shortageMonitor polls the traffic of the fleet once a second, and records when each family was
// first short of capacity.
type shortageMonitor struct {
	collector *forecast.Collector
	// previous is, by family, the totals of the previous poll.
	previous map[string]queueTotals
	// shortAt is, by family, when its wait or its share of rejections first exceeded its bound.
	shortAt map[string]clock.Instant
}

func newShortageMonitor(collector *forecast.Collector) *shortageMonitor {
	return &shortageMonitor{collector: collector, previous: map[string]queueTotals{}, shortAt: map[string]clock.Instant{}}
}

// run polls until the context ends.
func (w *shortageMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := clock.Now()
		if state, err := w.collector.Collect(); err == nil {
			w.update(state, start)
		}
		clock.Sleep(max(start.Add(clock.Milliseconds(1000)).Sub(clock.Now()), 0))
	}
}

// update compares the traffic totals with those of the previous poll.
func (w *shortageMonitor) update(state *forecast.FleetState, now clock.Instant) {
	for i := range state.Summaries {
		summary := &state.Summaries[i]
		current, previous := queueTotalsOf(summary), w.previous[summary.Service]
		w.previous[summary.Service] = current
		requests := current.requests - previous.requests
		if requests <= 0 || previous.requests == 0 {
			continue
		}
		wait := (current.waitMs - previous.waitMs) / float64(requests)
		rejected := float64(current.rejected-previous.rejected) / float64(requests)
		if _, noted := w.shortAt[summary.Service]; !noted && (wait > forecast.ShortWaitMs || rejected > forecast.ShortRejections) {
			w.shortAt[summary.Service] = now
		}
	}
}
