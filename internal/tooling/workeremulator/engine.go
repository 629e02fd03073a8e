// Package workeremulator holds emulated workers, so that the system can be tried without any
// model: an engine that batches, reads prompts in pieces and keeps prefixes (a step
// function with a clock), and a rim round it that speaks HTTP/1.1 and registers.
package workeremulator

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

type job struct {
	ask   Ask
	parts []Part
	// pinned tells that its parts are held in memory.
	pinned bool
	// unread counts, part by part, the tokens still to read; again those of its own
	// output that were lost when it was put back or resumed.
	unread []int64
	again  int64
	out    int64
	begun  bool
	ends   clock.Moment
}

// Engine is a batching engine without I/O.
type Engine struct {
	shape   Shape
	running []*job
	waiting []*job
	cache   *cache
	next    clock.Moment
	effects []Effect
	// ReadTokens counts prompt tokens that were read, Reused those that were kept.
	ReadTokens, Reused, PutBacks int64
}

// NewEngine makes an empty one.
func NewEngine(shape Shape) *Engine {
	shape.Stride = max(shape.Stride, 1)
	return &Engine{shape: shape, cache: newCache(shape.CacheTokens)}
}

// Step takes one event and gives what follows from it.
func (engine *Engine) Step(event Event, now clock.Moment) []Effect {
	engine.effects = nil
	// What was due before the event comes first.
	engine.catchUp(now)
	switch event.Kind {
	case EventArrive:
		engine.arrive(event.Ask)
	case EventCancel:
		engine.remove(event.Ticket)
	}
	engine.expire(now)
	engine.admit(now)
	return engine.effects
}

// Next is when the next tick is due; false where nothing is under way.
func (engine *Engine) Next() (clock.Moment, bool) {
	at, some := clock.Moment(0), false
	earlier := func(moment clock.Moment) {
		if !some || moment < at {
			at, some = moment, true
		}
	}
	if engine.tokens() > 0 {
		earlier(engine.next)
	}
	for _, one := range engine.running {
		if one.ask.Work > 0 {
			earlier(one.ends)
		}
	}
	for _, list := range [][]*job{engine.running, engine.waiting} {
		for _, one := range list {
			if one.ask.Until > 0 {
				earlier(one.ask.Until)
			}
		}
	}
	return at, some
}

// State tells what is running and waiting, and what of the memory can't give way.
func (engine *Engine) State() (running, waiting int, used int64) {
	used = engine.cache.pinned
	for _, one := range engine.running {
		used += one.out
	}
	return len(engine.running), len(engine.waiting), used
}

func (engine *Engine) tell(kind EffectKind, one *job, number int64) {
	engine.effects = append(engine.effects, Effect{kind, one.ask.Ticket, number})
}

func (engine *Engine) arrive(ask Ask) {
	one := &job{ask: ask, parts: partsOf(ask)}
	if ask.Work == 0 {
		// What the asker has already is read, not made again.
		one.out = min(ask.From*int64(engine.shape.Stride), ask.Out)
	}
	tooLarge := ask.Work == 0 && engine.shape.CacheTokens > 0 && total(one.parts)+ask.Out > engine.shape.CacheTokens
	if tooLarge || len(engine.running)+len(engine.waiting) >= engine.shape.Capacity+engine.shape.Queue {
		engine.tell(EffectRefuse, one, 0)
		return
	}
	engine.waiting = append(engine.waiting, one)
}

// admit lets waiting requests run in the order they came: engines know no ranks.
func (engine *Engine) admit(now clock.Moment) {
	for len(engine.waiting) > 0 && len(engine.running) < engine.shape.Capacity {
		one := engine.waiting[0]
		if one.ask.Work == 0 && !engine.hold(one) {
			return
		}
		engine.waiting = engine.waiting[1:]
		if one.ask.Work > 0 {
			one.begun, one.ends = true, now.Plus(engine.slowed(one.ask.Work))
			engine.tell(EffectBegin, one, 0)
		} else if engine.tokens() == 0 {
			engine.next = now.Plus(engine.stepSpan(1))
		}
		engine.running = append(engine.running, one)
	}
}

// hold takes memory for a request and finds what of its prompt is kept.
func (engine *Engine) hold(one *job) bool {
	if !engine.cache.pin(one.parts, one.out, engine.outputs()) {
		return false
	}
	one.pinned = true
	one.unread = make([]int64, len(one.parts))
	kept := true
	for place, part := range one.parts {
		// A kept part counts only where all parts before it are kept as well.
		kept = kept && engine.cache.whole(part)
		if kept {
			engine.Reused += part.Tokens
		} else {
			one.unread[place] = part.Tokens
		}
	}
	one.again = one.out
	return true
}

func (engine *Engine) outputs() int64 {
	sum := int64(0)
	for _, one := range engine.running {
		sum += one.out
	}
	return sum
}

func (engine *Engine) tokens() int {
	count := 0
	for _, one := range engine.running {
		if one.ask.Work == 0 {
			count++
		}
	}
	return count
}

func (engine *Engine) stepSpan(count int) clock.Span {
	return max(engine.shape.Step+engine.shape.StepEach*clock.Span(count), 1)
}

// slowed: plain work takes up to twice as long on a full worker.
func (engine *Engine) slowed(work clock.Span) clock.Span {
	return work + work*clock.Span(len(engine.running))/clock.Span(max(engine.shape.Capacity, 1))
}

func (engine *Engine) catchUp(now clock.Moment) {
	for count := 0; count < constants.EmulatorEventLimit && engine.tokens() > 0 && engine.next <= now; count++ {
		at, span := engine.next, engine.stepSpan(engine.tokens())
		engine.round(span)
		engine.admit(at)
		engine.next = at.Plus(engine.stepSpan(max(engine.tokens(), 1)))
	}
	var ended []*job
	for _, one := range engine.running {
		if one.ask.Work > 0 && one.ends <= now {
			ended = append(ended, one)
		}
	}
	sort.SliceStable(ended, func(left, right int) bool { return ended[left].ends < ended[right].ends })
	for _, one := range ended {
		engine.tell(EffectFinish, one, 0)
		engine.drop(one)
	}
}
