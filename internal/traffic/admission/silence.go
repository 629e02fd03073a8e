package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/traffic/health"
)

// latencies are what is usual at a service: the time from the grant to the first event,
// less the reading of prompts, and the longest pause in a stream.
type latencies struct {
	firstEvent, eventGap health.Latency
}

// latenciesOf gives the latencies of a service. The lock is held.
func (s *Scheduler) latenciesOf(service string) *latencies {
	if s.latencies == nil {
		s.latencies = map[string]*latencies{}
	}
	known := s.latencies[service]
	if known == nil {
		known = &latencies{}
		s.latencies[service] = known
	}
	return known
}

// FirstEventTimeout is the silence before the first event that is out of the ordinary.
func (g *Grant) FirstEventTimeout() clock.Duration {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	setpoint := g.request.Setpoint
	most := constants.StreamTimeout
	if !g.engine {
		most = max(constants.PlainTimeoutFactor*setpoint, constants.PlainTimeoutMin)
	}
	least := min(clock.Duration(constants.HedgeShare*float64(setpoint)), most)
	return g.prefillTime + scheduler.latenciesOf(g.Worker.Backend).firstEvent.Timeout(least, most)
}

// InterEventTimeout is the silence between two events that is out of the ordinary, where
// pauses up to a length keep a response in time.
func (g *Grant) InterEventTimeout(longest clock.Duration) clock.Duration {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	least := clock.Duration(constants.HedgeShare * float64(longest))
	if longest <= 0 {
		least = constants.StreamTimeout
	}
	return scheduler.latenciesOf(g.Worker.Backend).eventGap.Timeout(min(least, constants.StreamTimeout), constants.StreamTimeout)
}

// ObserveGap notes the longest pause of a stream that was complete.
func (g *Grant) ObserveGap(longest clock.Duration) {
	if longest <= 0 {
		return
	}
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	scheduler.latenciesOf(g.Worker.Backend).eventGap.Observe(clock.ToMilliseconds(longest))
}

// TryRetryElsewhere asks to go on elsewhere after a silence.
func (g *Grant) TryRetryElsewhere(elapsed clock.Duration, now clock.Instant) bool {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	g.silence = elapsed
	known := scheduler.latenciesOf(g.Worker.Backend)
	if g.prefillDone {
		return known.eventGap.TakeRetry(elapsed)
	}
	return known.firstEvent.TakeRetry(max(elapsed-g.prefillTime, 0))
}

// NoteSilence notes a silence that has to be waited out: at first it counts as slowness, and
// when it lasts as silence.
func (g *Grant) NoteSilence(elapsed clock.Duration, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	switch {
	case elapsed >= constants.SureTimeout && g.silenceLevel < silenceTimeout:
		g.silenceLevel = silenceTimeout
		scheduler.recordFault(g.Worker, health.FaultTimeout, now)
	case elapsed < constants.SureTimeout && g.silenceLevel < silenceSlow:
		g.silenceLevel = silenceSlow
		scheduler.recordFault(g.Worker, health.FaultSlow, now)
	}
}

// How a silence was noted while it lasted.
const (
	silenceNone = iota
	silenceSlow
	silenceTimeout
)

// ObserveLoad takes the load header of a response that is no run.
func (g *Grant) ObserveLoad(load string, now clock.Instant) {
	if load == "" {
		return
	}
	g.scheduler.lock.Lock()
	defer g.scheduler.lock.Unlock()
	g.scheduler.Tracker.Of(g.Worker.ID).ObserveLoad(load, now)
}

// IsShedding tells whether a worker that rejected a request had capacity by the load that it stated. The
// memory of an engine may be full while slots are free, so there half must be.
func (g *Grant) IsShedding(load string) bool {
	busy, slots, known := health.ParseLoad(load)
	if g.engine {
		busy *= 2
	}
	return known && busy < slots
}
