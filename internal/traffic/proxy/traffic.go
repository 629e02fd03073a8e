package proxy

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/health"
	"lemonarch/internal/traffic/trafficstats"
)

// trafficObservation gathers what the traffic summaries keep of one request.
type trafficObservation struct {
	outcome          trafficstats.Outcome
	wasPlaced        bool
	freshTokens      int
	placedAt, sentAt clock.Instant
	firstAt          clock.Instant
	loadKnown        bool
	running, waiting int
	events           int
	eventGap         clock.Duration
}

// placed notes a worker that was found; the last one counts, the wait for the first.
func (o *trafficObservation) placed(grant *admission.Grant, now clock.Instant) {
	if !o.wasPlaced {
		o.wasPlaced, o.placedAt = true, now
	}
	o.sentAt, o.freshTokens = now, grant.FreshTokens
}

// firstEvent notes the first event or the head of a response, and the load that it states.
func (o *trafficObservation) firstEvent(load string, now clock.Instant) {
	o.firstAt = now
	o.running, o.waiting, o.loadKnown = health.ParseRunning(load)
}

// served notes that the response was complete.
func (o *trafficObservation) served(events int, eventGap clock.Duration) {
	o.outcome, o.events, o.eventGap = trafficstats.OutcomeServed, events, eventGap
}

// recordTraffic hands what was seen of the request to the summaries.
func (e *exchange) recordTraffic() {
	recorder := e.proxyServer.Traffic
	if recorder == nil {
		return
	}
	now, seen := clock.Now(), &e.traffic
	observation := &trafficstats.Observation{
		Class:        trafficstats.Class{Route: e.route.Name, Service: e.admission.Service, Model: e.model},
		Outcome:      seen.outcome,
		Placed:       seen.wasPlaced,
		PromptTokens: e.admission.Prompt.Tokens, FreshTokens: seen.freshTokens, OutTokens: e.admission.Prompt.Out,
		Events: seen.events, EventGap: seen.eventGap,
		LoadKnown: seen.loadKnown, Running: seen.running, Waiting: seen.waiting,
		QueueWait: now.Sub(e.arrivedAt),
	}
	if seen.wasPlaced {
		observation.QueueWait, observation.Duration = seen.placedAt.Sub(e.arrivedAt), now.Sub(seen.sentAt)
	}
	if seen.firstAt > seen.sentAt {
		observation.FirstEvent = seen.firstAt.Sub(seen.sentAt)
	}
	recorder.Record(observation, now)
}
