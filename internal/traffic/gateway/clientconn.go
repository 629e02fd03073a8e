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

// requestTimeoutResponse answers a client that takes too long over its header. The server itself
// ends such a connection without a word.
const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	owner *clientConns
	// hasDeadline is set while a deadline that lies ahead is set. The server also sets
	// deadlines that are long past, to call off a read of its own: that is no slow client.
	hasFutureDeadline atomic.Bool
	lock        sync.Mutex
	// reading is set while a request has begun to come or is under way, and idle
	// while none has, since a response; idleUntil is how long it may.
	reading, idle        bool
	idleSince, idleUntil clock.Instant
	// ended is set once the connection was closed between two requests.
	closed bool
}

// SetReadDeadline passes a deadline on, by the limits in force, and notes what it is for.
func (p *clientConn) SetReadDeadline(at clock.Time) error {
	ahead := clock.IsFuture(at)
	p.hasFutureDeadline.Store(ahead)
	p.lock.Lock()
	defer p.lock.Unlock()
	if ahead {
		timeout := p.owner.readTimeout(p.idle)
		if timeout <= 0 {
			p.hasFutureDeadline.Store(false)
			return p.Conn.SetReadDeadline(clock.Time{})
		}
		p.idleUntil = clock.Now().Add(timeout)
		at = clock.Deadline(timeout)
	} else if at.IsZero() {
		// The server has seen the first bytes of the next request.
		p.idle = false
	}
	return p.Conn.SetReadDeadline(at)
}

// SetDeadline does the same.
func (p *clientConn) SetDeadline(at clock.Time) error {
	p.hasFutureDeadline.Store(clock.IsFuture(at))
	return p.Conn.SetDeadline(at)
}

// Read answers where the time for a header is over: no other read of the server has
// a deadline while a request comes.
func (p *clientConn) Read(into []byte) (int, error) {
	count, err := p.Conn.Read(into)
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && p.isIdleWithDeadline() {
		// This process may have stood still while the request came: look once more.
		_ = p.Conn.SetReadDeadline(clock.Deadline(constants.PumpPeriod))
		count, err = p.Conn.Read(into)
	}
	if count > 0 && !p.startRequest() {
		return 0, net.ErrClosed
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && p.busy() && p.hasFutureDeadline.Load() {
		_, _ = p.Conn.Write([]byte(requestTimeoutResponse))
	}
	return count, err
}

// startRequest notes that bytes of a request came; false where the connection had been ended
// before, so that the request is not taken.
func (p *clientConn) startRequest() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reading = true
	return !p.closed
}

func (p *clientConn) busy() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.reading && !p.closed
}

func (p *clientConn) isIdleWithDeadline() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.idle && p.hasFutureDeadline.Load()
}

// setIdle notes that a response is complete and nothing of another request has been read.
func (p *clientConn) setIdle(now clock.Instant) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reading, p.idle, p.idleSince = false, true, now
}

// extendIdle gives an idle connection the time of newer limits, if that is longer.
func (p *clientConn) extendIdle(idle clock.Duration, now clock.Instant) {
	p.lock.Lock()
	defer p.lock.Unlock()
	until := p.idleSince.Add(idle)
	if p.idle && p.hasFutureDeadline.Load() && until > p.idleUntil {
		p.idleUntil = until
		_ = p.Conn.SetReadDeadline(clock.Deadline(until.Sub(now)))
	}
}

// closeIdle closes the connection unless a request has begun to come.
func (p *clientConn) closeIdle() {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.reading && !p.closed {
		p.closed = true
		p.Conn.Close()
	}
}

// Close ends the connection.
func (p *clientConn) Close() error {
	p.owner.remove(p)
	return p.Conn.Close()
}

// CloseWrite ends our side and lets the client come to its end. The standard server asks for it
// where it answers a head or body that is too large.
func (p *clientConn) CloseWrite() error { return inbound.CloseWrite(p.Conn) }

// NetConn gives the connection inside.
func (p *clientConn) NetConn() net.Conn { return p.Conn }

// trackState follows a connection through its requests.
func trackState(raw net.Conn, state http.ConnState) {
	inbound.ConnState(raw, state)
	if connection, is := raw.(*clientConn); is && state == http.StateIdle {
		connection.setIdle(clock.Now())
	}
}
