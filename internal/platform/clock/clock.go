// Package clock wraps package time, so that protocol logic takes the current instant as an argument
// and only few files access the system clock.
package clock

import (
	"math/rand"
	"time"
)

// Instant is a point on the monotonic clock, in nanoseconds since the start of the process.
type Instant int64

// Duration is a length of time.
type Duration = time.Duration

var processStart = time.Now()

// Now returns the current instant on the monotonic clock.
func Now() Instant { return Instant(time.Since(processStart)) }

// Sub returns the duration since an earlier instant.
func (m Instant) Sub(earlier Instant) Duration { return Duration(m - earlier) }

// Add returns the instant that is later by a duration.
func (m Instant) Add(duration Duration) Instant { return m + Instant(duration) }

// Milliseconds converts a number of ms to a duration.
func Milliseconds(count float64) Duration { return Duration(count * float64(time.Millisecond)) }

// ToMilliseconds converts a duration to ms.
func ToMilliseconds(duration Duration) float64 { return float64(duration) / float64(time.Millisecond) }

// WallNanos returns the Unix time in ns, for identifying incarnations and for ages across restarts.
func WallNanos() int64 { return time.Now().UnixNano() }

// Sleep blocks for a duration. Only I/O code (sockets, timers) may call it.
func Sleep(duration Duration) { time.Sleep(duration) }

// Deadline returns the absolute time of a timeout that starts now, as sockets require it.
func Deadline(timeout Duration) time.Time { return time.Now().Add(timeout) }

// Timer is a timer that fires once.
type Timer = time.Timer

// NewTimer starts a timer.
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

// After returns a channel that receives a value after the timeout.
func After(timeout Duration) <-chan time.Time { return time.After(timeout) }

// ClosedAfter returns a channel that is closed after the timeout.
func ClosedAfter(timeout Duration) chan struct{} {
	elapsed := make(chan struct{})
	time.AfterFunc(timeout, func() { close(elapsed) })
	return elapsed
}

// Float64 returns a random number in [0, 1).
func Float64() float64 { return rand.Float64() }

// Time is a point in time for socket deadlines.
type Time = time.Time

// IsFuture reports whether a deadline is set and not yet reached.
func IsFuture(at Time) bool { return !at.IsZero() && time.Until(at) > 0 }
