package forecastcases

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/workeremulator"
	"lemonarch/internal/traffic/trafficstats"
)

// effects takes what an engine did.
func (f *fleet) effects(of *engineState, effects []workeremulator.Effect) {
	for _, effect := range effects {
		c := f.calls[effect.Ticket]
		if c == nil {
			continue
		}
		switch effect.Kind {
		case workeremulator.EffectEvent:
			f.event(c, of)
		case workeremulator.EffectFinish:
			of.given--
			f.finish(c)
		case workeremulator.EffectRefuse, workeremulator.EffectExpire:
			of.given--
			f.end(c, trafficstats.OutcomeRejected, true)
		}
	}
}

func (f *fleet) event(c *call, of *engineState) {
	if c.events == 0 {
		c.firstAt = f.now
		running, waiting, _ := of.engine.State()
		c.running, c.waiting = running, waiting
	} else {
		c.longest = max(c.longest, f.now.Sub(c.lastAt))
	}
	c.events++
	c.lastAt = f.now
}

func (f *fleet) finish(c *call) {
	class := &f.plan.class
	first := c.firstAt
	if class.work > 0 {
		first = f.now
	}
	late := clock.ToMilliseconds(first.Sub(c.arrivedAt)) > class.targetMs ||
		(class.gapMs > 0 && clock.ToMilliseconds(c.longest) > class.gapMs)
	f.end(c, trafficstats.OutcomeServed, late)
}

// end counts a request and tells the recorder of it, as a gateway does.
func (f *fleet) end(c *call, outcome trafficstats.Outcome, late bool) {
	delete(f.calls, c.ticket)
	if c.arrivedAt >= f.surgeFrom && c.arrivedAt < f.surgeUntil {
		f.all++
		if late {
			f.late++
		}
	}
	class := &f.plan.class
	o := &trafficstats.Observation{Class: trafficstats.Class{Route: f.plan.name, Service: f.plan.name}, Outcome: outcome,
		Placed: c.at != nil, QueueWait: f.now.Sub(c.arrivedAt)}
	if class.work == 0 {
		o.Class.Model = f.plan.name
	}
	if c.at != nil {
		o.QueueWait, o.Duration = c.sentAt.Sub(c.arrivedAt), f.now.Sub(c.sentAt)
		o.PromptTokens, o.FreshTokens, o.OutTokens, o.Events = int(c.own+class.shared), int(c.own), int(class.out), c.events
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
