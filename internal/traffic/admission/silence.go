package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/traffic/health"
)

// paces are what is usual at a service: the time from the grant to the first event,
// less the reading of prompts, and the longest pause in a stream.
type paces struct {
	first, pause health.Latency
}

// pace gives the paces of a service. The lock is held.
func (s *Scheduler) pace(service string) *paces {
	if s.paces == nil {
		s.paces = map[string]*paces{}
	}
	known := s.paces[service]
	if known == nil {
		known = &paces{}
		s.paces[service] = known
	}
	return known
}

// Patience is the silence before the first event that is out of the ordinary.
func (g *Grant) Patience() clock.Duration {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	aim := g.ask.Setpoint
	most := constants.StreamTimeout
	if !g.engine {
		most = max(constants.PlainTimeoutFactor*aim, constants.PlainTimeoutMin)
	}
	least := min(clock.Duration(constants.HedgeShare*float64(aim)), most)
	return g.reading + scheduler.pace(g.Worker.Backend).first.Timeout(least, most)
}

// GapPatience is the silence between two events that is out of the ordinary, where
// pauses up to a length keep an answer in time.
func (g *Grant) GapPatience(longest clock.Duration) clock.Duration {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	least := clock.Duration(constants.HedgeShare * float64(longest))
	if longest <= 0 {
		least = constants.StreamTimeout
	}
	return scheduler.pace(g.Worker.Backend).pause.Timeout(min(least, constants.StreamTimeout), constants.StreamTimeout)
}

// Paused notes the longest pause of a stream that came whole.
func (g *Grant) Paused(longest clock.Duration) {
	if longest <= 0 {
		return
	}
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	scheduler.pace(g.Worker.Backend).pause.Observe(clock.ToMilliseconds(longest))
}

// Leave asks to go on elsewhere after a silence.
func (g *Grant) Leave(silence clock.Duration, now clock.Instant) bool {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	g.silence = silence
	known := scheduler.pace(g.Worker.Backend)
	if g.read {
		return known.pause.TrySpend(silence)
	}
	return known.first.TrySpend(max(silence-g.reading, 0))
}

// Doubt notes a silence that has to be waited out: at first it counts as slowness, and
// when it lasts as silence.
func (g *Grant) Doubt(silence clock.Duration, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	switch {
	case silence >= constants.SureTimeout && g.doubt < doubtSure:
		g.doubt = doubtSure
		scheduler.troubled(g.Worker, health.FaultTimeout, now)
	case silence < constants.SureTimeout && g.doubt < doubtSome:
		g.doubt = doubtSome
		scheduler.troubled(g.Worker, health.FaultSlow, now)
	}
}

// How a silence was noted while it lasted.
const (
	doubtNone = iota
	doubtSome
	doubtSure
)

// Told takes the load header of an answer that is no run.
func (g *Grant) Told(load string, now clock.Instant) {
	if load == "" {
		return
	}
	g.scheduler.lock.Lock()
	defer g.scheduler.lock.Unlock()
	g.scheduler.Tracker.Of(g.Worker.ID).ObserveLoad(load, now)
}

// Shed tells whether a worker that turned a request away had room by its own word. The
// memory of an engine may be full while places are free, so there half must be.
func (g *Grant) Shed(load string) bool {
	busy, slots, known := health.ParseLoad(load)
	if g.engine {
		busy *= 2
	}
	return known && busy < slots
}
