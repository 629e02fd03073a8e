package workeremulator

import "lemonarch/internal/platform/clock"

// Shape is the capacity and speed of an engine.
type Shape struct {
	// Capacity is the maximum number of requests that run concurrently, Queue the maximum
	// number that wait.
	Capacity, Queue int
	// CacheTokens is the memory size in tokens, shared by running requests and cached parts. If
	// it is not above 0, memory is unlimited.
	CacheTokens int64
	// ReadPerMs is the number of prompt tokens prefilled per ms, over all requests.
	ReadPerMs float64
	// Step is the base duration of a step, in which each running request produces one token.
	// StepEach is added for each running request, so that tokens come more slowly with a larger
	// batch.
	Step, StepEach clock.Duration
	// Stride is the number of tokens in one event of a stream.
	Stride int
}

// EngineRequest is one request to an engine.
type EngineRequest struct {
	// Ticket identifies the request within its worker. The attempt id can't be used since it
	// may occur twice.
	Ticket int64
	Model  string
	// In and Out are the numbers of tokens of the prompt and of the output, Parts the named parts of
	// the prompt, which can be cached.
	In    int64
	Out   int64
	Parts []Part
	// LastEvent is the number of the last event that the client already has; 0 if it has none.
	LastEvent int64
	// Work, if above 0, makes this a plain request without tokens that takes this long.
	Work clock.Duration
	// Deadline is when processing of the request is abandoned; 0 means never.
	Deadline clock.Instant
}

// EventKind is the kind of an input event of an engine.
type EventKind int

// The kinds of events.
const (
	EventTick EventKind = iota
	EventArrive
	EventCancel
)

// Event is one input event.
type Event struct {
	Kind    EventKind
	Request EngineRequest
	Ticket  int64
}

// EffectKind is the kind of an output of an engine.
type EffectKind int

// The kinds of effects.
const (
	// EffectReject means that the request was not executed and never will be.
	EffectReject EffectKind = iota
	// EffectBegin means that the request counts as running from now on.
	EffectBegin
	// EffectEvent means that one event of the request's stream is complete.
	EffectEvent
	// EffectFinish means that the whole response is complete.
	EffectFinish
	// EffectExpire means that the deadline passed while the request was running.
	EffectExpire
	// EffectPreempt means that memory ran out and the request waits again. It is not reported
	// to the client.
	EffectPreempt
)

// Effect is one effect on one request.
type Effect struct {
	Kind   EffectKind
	Ticket int64
	// Number is the number of the event, for EffectEvent.
	Number int64
}
