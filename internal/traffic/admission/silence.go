package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/traffic/health"
)

// latencies contains the usual times of a service: the time from the grant to the first event,
// excluding the prefill, and the longest pause in a stream.
type latencies struct {
	firstEvent, eventGap health.Latency
}

// latenciesOf returns the latencies of a service. The caller must hold the lock.
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

// FirstEventTimeout returns the duration from which a silence before the first event is unusual for the
// service. It includes the time for the prefills.
func (g *Grant) FirstEventTimeout() clock.Duration {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	setpoint := g.request.Setpoint
	longestTimeout := constants.StreamTimeout
	if !g.engine {
		longestTimeout = max(constants.PlainTimeoutFactor*setpoint, constants.PlainTimeoutMin)
	}
	shortestTimeout := min(clock.Duration(constants.HedgeShare*float64(setpoint)), longestTimeout)
	return g.prefillTime + scheduler.latenciesOf(g.Worker.Backend).firstEvent.Timeout(shortestTimeout, longestTimeout)
}

// InterEventTimeout returns the duration from which a silence between two events is unusual for the
// service. longest is the maximum time between two events that the route allows; 0 means no limit.
func (g *Grant) InterEventTimeout(longest clock.Duration) clock.Duration {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	shortestTimeout := clock.Duration(constants.HedgeShare * float64(longest))
	if longest <= 0 {
		shortestTimeout = constants.StreamTimeout
	}
	return scheduler.latenciesOf(g.Worker.Backend).eventGap.Timeout(min(shortestTimeout, constants.StreamTimeout), constants.StreamTimeout)
}

// ObserveGap records the longest pause of a complete stream.
func (g *Grant) ObserveGap(longest clock.Duration) {
	if longest <= 0 {
		return
	}
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	scheduler.latenciesOf(g.Worker.Backend).eventGap.Observe(clock.ToMilliseconds(longest))
}

// TryRetryElsewhere records a silence, and takes a retry on another worker from the service's retry
// budget. It returns false if the budget is exhausted.
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

// RecordSilence records a silence after which the request keeps waiting: a silence shorter than
// constants.SilenceFaultTimeout counts as slowness, a longer one as a timeout. Each is recorded at most
// once per grant.
func (g *Grant) RecordSilence(elapsed clock.Duration, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	switch {
	case elapsed >= constants.SilenceFaultTimeout && g.silenceLevel < silenceTimeout:
		g.silenceLevel = silenceTimeout
		scheduler.recordFault(g.Worker, health.FaultTimeout, now)
	case elapsed < constants.SilenceFaultTimeout && g.silenceLevel < silenceSlow:
		g.silenceLevel = silenceSlow
		scheduler.recordFault(g.Worker, health.FaultSlow, now)
	}
}

// Levels of silence, recorded in Grant.silenceLevel while the request is pending.
const (
	silenceNone = iota
	silenceSlow
	silenceTimeout
)

// ObserveLoad applies the load header of a response whose request was not run.
func (g *Grant) ObserveLoad(load string, now clock.Instant) {
	if load == "" {
		return
	}
	g.scheduler.lock.Lock()
	defer g.scheduler.lock.Unlock()
	g.scheduler.Tracker.HealthOf(g.Worker.ID).ObserveLoad(load, now)
}

// IsShedding reports whether a worker that rejected a request had capacity according to the load it
// reported. The memory of an engine may be exhausted while slots are free, so for an engine more
// than half of the slots must be free.
func (g *Grant) IsShedding(load string) bool {
	busy, slots, known := health.ParseLoad(load)
	if g.engine {
		busy *= 2
	}
	return known && busy < slots
}
