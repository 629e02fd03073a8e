package forecastcases

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/workeremulator"
	"lemonarch/internal/traffic/trafficstats"
)

// handleEffects applies the effects that an engine returned for a step.
func (f *familySimulation) handleEffects(engine *engineState, effects []workeremulator.Effect) {
	for _, effect := range effects {
		r := f.requests[effect.Ticket]
		if r == nil {
			continue
		}
		switch effect.Kind {
		case workeremulator.EffectEvent:
			f.recordEvent(r, engine)
		case workeremulator.EffectFinish:
			engine.assigned--
			f.finish(r)
		case workeremulator.EffectReject, workeremulator.EffectExpire:
			engine.assigned--
			f.recordOutcome(r, trafficstats.OutcomeRejected, true)
		}
	}
}

// recordEvent records an event of a request. The first one samples the load of the engine.
func (f *familySimulation) recordEvent(r *request, source *engineState) {
	if r.events == 0 {
		r.firstAt = f.now
		running, waiting, _ := source.engine.State()
		r.running, r.waiting = running, waiting
	} else {
		r.longestGap = max(r.longestGap, f.now.Sub(r.lastAt))
	}
	r.events++
	r.lastAt = f.now
}

// finish completes a request that was served, and determines whether it was late.
func (f *familySimulation) finish(r *request) {
	class := &f.plan.class
	first := r.firstAt
	if class.work > 0 {
		first = f.now
	}
	late := clock.ToMilliseconds(first.Sub(r.arrivedAt)) > class.targetMs ||
		(class.gapMs > 0 && clock.ToMilliseconds(r.longestGap) > class.gapMs)
	f.recordOutcome(r, trafficstats.OutcomeServed, late)
}

// recordOutcome removes a request, counts it if it arrived during the surge, and adds it to the traffic
// recorder as a gateway does.
func (f *familySimulation) recordOutcome(r *request, outcome trafficstats.Outcome, late bool) {
	delete(f.requests, r.ticket)
	if r.arrivedAt >= f.surgeFrom && r.arrivedAt < f.surgeUntil {
		f.surgeTotal++
		if late {
			f.surgeLate++
		}
	}
	class := &f.plan.class
	o := &trafficstats.Observation{Class: trafficstats.Class{Route: f.plan.name, Service: f.plan.name}, Outcome: outcome,
		Placed: r.engine != nil, QueueWait: f.now.Sub(r.arrivedAt)}
	if class.work == 0 {
		o.Class.Model = f.plan.name
	}
	if r.engine != nil {
		o.QueueWait, o.Duration = r.sentAt.Sub(r.arrivedAt), f.now.Sub(r.sentAt)
		o.PromptTokens, o.FreshTokens, o.OutTokens, o.Events = int(r.ownTokens+class.sharedTokens), int(r.ownTokens), int(class.outTokens), r.events
		o.Running, o.Waiting, o.LoadKnown = r.running, r.waiting, true
	}
	if r.firstAt > 0 {
		o.FirstEvent = r.firstAt.Sub(r.sentAt)
	}
	if r.events > 1 {
		o.EventGap = r.lastAt.Sub(r.firstAt) / clock.Duration(r.events-1)
	}
	f.recorder.Record(o, f.now)
}
