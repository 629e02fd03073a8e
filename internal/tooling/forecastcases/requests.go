package forecastcases

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/workeremulator"
	"lemonarch/internal/traffic/trafficstats"
)

// handleEffects applies the effects that an engine returned for a step.
func (f *familySimulation) handleEffects(engine *engineState, effects []workeremulator.Effect) {
	for _, effect := range effects {
		c := f.requests[effect.Ticket]
		if c == nil {
			continue
		}
		switch effect.Kind {
		case workeremulator.EffectEvent:
			f.recordEvent(c, engine)
		case workeremulator.EffectFinish:
			engine.assigned--
			f.finish(c)
		case workeremulator.EffectRefuse, workeremulator.EffectExpire:
			engine.assigned--
			f.recordOutcome(c, trafficstats.OutcomeRejected, true)
		}
	}
}

// recordEvent records an event of a request. The first one samples the load of the engine.
func (f *familySimulation) recordEvent(c *request, source *engineState) {
	if c.events == 0 {
		c.firstAt = f.now
		running, waiting, _ := source.engine.State()
		c.running, c.waiting = running, waiting
	} else {
		c.longestGap = max(c.longestGap, f.now.Sub(c.lastAt))
	}
	c.events++
	c.lastAt = f.now
}

// finish completes a request that was served, and determines whether it was late.
func (f *familySimulation) finish(c *request) {
	class := &f.plan.class
	first := c.firstAt
	if class.work > 0 {
		first = f.now
	}
	late := clock.ToMilliseconds(first.Sub(c.arrivedAt)) > class.targetMs ||
		(class.gapMs > 0 && clock.ToMilliseconds(c.longestGap) > class.gapMs)
	f.recordOutcome(c, trafficstats.OutcomeServed, late)
}

// recordOutcome removes a request, counts it if it arrived during the surge, and adds it to the traffic
// recorder as a gateway does.
func (f *familySimulation) recordOutcome(c *request, outcome trafficstats.Outcome, late bool) {
	delete(f.requests, c.ticket)
	if c.arrivedAt >= f.surgeFrom && c.arrivedAt < f.surgeUntil {
		f.surgeTotal++
		if late {
			f.surgeLate++
		}
	}
	class := &f.plan.class
	o := &trafficstats.Observation{Class: trafficstats.Class{Route: f.plan.name, Service: f.plan.name}, Outcome: outcome,
		Placed: c.engine != nil, QueueWait: f.now.Sub(c.arrivedAt)}
	if class.work == 0 {
		o.Class.Model = f.plan.name
	}
	if c.engine != nil {
		o.QueueWait, o.Duration = c.sentAt.Sub(c.arrivedAt), f.now.Sub(c.sentAt)
		o.PromptTokens, o.FreshTokens, o.OutTokens, o.Events = int(c.ownTokens+class.sharedTokens), int(c.ownTokens), int(class.outTokens), c.events
		o.Running, o.Waiting, o.LoadKnown = c.running, c.waiting, true
	}
	if c.firstAt > 0 {
		o.FirstEvent = c.firstAt.Sub(c.sentAt)
	}
	if c.events > 1 {
		o.EventGap = c.lastAt.Sub(c.firstAt) / clock.Duration(c.events-1)
	}
	f.recorder.Record(o, f.now)
}
