package inbound

import (
	"net"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// deadlineConn is a connection that records its read deadline.
type deadlineConn struct {
	net.Conn
	deadline clock.Time
}

func (c *deadlineConn) SetReadDeadline(at clock.Time) error {
	c.deadline = at
	return nil
}

// A connection whose response ends during the drain must be read for LingerTimeout, since the client may
// already have sent its next request; one that has been idle for longer is closed at once. The server's
// own deadline must not extend that.
func TestDrainBoundsTheWaitForTheNextRequest(t *testing.T) {
	listener := NewListener(fakeListener{}, 0, NewMemory(0))
	ended, rested, busy := &deadlineConn{}, &deadlineConn{}, &deadlineConn{}
	endedConn, restedConn, busyConn := newConn(ended, listener), newConn(rested, listener), newConn(busy, listener)
	restedConn.waitingSince = clock.Now().Add(-2 * constants.LingerTimeout)
	busyConn.phase, endedConn.phase = phaseServing, phaseServing
	for _, connection := range []*Conn{endedConn, restedConn, busyConn} {
		listener.open[connection] = struct{}{}
		_ = connection.SetReadDeadline(clock.Deadline(constants.ControlIdle))
	}
	listener.Drain()
	endedConn.becomeIdle()
	_ = endedConn.SetReadDeadline(clock.Deadline(constants.ControlIdle))
	now := clock.Deadline(0)
	if left := ended.deadline.Sub(now); left <= 0 || left > constants.LingerTimeout {
		t.Errorf("connection whose response has just ended: read for %s, want up to %s", left, constants.LingerTimeout)
	}
	if left := rested.deadline.Sub(now); left > 0 {
		t.Errorf("connection that was idle for long: read for %s, want 0", left)
	}
	if left := busy.deadline.Sub(now); left < constants.ControlIdle/2 {
		t.Errorf("connection that serves a request: read for %s, want the server's deadline", left)
	}
	if _, tooLarge := endedConn.received([]byte("GET")); tooLarge || ended.deadline.Sub(now) < constants.ControlIdle/2 {
		t.Errorf("a request has begun to arrive: read for %s, want the server's deadline", ended.deadline.Sub(now))
	}
}

type fakeListener struct{ net.Listener }

func (fakeListener) Close() error { return nil }

// raceConn is a connection whose next read runs a function, and which records its end.
type raceConn struct {
	deadlineConn
	read   func(into []byte) (int, error)
	closed bool
}

func (c *raceConn) Read(into []byte) (int, error) { return c.read(into) }

func (c *raceConn) Close() error {
	c.closed = true
	return nil
}

// A drain that begins just as the bytes of a request arrive must not close their connection: the request
// is read, so it must get a response.
func TestShutdownTruncatesNoRequest(t *testing.T) {
	listener := NewListener(fakeListener{}, 0, NewMemory(0))
	raw := &raceConn{}
	connection := newConn(raw, listener)
	listener.open[connection] = struct{}{}
	raw.read = func(into []byte) (int, error) {
		listener.Drain()
		return copy(into, "GET "), nil
	}
	if count, err := connection.Read(make([]byte, 4)); count != 4 || err != nil || raw.closed {
		t.Fatalf("read %d bytes, error %v, connection closed: %v; want 4, none and false", count, err, raw.closed)
	}
	if open := listener.DrainWithin(0); open != 1 || raw.closed || !raw.deadline.IsZero() {
		t.Errorf("%d connections open, closed: %v, deadline %v; want the connection open without a deadline", open, raw.closed, raw.deadline)
	}
	connection.becomeIdle()
	if left := raw.deadline.Sub(clock.Deadline(0)); raw.deadline.IsZero() || left > constants.LingerTimeout {
		t.Errorf("after the response: deadline %v, want %s at most", raw.deadline, constants.LingerTimeout)
	}
}
