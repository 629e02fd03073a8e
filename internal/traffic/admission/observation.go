package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/traffic/health"
	"lemonarch/internal/traffic/trafficstats"
)

// ItemObservation returns the traffic statistics entry for an item of a batch job that ran to
// completion with the given number of events.
func (g *Grant) ItemObservation(route, model string, events int, now clock.Instant) *trafficstats.Observation {
	observation := &trafficstats.Observation{
		Class: trafficstats.Class{Route: route, Service: g.request.Service, Model: model},
		Bulk:  true, Outcome: trafficstats.OutcomeServed, Placed: true,
		PromptTokens: g.request.Prompt.Tokens, FreshTokens: g.FreshTokens, OutTokens: g.request.Prompt.OutTokens,
		Events: events, Duration: now.Sub(g.startedAt),
	}
	if g.firstAt > 0 {
		observation.FirstEvent = g.firstAt.Sub(g.startedAt)
		observation.Running, observation.Waiting, observation.LoadKnown = health.ParseRunning(g.firstLoad)
	}
	if g.firstAt > 0 && events > 1 {
		observation.EventGap = now.Sub(g.firstAt) / clock.Duration(events-1)
	}
	return observation
}
