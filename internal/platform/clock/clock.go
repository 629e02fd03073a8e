// Package clock wraps time, so that cores take an instant as an argument and only
// few files import the clock.
package clock

import (
	"math/rand"
	"time"
)

// Instant is a point on the steady clock, in nanoseconds since the process began.
type Instant int64

// Duration is a length of time.
type Duration = time.Duration

var processStart = time.Now()

// Now gives the present instant on the steady clock.
func Now() Instant { return Instant(time.Since(processStart)) }

// Sub gives the duration since an earlier instant.
func (m Instant) Sub(earlier Instant) Duration { return Duration(m - earlier) }

// Add gives a later instant.
func (m Instant) Add(timeout Duration) Instant { return m + Instant(timeout) }

// Milliseconds turns a number of ms into a duration.
func Milliseconds(count float64) Duration { return Duration(count * float64(time.Millisecond)) }

// ToMilliseconds gives a duration in ms.
func ToMilliseconds(timeout Duration) float64 { return float64(timeout) / float64(time.Millisecond) }

// WallNanos gives the time of day in ns, for names of incarnations and for ages across restarts.
func WallNanos() int64 { return time.Now().UnixNano() }

// Sleep waits. Only I/O code (sockets, timers) may call it.
func Sleep(timeout Duration) { time.Sleep(timeout) }

// Deadline gives the wall deadline that sockets want.
func Deadline(timeout Duration) time.Time { return time.Now().Add(timeout) }

// Timer fires once.
type Timer = time.Timer

// NewTimer makes a timer.
func NewTimer(timeout Duration) *Timer { return time.NewTimer(timeout) }

// Every calls the function each period until the stop channel closes.
func Every(period Duration, stop <-chan struct{}, function func()) {
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

// After gives a channel that receives a value once the duration is over.
func After(timeout Duration) <-chan time.Time { return time.After(timeout) }

// ClosedAfter gives a channel that closes once the duration is over.
func ClosedAfter(timeout Duration) chan struct{} {
	bell := make(chan struct{})
	time.AfterFunc(timeout, func() { close(bell) })
	return bell
}

// Float64 gives a random number in [0, 1).
func Float64() float64 { return rand.Float64() }

// Time is a point that sockets know.
type Time = time.Time

// IsFuture tells whether a deadline is set and lies ahead.
func IsFuture(at Time) bool { return !at.IsZero() && time.Until(at) > 0 }
