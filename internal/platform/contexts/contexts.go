// Package contexts wraps package context, so that only few files import it.
package contexts

import (
	"context"
	"time"
)

// Context is the context of an operation that can be cancelled.
type Context = context.Context

// Background returns the context that is never cancelled.
func Background() Context { return context.Background() }

// AfterFunc runs a function once the context is cancelled. Calling stop removes the function.
func AfterFunc(parent Context, function func()) (stop func()) {
	remove := context.AfterFunc(parent, function)
	return func() { remove() }
}

// WithTimeout returns a context that is cancelled after a timeout, and the function that cancels it
// earlier.
func WithTimeout(parent Context, timeout time.Duration) (Context, func()) {
	return context.WithTimeout(parent, timeout)
}

// WithCancel returns a context and the function that cancels it.
func WithCancel(parent Context) (Context, func()) { return context.WithCancel(parent) }

// WithValue returns a context with an additional value.
func WithValue(parent Context, key, value any) Context { return context.WithValue(parent, key, value) }
