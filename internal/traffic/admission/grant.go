package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Grant is an entry to a worker.
type Grant struct {
	Worker      messages.Worker
	FreshTokens int
	request     *Request
	startedAt   clock.Instant
	prefillDone bool
	scheduler   *Scheduler
	alone       bool
	number      int64
	engine      bool
	// prefillTime is the time that the worker needed, by our reckoning, for the prompts
	// before ours and for ours.
	prefillTime clock.Duration
	// silenceLevel is how far a silence was noted, and silence the one we left from.
	silenceLevel int
	silence      clock.Duration
}
