// Package clock wraps time, so that cores take a moment as an argument and only
// few files import the clock.
package clock

import (
	"math/rand"
	"time"
)

// Moment is a point on the steady clock, in nanoseconds since the process began.
type Moment int64

// Span is a length of time.
type Span = time.Duration

var begun = time.Now()

// Now gives the present moment on the steady clock.
func Now() Moment { return Moment(time.Since(begun)) }

// Since gives the span from an earlier moment.
func (m Moment) Since(earlier Moment) Span { return Span(m - earlier) }

// Plus gives a later moment.
func (m Moment) Plus(span Span) Moment { return m + Moment(span) }

// Milliseconds turns a number of ms into a span.
func Milliseconds(count float64) Span { return Span(count * float64(time.Millisecond)) }

// ToMilliseconds gives a span in ms.
func ToMilliseconds(span Span) float64 { return float64(span) / float64(time.Millisecond) }

// Wall gives the time of day in ns, for names of lives and for ages across restarts.
func Wall() int64 { return time.Now().UnixNano() }

// Sleep waits. Only the rims (sockets, timers) may call it.
func Sleep(span Span) { time.Sleep(span) }

// Deadline gives the wall deadline that sockets want.
func Deadline(span Span) time.Time { return time.Now().Add(span) }

// Timer fires once.
type Timer = time.Timer

// NewTimer makes a timer.
func NewTimer(span Span) *Timer { return time.NewTimer(span) }

// Every calls the function each period until the stop channel closes.
func Every(period Span, stop <-chan struct{}, function func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			function()
		}
	}
}

// After gives a channel that speaks once the span is over.
func After(span Span) <-chan time.Time { return time.After(span) }

// Bell gives a channel that closes once the span is over.
func Bell(span Span) chan struct{} {
	bell := make(chan struct{})
	time.AfterFunc(span, func() { close(bell) })
	return bell
}

// Draw gives a random number in [0, 1).
func Draw() float64 { return rand.Float64() }

// Time is a point that sockets know.
type Time = time.Time

// Ahead tells whether a deadline is set and lies ahead.
func Ahead(at Time) bool { return !at.IsZero() && time.Until(at) > 0 }
