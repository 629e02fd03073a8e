package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/traffic/health"
)

// paces are what is usual at a service: the time from the grant to the first event,
// less the reading of prompts, and the longest pause in a stream.
type paces struct {
	first, pause health.Pace
}

// pace gives the paces of a service. The lock is held.
func (scheduler *Scheduler) pace(service string) *paces {
	if scheduler.paces == nil {
		scheduler.paces = map[string]*paces{}
	}
	known := scheduler.paces[service]
	if known == nil {
		known = &paces{}
		scheduler.paces[service] = known
	}
	return known
}

// Patience is the silence before the first event that is out of the ordinary.
func (grant *Grant) Patience() clock.Span {
	scheduler := grant.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	aim := grant.ask.Setpoint
	most := constants.SilentWorker
	if !grant.engine {
		most = max(constants.SilentPlain*aim, constants.SilentPlainLeast)
	}
	least := min(clock.Span(constants.SilenceShare*float64(aim)), most)
	return grant.reading + scheduler.pace(grant.Worker.Backend).first.Beyond(least, most)
}

// GapPatience is the silence between two events that is out of the ordinary, where
// pauses up to a length keep an answer in time.
func (grant *Grant) GapPatience(longest clock.Span) clock.Span {
	scheduler := grant.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	least := clock.Span(constants.SilenceShare * float64(longest))
	if longest <= 0 {
		least = constants.SilentWorker
	}
	return scheduler.pace(grant.Worker.Backend).pause.Beyond(min(least, constants.SilentWorker), constants.SilentWorker)
}

// Paused notes the longest pause of a stream that came whole.
func (grant *Grant) Paused(longest clock.Span) {
	if longest <= 0 {
		return
	}
	scheduler := grant.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	scheduler.pace(grant.Worker.Backend).pause.Learn(clock.ToMilliseconds(longest))
}

// Leave asks to go on elsewhere after a silence.
func (grant *Grant) Leave(silence clock.Span, now clock.Moment) bool {
	scheduler := grant.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	grant.silence = silence
	known := scheduler.pace(grant.Worker.Backend)
	if grant.read {
		return known.pause.Spend(silence)
	}
	return known.first.Spend(max(silence-grant.reading, 0))
}

// Doubt notes a silence that has to be waited out: at first it counts as slowness, and
// when it lasts as silence.
func (grant *Grant) Doubt(silence clock.Span, now clock.Moment) {
	scheduler := grant.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	switch {
	case silence >= constants.SureSilence && grant.doubt < doubtSure:
		grant.doubt = doubtSure
		scheduler.troubled(grant.Worker, health.TroubleSilent, now)
	case silence < constants.SureSilence && grant.doubt < doubtSome:
		grant.doubt = doubtSome
		scheduler.troubled(grant.Worker, health.TroubleSlow, now)
	}
}

// How a silence was noted while it lasted.
const (
	doubtNone = iota
	doubtSome
	doubtSure
)

// Told takes the load header of an answer that is no run.
func (grant *Grant) Told(load string, now clock.Moment) {
	if load == "" {
		return
	}
	grant.scheduler.lock.Lock()
	defer grant.scheduler.lock.Unlock()
	grant.scheduler.Tracker.Of(grant.Worker.ID).Load(load, now)
}

// Shed tells whether a worker that turned a request away had room by its own word. The
// memory of an engine may be full while places are free, so there half must be.
func (grant *Grant) Shed(load string) bool {
	busy, slots, known := health.ReadLoad(load)
	if grant.engine {
		busy *= 2
	}
	return known && busy < slots
}
