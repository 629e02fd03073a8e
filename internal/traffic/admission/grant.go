package admission

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Grant is an entry to a worker.
type Grant struct {
	Worker    messages.Worker
	Fresh     int
	ask       *Ask
	begun     clock.Instant
	read      bool
	scheduler *Scheduler
	alone     bool
	number    int64
	engine    bool
	// reading is the time that the worker needed, by our reckoning, for the prompts
	// before ours and for ours.
	reading clock.Duration
	// doubt is how far a silence was noted, and silence the one we left from.
	doubt   int
	silence clock.Duration
}
