package workeremulator

import "lemonarch/internal/platform/clock"

// Shape is what an engine can do.
type Shape struct {
	// Capacity is how many requests run at once, Queue how many more may wait.
	Capacity, Queue int
	// CacheTokens is the memory, shared by running requests and kept parts.
	CacheTokens int64
	// ReadPerMs is how many prompt tokens are read in a ms, all requests together.
	ReadPerMs float64
	// Step is the time of one token of all running requests; StepEach is added for
	// each of them, so that tokens come more slowly as more run.
	Step, StepEach clock.Duration
	// Stride is how many tokens one event of a stream holds.
	Stride int
}

// Ask is one request for an engine.
type Ask struct {
	// Ticket is the rim's name for it: attempt ids may come twice.
	Ticket int64
	Model  string
	In     int64
	Out    int64
	Parts  []Part
	// From is the last event that the asker has already.
	From int64
	// Work, where above 0, makes it a plain request that takes so long and has no tokens.
	Work clock.Duration
	// Until is when work on it ceases; 0 is never.
	Until clock.Instant
}

// EventKind says what happens to an engine.
type EventKind int

// The events.
const (
	EventTick EventKind = iota
	EventArrive
	EventCancel
)

// Event is one event.
type Event struct {
	Kind   EventKind
	Ask    Ask
	Ticket int64
}

// EffectKind says what an engine wants done.
type EffectKind int

// The effects.
const (
	// EffectRefuse: not run, and never will be.
	EffectRefuse EffectKind = iota
	// EffectBegin: it runs from here on.
	EffectBegin
	// EffectEvent: one event of its stream is there.
	EffectEvent
	// EffectFinish: the whole answer is there.
	EffectFinish
	// EffectExpire: its time ran out while it ran.
	EffectExpire
	// EffectPutBack: memory ran out, and it waits again; nobody is told.
	EffectPutBack
)

// Effect is one effect on one request.
type Effect struct {
	Kind   EffectKind
	Ticket int64
	// Number is the id of the event.
	Number int64
}
