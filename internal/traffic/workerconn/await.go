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
	// SilenceTimeout is the silence after which ShouldGiveUp is asked, and again after each
	// further one; zero waits until the end.
	SilenceTimeout clock.Duration
	// ShouldGiveUp decides whether to give the worker up after a silence on this connection.
	// Where nil, it is given up once it was silent on all its connections for that long.
	ShouldGiveUp func(elapsed clock.Duration) bool
}

// Await waits for the next byte.
func (c *Connection) Await(wait Wait) error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	startedAt := clock.Now()
	checkedAt := startedAt
	for {
		now := clock.Now()
		if now >= wait.Until && c.nothingReceived() {
			return ErrWorkerUnresponsive.New("until the deadline")
		}
		span := max(wait.Until.Sub(now), constants.PumpPeriod)
		if wait.SilenceTimeout > 0 {
			from := checkedAt
			if wait.ShouldGiveUp == nil {
				// A worker that still sends on other connections is slow, not unresponsive.
				from = max(startedAt, clock.Instant(c.worker.lastReadAt.Load()))
			}
			if now.Sub(from) >= wait.SilenceTimeout && c.nothingReceived() {
				if wait.ShouldGiveUp == nil || wait.ShouldGiveUp(now.Sub(startedAt)) {
					return ErrWorkerUnresponsive.New("longer than usual")
				}
				checkedAt, from = now, now
			}
			span = min(span, max(wait.SilenceTimeout-now.Sub(from), constants.PumpPeriod/8))
		}
		_ = c.connection.SetReadDeadline(clock.Deadline(span))
		if _, err := c.reader.Peek(1); err == nil {
			c.worker.lastReadAt.Store(int64(clock.Now()))
			// What has begun to come may take until the end.
			_ = c.connection.SetReadDeadline(clock.Deadline(wait.Until.Sub(clock.Now())))
			return nil
		} else if !isTimeout(err) {
			return ErrConnectionBroken.Wrap(err, "read")
		}
	}
}

// nothingReceived tells that really nothing has come: on a starved processor the clock may run
// out before the bytes that lie ready were looked at.
func (c *Connection) nothingReceived() bool {
	_ = c.connection.SetReadDeadline(clock.Deadline(constants.PumpPeriod))
	return c.isOpenAndDrained()
}

// isTimeout tells whether a read ended at its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
