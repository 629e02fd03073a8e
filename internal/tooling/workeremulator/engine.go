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
	ends   clock.Instant
}

// Engine is a batching engine without I/O.
type Engine struct {
	shape   Shape
	running []*job
	waiting []*job
	cache   *cache
	next    clock.Instant
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
func (e *Engine) Step(event Event, now clock.Instant) []Effect {
	e.effects = nil
	// What was due before the event comes first.
	e.catchUp(now)
	switch event.Kind {
	case EventArrive:
		e.arrive(event.Ask)
	case EventCancel:
		e.remove(event.Ticket)
	}
	e.expire(now)
	e.admit(now)
	return e.effects
}

// Next is when the next tick is due; false where nothing is under way.
func (e *Engine) Next() (clock.Instant, bool) {
	at, some := clock.Instant(0), false
	earlier := func(moment clock.Instant) {
		if !some || moment < at {
			at, some = moment, true
		}
	}
	if e.tokens() > 0 {
		earlier(e.next)
	}
	for _, entry := range e.running {
		if entry.ask.Work > 0 {
			earlier(entry.ends)
		}
	}
	for _, list := range [][]*job{e.running, e.waiting} {
		for _, entry := range list {
			if entry.ask.Until > 0 {
				earlier(entry.ask.Until)
			}
		}
	}
	return at, some
}

// State tells what is running and waiting, and what of the memory can't give way.
func (e *Engine) State() (running, waiting int, used int64) {
	used = e.cache.pinned
	for _, entry := range e.running {
		used += entry.out
	}
	return len(e.running), len(e.waiting), used
}

func (e *Engine) tell(kind EffectKind, entry *job, number int64) {
	e.effects = append(e.effects, Effect{kind, entry.ask.Ticket, number})
}

func (e *Engine) arrive(request Ask) {
	entry := &job{ask: request, parts: partsOf(request)}
	if request.Work == 0 {
		// What the asker has already is read, not made again.
		entry.out = min(request.From*int64(e.shape.Stride), request.Out)
	}
	tooLarge := request.Work == 0 && e.shape.CacheTokens > 0 && total(entry.parts)+request.Out > e.shape.CacheTokens
	if tooLarge || len(e.running)+len(e.waiting) >= e.shape.Capacity+e.shape.Queue {
		e.tell(EffectRefuse, entry, 0)
		return
	}
	e.waiting = append(e.waiting, entry)
}

// admit lets waiting requests run in the order they came: engines know no ranks.
func (e *Engine) admit(now clock.Instant) {
	for len(e.waiting) > 0 && len(e.running) < e.shape.Capacity {
		entry := e.waiting[0]
		if entry.ask.Work == 0 && !e.hold(entry) {
			return
		}
		e.waiting = e.waiting[1:]
		if entry.ask.Work > 0 {
			entry.begun, entry.ends = true, now.Add(e.slowed(entry.ask.Work))
			e.tell(EffectBegin, entry, 0)
		} else if e.tokens() == 0 {
			e.next = now.Add(e.stepSpan(1))
		}
		e.running = append(e.running, entry)
	}
}

// hold takes memory for a request and finds what of its prompt is kept.
func (e *Engine) hold(entry *job) bool {
	if !e.cache.pin(entry.parts, entry.out, e.outputs()) {
		return false
	}
	entry.pinned = true
	entry.unread = make([]int64, len(entry.parts))
	retained := true
	for i, part := range entry.parts {
		// A kept part counts only where all parts before it are kept as well.
		retained = retained && e.cache.whole(part)
		if retained {
			e.Reused += part.Tokens
		} else {
			entry.unread[i] = part.Tokens
		}
	}
	entry.again = entry.out
	return true
}

func (e *Engine) outputs() int64 {
	sum := int64(0)
	for _, entry := range e.running {
		sum += entry.out
	}
	return sum
}

func (e *Engine) tokens() int {
	count := 0
	for _, entry := range e.running {
		if entry.ask.Work == 0 {
			count++
		}
	}
	return count
}

func (e *Engine) stepSpan(count int) clock.Duration {
	return max(e.shape.Step+e.shape.StepEach*clock.Duration(count), 1)
}

// slowed: plain work takes up to twice as long on a full worker.
func (e *Engine) slowed(work clock.Duration) clock.Duration {
	return work + work*clock.Duration(len(e.running))/clock.Duration(max(e.shape.Capacity, 1))
}

func (e *Engine) catchUp(now clock.Instant) {
	for count := 0; count < constants.EmulatorEventLimit && e.tokens() > 0 && e.next <= now; count++ {
		at, span := e.next, e.stepSpan(e.tokens())
		e.round(span)
		e.admit(at)
		e.next = at.Add(e.stepSpan(max(e.tokens(), 1)))
	}
	var ended []*job
	for _, entry := range e.running {
		if entry.ask.Work > 0 && entry.ends <= now {
			ended = append(ended, entry)
		}
	}
	sort.SliceStable(ended, func(left, right int) bool { return ended[left].ends < ended[right].ends })
	for _, entry := range ended {
		e.tell(EffectFinish, entry, 0)
		e.drop(entry)
	}
}
