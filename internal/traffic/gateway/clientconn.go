package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/inbound"
)

// requestTimeoutResponse is sent to a client that takes too long to send its header. The server itself
// closes such a connection without a response.
const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// clientConn is one client connection.
type clientConn struct {
	net.Conn
	owner *clientConns
	// hasFutureDeadline is set if the latest read deadline was in the future when it was set. The server
	// also sets deadlines in the past, to abort a read of its own; such a timeout does not mean that the
	// client is slow.
	hasFutureDeadline atomic.Bool
	lock              sync.Mutex
	// reading is set from the first bytes of a request to the end of its response. idle is set from
	// the end of a response until the server has seen the first bytes of the next request. idleUntil is
	// when an idle connection times out.
	reading, idle        bool
	idleSince, idleUntil clock.Instant
}

// SetReadDeadline sets the read deadline. A deadline in the future is replaced by the idle or header
// timeout of the current configuration, or removed if that timeout is 0. A past one is set unchanged. The
// zero time removes the deadline and ends the idle state.
func (p *clientConn) SetReadDeadline(deadline clock.Time) error {
	inFuture := clock.IsFuture(deadline)
	p.hasFutureDeadline.Store(inFuture)
	p.lock.Lock()
	defer p.lock.Unlock()
	if inFuture {
		timeout := p.owner.readTimeout(p.idle)
		if timeout <= 0 {
			p.hasFutureDeadline.Store(false)
			return p.Conn.SetReadDeadline(clock.Time{})
		}
		p.idleUntil = clock.Now().Add(timeout)
		deadline = clock.Deadline(timeout)
	} else if deadline.IsZero() {
		// The server has seen the first bytes of the next request.
		p.idle = false
	}
	return p.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the read and the write deadline, unchanged.
func (p *clientConn) SetDeadline(deadline clock.Time) error {
	p.hasFutureDeadline.Store(clock.IsFuture(deadline))
	return p.Conn.SetDeadline(deadline)
}

// Read reads from the connection. If a read deadline expires while a request is being received, Read
// sends a 408: the server sets a deadline in the future only until the header is complete. If it expires
// on an idle connection, Read tries once more before it returns the timeout.
func (p *clientConn) Read(buffer []byte) (int, error) {
	count, err := p.Conn.Read(buffer)
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && p.isIdleWithDeadline() {
		// This process may have been suspended while the request arrived, so read once more.
		_ = p.Conn.SetReadDeadline(clock.Deadline(constants.PollPeriod))
		count, err = p.Conn.Read(buffer)
	}
	if count > 0 {
		p.startRequest()
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && p.busy() && p.hasFutureDeadline.Load() {
		_, _ = p.Conn.Write([]byte(requestTimeoutResponse))
	}
	return count, err
}

// startRequest records that bytes of a request have arrived.
func (p *clientConn) startRequest() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reading = true
}

// busy reports whether a request is being received or served.
func (p *clientConn) busy() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.reading
}

func (p *clientConn) isIdleWithDeadline() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.idle && p.hasFutureDeadline.Load()
}

// setIdle records that a response is complete and no byte of another request has been read.
func (p *clientConn) setIdle(now clock.Instant) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reading, p.idle, p.idleSince = false, true, now
}

// extendIdle applies a new idle timeout to an idle connection if that lets it expire later.
func (p *clientConn) extendIdle(idle clock.Duration, now clock.Instant) {
	p.lock.Lock()
	defer p.lock.Unlock()
	until := p.idleSince.Add(idle)
	if p.idle && p.hasFutureDeadline.Load() && until > p.idleUntil {
		p.idleUntil = until
		_ = p.Conn.SetReadDeadline(clock.Deadline(until.Sub(now)))
	}
}

// Close closes the connection.
func (p *clientConn) Close() error {
	p.owner.remove(p)
	return p.Conn.Close()
}

// CloseWrite closes the sending side, so that the client can still finish sending and read the response.
// net/http calls it after the response to a head or body that is too large.
func (p *clientConn) CloseWrite() error { return inbound.CloseWrite(p.Conn) }

// NetConn returns the underlying connection.
func (p *clientConn) NetConn() net.Conn { return p.Conn }

// trackState is the ConnState hook of the server. It marks a connection as idle after a response.
func trackState(raw net.Conn, state http.ConnState) {
	inbound.ConnState(raw, state)
	if connection, ok := raw.(*clientConn); ok && state == http.StateIdle {
		connection.setIdle(clock.Now())
	}
}
