package workbench

import (
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Grant is an entry to a worker.
type Grant struct {
	Worker pattern.Worker
	Fresh  int
	ask    *Ask
	begun  watch.Moment
	read   bool
	bench  *Workbench
	alone  bool
	number int64
	engine bool
	// reading is the time that the worker needed, by our reckoning, for the prompts
	// before ours and for ours.
	reading watch.Span
	// doubt is how far a silence was noted, and silence the one we left from.
	doubt   int
	silence watch.Span
}
