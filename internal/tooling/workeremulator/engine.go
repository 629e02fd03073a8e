// Package workeremulator implements emulated workers, so that the system can be tested without
// a model. A worker consists of a batching engine with chunked prefill and a prefix cache,
// implemented as a step function with a clock, and an HTTP/1.1 server around it that registers
// with the controllers.
package workeremulator

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

type activeRequest struct {
	request EngineRequest
	parts   []Part
	// pinned reports whether the request's parts are pinned in memory.
	pinned bool
	// unreadPrompt is the number of tokens still to be prefilled, by part. unreadOutput is the
	// number of tokens of its own output that must be prefilled again because the request was
	// preempted or resumed.
	unreadPrompt []int64
	unreadOutput int64
	outputTokens int64
	started      bool
	endsAt       clock.Instant
}

// Engine is a batching engine without I/O.
type Engine struct {
	shape    Shape
	running  []*activeRequest
	waiting  []*activeRequest
	cache    *cache
	nextStep clock.Instant
	effects  []Effect
	// ReadTokens counts the tokens that were prefilled, ReusedTokens the prompt tokens found in
	// the cache, and Preemptions the preempted requests.
	ReadTokens, ReusedTokens, Preemptions int64
}

// NewEngine returns an engine without requests.
func NewEngine(shape Shape) *Engine {
	shape.Stride = max(shape.Stride, 1)
	return &Engine{shape: shape, cache: newCache(shape.CacheTokens)}
}

// Step processes one event and returns its effects.
func (e *Engine) Step(event Event, now clock.Instant) []Effect {
	e.effects = nil
	// Steps that were due before the event come first.
	e.catchUp(now)
	switch event.Kind {
	case EventArrive:
		e.arrive(event.Request)
	case EventCancel:
		e.remove(event.Ticket)
	}
	e.expire(now)
	e.admit(now)
	return e.effects
}

// Next returns when the next tick is due, or false if no request is in progress.
func (e *Engine) Next() (clock.Instant, bool) {
	at, pending := clock.Instant(0), false
	earlier := func(moment clock.Instant) {
		if !pending || moment < at {
			at, pending = moment, true
		}
	}
	if e.tokenRequests() > 0 {
		earlier(e.nextStep)
	}
	for _, req := range e.running {
		if req.request.Work > 0 {
			earlier(req.endsAt)
		}
	}
	for _, list := range [][]*activeRequest{e.running, e.waiting} {
		for _, req := range list {
			if req.request.Deadline > 0 {
				earlier(req.request.Deadline)
			}
		}
	}
	return at, pending
}

// State returns the numbers of running and waiting requests and the memory that can't be
// evicted, in tokens.
func (e *Engine) State() (running, waiting int, used int64) {
	used = e.cache.pinnedTokens
	for _, req := range e.running {
		used += req.outputTokens
	}
	return len(e.running), len(e.waiting), used
}

func (e *Engine) emit(kind EffectKind, req *activeRequest, number int64) {
	e.effects = append(e.effects, Effect{kind, req.request.Ticket, number})
}

func (e *Engine) arrive(arrived EngineRequest) {
	req := &activeRequest{request: arrived, parts: promptParts(arrived)}
	if arrived.Work == 0 {
		// Output that the client already has is prefilled, not generated again.
		req.outputTokens = min(arrived.LastEvent*int64(e.shape.Stride), arrived.Out)
	}
	tooLarge := arrived.Work == 0 && e.shape.CacheTokens > 0 && totalTokens(req.parts)+arrived.Out > e.shape.CacheTokens
	if tooLarge || len(e.running)+len(e.waiting) >= e.shape.Capacity+e.shape.Queue {
		e.emit(EffectReject, req, 0)
		return
	}
	e.waiting = append(e.waiting, req)
}

// admit starts waiting requests in order of arrival. Engines have no priorities.
func (e *Engine) admit(now clock.Instant) {
	for len(e.waiting) > 0 && len(e.running) < e.shape.Capacity {
		req := e.waiting[0]
		if req.request.Work == 0 && !e.allocate(req) {
			return
		}
		e.waiting = e.waiting[1:]
		if req.request.Work > 0 {
			req.started, req.endsAt = true, now.Add(e.workSpan(req.request.Work))
			e.emit(EffectBegin, req, 0)
		} else if e.tokenRequests() == 0 {
			e.nextStep = now.Add(e.stepSpan(1))
		}
		e.running = append(e.running, req)
	}
}

// allocate reserves memory for a request and determines which parts of its prompt are cached.
func (e *Engine) allocate(req *activeRequest) bool {
	if !e.cache.pin(req.parts, req.outputTokens, e.outputTokens()) {
		return false
	}
	req.pinned = true
	req.unreadPrompt = make([]int64, len(req.parts))
	cached := true
	for i, part := range req.parts {
		// A cached part counts only if all parts before it are cached too.
		cached = cached && e.cache.isComplete(part)
		if cached {
			e.ReusedTokens += part.Tokens
		} else {
			req.unreadPrompt[i] = part.Tokens
		}
	}
	req.unreadOutput = req.outputTokens
	return true
}

func (e *Engine) outputTokens() int64 {
	sum := int64(0)
	for _, req := range e.running {
		sum += req.outputTokens
	}
	return sum
}

func (e *Engine) tokenRequests() int {
	count := 0
	for _, req := range e.running {
		if req.request.Work == 0 {
			count++
		}
	}
	return count
}

func (e *Engine) stepSpan(count int) clock.Duration {
	return max(e.shape.Step+e.shape.StepEach*clock.Duration(count), 1)
}

// workSpan returns the duration of plain work, which takes up to twice as long on a full
// worker.
func (e *Engine) workSpan(work clock.Duration) clock.Duration {
	return work + work*clock.Duration(len(e.running))/clock.Duration(max(e.shape.Capacity, 1))
}

func (e *Engine) catchUp(now clock.Instant) {
	for count := 0; count < constants.EmulatorEventLimit && e.tokenRequests() > 0 && e.nextStep <= now; count++ {
		at, span := e.nextStep, e.stepSpan(e.tokenRequests())
		e.runStep(span)
		e.admit(at)
		e.nextStep = at.Add(e.stepSpan(max(e.tokenRequests(), 1)))
	}
	var ended []*activeRequest
	for _, req := range e.running {
		if req.request.Work > 0 && req.endsAt <= now {
			ended = append(ended, req)
		}
	}
	sort.SliceStable(ended, func(left, right int) bool { return ended[left].endsAt < ended[right].endsAt })
	for _, req := range ended {
		e.emit(EffectFinish, req, 0)
		e.drop(req)
	}
}
