package workerconn

import (
	"errors"
	"net"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Wait says how long to wait for the next byte.
type Wait struct {
	Until clock.Instant
	// Patience is the silence after which Impatient is asked, and again after each
	// further one; zero waits until the end.
	Patience clock.Duration
	// Impatient decides whether to give the worker up after a silence on this connection.
	// Where nil, it is given up once it was silent on all its connections for that long.
	Impatient func(silence clock.Duration) bool
}

// Await waits for the next byte.
func (c *Connection) Await(wait Wait) error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	begun := clock.Now()
	asked := begun
	for {
		now := clock.Now()
		if now >= wait.Until && c.silent() {
			return ErrWorkerUnresponsive.New("until the deadline")
		}
		span := max(wait.Until.Sub(now), constants.PumpPeriod)
		if wait.Patience > 0 {
			from := asked
			if wait.Impatient == nil {
				// A worker that still speaks on other connections is slow, not silent.
				from = max(begun, clock.Instant(c.worker.heard.Load()))
			}
			if now.Sub(from) >= wait.Patience && c.silent() {
				if wait.Impatient == nil || wait.Impatient(now.Sub(begun)) {
					return ErrWorkerUnresponsive.New("longer than usual")
				}
				asked, from = now, now
			}
			span = min(span, max(wait.Patience-now.Sub(from), constants.PumpPeriod/8))
		}
		_ = c.connection.SetReadDeadline(clock.Deadline(span))
		if _, err := c.reader.Peek(1); err == nil {
			c.worker.heard.Store(int64(clock.Now()))
			// What has begun to come may take until the end.
			_ = c.connection.SetReadDeadline(clock.Deadline(wait.Until.Sub(clock.Now())))
			return nil
		} else if !isTimeout(err) {
			return ErrConnectionBroken.Wrap(err, "read")
		}
	}
}

// silent tells that really nothing has come: on a starved processor the clock may run
// out before the bytes that lie ready were looked at.
func (c *Connection) silent() bool {
	_ = c.connection.SetReadDeadline(clock.Deadline(constants.PumpPeriod))
	return c.quiet()
}

// isTimeout tells whether a read ended at its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
