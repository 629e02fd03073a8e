// Package contexts wraps context: an errand is a piece of work that can be called off.
package contexts

import (
	"context"
	"time"
)

// Errand is a piece of work that can be called off.
type Errand = context.Context

// Background is the errand that is never called off.
func Background() Errand { return context.Background() }

// AfterEnd runs a function once the errand is called off; halt undoes it.
func AfterEnd(one Errand, function func()) (halt func()) {
	stop := context.AfterFunc(one, function)
	return func() { stop() }
}

// Timed gives an errand that is called off after a span.
func Timed(parent Errand, span time.Duration) (Errand, func()) {
	return context.WithTimeout(parent, span)
}

// Stoppable gives an errand that its maker may call off.
func Stoppable(parent Errand) (Errand, func()) { return context.WithCancel(parent) }
