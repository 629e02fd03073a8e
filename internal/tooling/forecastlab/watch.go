package forecastlab

import (
	"context"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/forecast"
	"lemonarch/internal/traffic/trafficstats"
)

// observed is what the fleet has observed of a family so far.
type observed struct {
	requests, rejected int64
	waitMs             float64
}

func observationOf(summary *messages.TrafficSummary) observed {
	histogram := trafficstats.Decode(&summary.QueueWait)
	return observed{requests: histogram.TotalCount(), rejected: summary.Rejected, waitMs: histogram.Mean() / 10 * float64(histogram.TotalCount())}
}

// watch asks the fleet once a second, and notes when each family was first short.
type watch struct {
	collector *forecast.Collector
	before    map[string]observed
	// shortAt is, by family, when its waits or refusals passed a bound.
	shortAt map[string]clock.Instant
}

func newWatch(collector *forecast.Collector) *watch {
	return &watch{collector: collector, before: map[string]observed{}, shortAt: map[string]clock.Instant{}}
}

// run looks until the context ends.
func (w *watch) run(until context.Context) {
	for until.Err() == nil {
		start := clock.Now()
		if known, err := w.collector.Collect(); err == nil {
			w.look(known, start)
		}
		clock.Sleep(max(start.Add(clock.Milliseconds(1000)).Sub(clock.Now()), 0))
	}
}

// look compares with the look before.
func (w *watch) look(known *forecast.Known, now clock.Instant) {
	for i := range known.Summaries {
		summary := &known.Summaries[i]
		current, before := observationOf(summary), w.before[summary.Service]
		w.before[summary.Service] = current
		requests := current.requests - before.requests
		if requests <= 0 || before.requests == 0 {
			continue
		}
		wait := (current.waitMs - before.waitMs) / float64(requests)
		refused := float64(current.rejected-before.rejected) / float64(requests)
		if _, noted := w.shortAt[summary.Service]; !noted && (wait > forecast.ShortWaitMs || refused > forecast.ShortRefusals) {
			w.shortAt[summary.Service] = now
		}
	}
}
