package workerconn

import (
	"errors"
	"net"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Wait defines how long Await waits for the next byte.
type Wait struct {
	// Until is the deadline.
	Until clock.Instant
	// SilenceTimeout is the time without a received byte after which ShouldGiveUp is called, and
	// called again after each further such time. 0 means to wait until the deadline.
	SilenceTimeout clock.Duration
	// ShouldGiveUp decides whether to stop waiting when no byte was received on this connection
	// for SilenceTimeout; elapsed is the time since the start of the wait. If it is nil, the wait
	// ends when no byte was received on any connection to the worker for that time.
	ShouldGiveUp func(elapsed clock.Duration) bool
}

// Await waits until a byte can be read. It returns an error of the kind ErrWorkerUnresponsive if none
// was received in time, and of the kind ErrConnectionBroken if the connection failed.
func (c *Connection) Await(wait Wait) error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	startedAt := clock.Now()
	checkedAt := startedAt
	for {
		now := clock.Now()
		if now >= wait.Until && c.nothingReceived() {
			return ErrWorkerUnresponsive.New("no byte received before the deadline")
		}
		timeout := max(wait.Until.Sub(now), constants.PollPeriod)
		if wait.SilenceTimeout > 0 {
			silentSince := checkedAt
			if wait.ShouldGiveUp == nil {
				// A worker that still sends on other connections is slow, not unresponsive.
				silentSince = max(startedAt, clock.Instant(c.worker.lastReadAt.Load()))
			}
			if now.Sub(silentSince) >= wait.SilenceTimeout && c.nothingReceived() {
				if wait.ShouldGiveUp == nil || wait.ShouldGiveUp(now.Sub(startedAt)) {
					return ErrWorkerUnresponsive.New("no byte received within the silence timeout")
				}
				checkedAt, silentSince = now, now
			}
			timeout = min(timeout, max(wait.SilenceTimeout-now.Sub(silentSince), constants.PollPeriod/8))
		}
		_ = c.connection.SetReadDeadline(clock.Deadline(timeout))
		if _, err := c.reader.Peek(1); err == nil {
			c.worker.lastReadAt.Store(int64(clock.Now()))
			// The rest of data that has begun to arrive may take until the deadline.
			_ = c.connection.SetReadDeadline(clock.Deadline(wait.Until.Sub(clock.Now())))
			return nil
		} else if !isTimeout(err) {
			return ErrConnectionBroken.Wrap(err, "await response")
		}
	}
}

// nothingReceived reports whether the connection is open and no byte can be read. It checks the
// socket itself: on an overloaded processor the timeout may expire before bytes are read that have
// already been received.
func (c *Connection) nothingReceived() bool {
	_ = c.connection.SetReadDeadline(clock.Deadline(constants.PollPeriod))
	return c.isOpenAndDrained()
}

// isTimeout reports whether a read failed because its deadline was exceeded.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
