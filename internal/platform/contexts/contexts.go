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

// AfterFunc runs a function once the context is cancelled; halt undoes it.
func AfterFunc(parent Context, function func()) (halt func()) {
	stop := context.AfterFunc(parent, function)
	return func() { stop() }
}

// WithTimeout gives a context that is cancelled after a duration.
func WithTimeout(parent Context, timeout time.Duration) (Context, func()) {
	return context.WithTimeout(parent, timeout)
}

// WithCancel gives a context that its maker may cancel.
func WithCancel(parent Context) (Context, func()) { return context.WithCancel(parent) }

// WithValue gives a context that carries a value.
func WithValue(parent Context, key, value any) Context { return context.WithValue(parent, key, value) }
