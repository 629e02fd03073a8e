package workbench

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/gauge"
	"lemonarch/internal/watch"
)

// paces are what is usual at a service: the time from the grant to the first event,
// less the reading of prompts, and the longest pause in a stream.
type paces struct {
	first, pause gauge.Pace
}

// pace gives the paces of a service. The lock is held.
func (bench *Workbench) pace(service string) *paces {
	if bench.paces == nil {
		bench.paces = map[string]*paces{}
	}
	known := bench.paces[service]
	if known == nil {
		known = &paces{}
		bench.paces[service] = known
	}
	return known
}

// Patience is the silence before the first event that is out of the ordinary.
func (grant *Grant) Patience() watch.Span {
	bench := grant.bench
	bench.lock.Lock()
	defer bench.lock.Unlock()
	aim := grant.ask.Setpoint
	most := almanac.SilentWorker
	if !grant.engine {
		most = max(almanac.SilentPlain*aim, almanac.SilentPlainLeast)
	}
	least := min(watch.Span(almanac.SilenceShare*float64(aim)), most)
	return grant.reading + bench.pace(grant.Worker.Backend).first.Beyond(least, most)
}

// GapPatience is the silence between two events that is out of the ordinary, where
// pauses up to a length keep an answer in time.
func (grant *Grant) GapPatience(longest watch.Span) watch.Span {
	bench := grant.bench
	bench.lock.Lock()
	defer bench.lock.Unlock()
	least := watch.Span(almanac.SilenceShare * float64(longest))
	if longest <= 0 {
		least = almanac.SilentWorker
	}
	return bench.pace(grant.Worker.Backend).pause.Beyond(min(least, almanac.SilentWorker), almanac.SilentWorker)
}

// Paused notes the longest pause of a stream that came whole.
func (grant *Grant) Paused(longest watch.Span) {
	if longest <= 0 {
		return
	}
	bench := grant.bench
	bench.lock.Lock()
	defer bench.lock.Unlock()
	bench.pace(grant.Worker.Backend).pause.Learn(watch.ToMilliseconds(longest))
}

// Leave asks to go on elsewhere after a silence.
func (grant *Grant) Leave(silence watch.Span, now watch.Moment) bool {
	bench := grant.bench
	bench.lock.Lock()
	defer bench.lock.Unlock()
	grant.silence = silence
	known := bench.pace(grant.Worker.Backend)
	if grant.read {
		return known.pause.Spend(silence)
	}
	return known.first.Spend(max(silence-grant.reading, 0))
}

// Doubt notes a silence that has to be waited out: at first it counts as slowness, and
// when it lasts as silence.
func (grant *Grant) Doubt(silence watch.Span, now watch.Moment) {
	bench := grant.bench
	bench.lock.Lock()
	defer bench.lock.Unlock()
	switch {
	case silence >= almanac.SureSilence && grant.doubt < doubtSure:
		grant.doubt = doubtSure
		bench.troubled(grant.Worker, gauge.TroubleSilent, now)
	case silence < almanac.SureSilence && grant.doubt < doubtSome:
		grant.doubt = doubtSome
		bench.troubled(grant.Worker, gauge.TroubleSlow, now)
	}
}

// How a silence was noted while it lasted.
const (
	doubtNone = iota
	doubtSome
	doubtSure
)

// Told takes the load header of an answer that is no run.
func (grant *Grant) Told(load string, now watch.Moment) {
	if load == "" {
		return
	}
	grant.bench.lock.Lock()
	defer grant.bench.lock.Unlock()
	grant.bench.Gauge.Of(grant.Worker.ID).Load(load, now)
}

// Shed tells whether a worker that turned a request away had room by its own word. The
// memory of an engine may be full while places are free, so there half must be.
func (grant *Grant) Shed(load string) bool {
	busy, slots, known := gauge.ReadLoad(load)
	if grant.engine {
		busy *= 2
	}
	return known && busy < slots
}
