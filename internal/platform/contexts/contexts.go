// Package contexts wraps context, so that few files import it.
package contexts

import (
	"context"
	"time"
)

// Context is a piece of work that can be cancelled.
type Context = context.Context

// Background is the context that is never cancelled.
func Background() Context { return context.Background() }

// AfterEnd runs a function once the context is cancelled; halt undoes it.
func AfterEnd(parent Context, function func()) (halt func()) {
	stop := context.AfterFunc(parent, function)
	return func() { stop() }
}

// Timed gives a context that is cancelled after a span.
func Timed(parent Context, span time.Duration) (Context, func()) {
	return context.WithTimeout(parent, span)
}

// Stoppable gives a context that its maker may cancel.
func Stoppable(parent Context) (Context, func()) { return context.WithCancel(parent) }
