package proxy

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/health"
	"lemonarch/internal/traffic/trafficstats"
)

// trafficObservation collects the values of one request for the traffic summaries.
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

// placed records a grant. The times of the request count from the last grant, and the queue wait ends
// at the first.
func (o *trafficObservation) placed(grant *admission.Grant, now clock.Instant) {
	if !o.wasPlaced {
		o.wasPlaced, o.placedAt = true, now
	}
	o.sentAt, o.freshTokens = now, grant.FreshTokens
}

// firstEvent records the arrival of the first event or the head of a response, and the load that the
// worker reported with it.
func (o *trafficObservation) firstEvent(load string, now clock.Instant) {
	o.firstAt = now
	o.running, o.waiting, o.loadKnown = health.ParseRunning(load)
}

// served records that the response was complete.
func (o *trafficObservation) served(events int, eventGap clock.Duration) {
	o.outcome, o.events, o.eventGap = trafficstats.OutcomeServed, events, eventGap
}

// recordTraffic adds the observation of the request to the traffic summaries.
func (e *exchange) recordTraffic() {
	recorder := e.proxyServer.Traffic
	if recorder == nil {
		return
	}
	now, observed := clock.Now(), &e.traffic
	observation := &trafficstats.Observation{
		Class:        trafficstats.Class{Route: e.route.Name, Service: e.admission.Service, Model: e.model},
		Outcome:      observed.outcome,
		Placed:       observed.wasPlaced,
		PromptTokens: e.admission.Prompt.Tokens, FreshTokens: observed.freshTokens, OutTokens: e.admission.Prompt.OutTokens,
		Events: observed.events, EventGap: observed.eventGap,
		LoadKnown: observed.loadKnown, Running: observed.running, Waiting: observed.waiting,
		QueueWait: now.Sub(e.arrivedAt),
	}
	if observed.wasPlaced {
		observation.QueueWait, observation.Duration = observed.placedAt.Sub(e.arrivedAt), now.Sub(observed.sentAt)
	}
	if observed.firstAt > observed.sentAt {
		observation.FirstEvent = observed.firstAt.Sub(observed.sentAt)
	}
	recorder.Record(observation, now)
}
