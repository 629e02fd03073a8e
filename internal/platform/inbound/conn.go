package inbound

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// phase is the progress of the current request of a connection.
type phase int

// The phases, in the order in which a request passes through them.
const (
	// phaseIdle: no byte of a request has been received.
	phaseIdle phase = iota
	// phaseHead and phaseBody: a part of the head or the body has been received.
	phaseHead
	phaseBody
	// phaseServing: the request has been received completely, or its handler reads no more of it.
	phaseServing
	// phaseDraining: the request has a response, and the rest of its body is discarded.
	phaseDraining
)

// The responses to a request whose head could not be read: because the memory limit was reached, or
// because the head is too long. No part of the request has been executed, nor will be.
var (
	unavailableResponse  = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n", constants.ClientRetryAfter.Seconds())
	headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Conn is one connection of a client. It tracks the phase of the current request and the rate at
// which its bytes arrive.
type Conn struct {
	net.Conn
	listener *Listener

	lock  sync.Mutex
	phase phase
	// waitingSince is when the current wait for the client began: at the first byte of the request,
	// or, on an idle connection, at the end of the previous request.
	waitingSince clock.Instant
	// head tracks the head received so far. pipelined stores the bytes of the next request that were
	// received before the response to the current one.
	head      headScan
	pipelined []byte
	// unmetered is how many bytes the current request may still allocate without being charged.
	unmetered int64
	rate      rate
	// evicted is set once the connection was chosen to free resources for others.
	evicted bool
	// deadline is set by the HTTP server, bodyDeadline while a body is read, and lingerDeadline while
	// a draining listener's connection waits for a request; the earliest one applies. Zero means no
	// deadline.
	deadline, bodyDeadline, lingerDeadline clock.Time
	// writingSince is the clock.Instant at which the write in progress began, 0 if there is none.
	writingSince atomic.Int64

	// charged is how many bytes the Memory has charged to the request. releasing is how many of
	// them an evicted request will release but has not released yet. Memory.lock guards both.
	charged, releasing int64
}

func newConn(raw net.Conn, listener *Listener) *Conn {
	return &Conn{Conn: raw, listener: listener, waitingSince: clock.Now(), unmetered: constants.ClientUnmeteredBytes}
}

// Read reads from the connection, counts the bytes received, and rejects a head that is too long or
// that the memory limit does not allow.
func (c *Conn) Read(into []byte) (int, error) {
	if c.wasEvicted() {
		return 0, ErrMemoryLimit.New("connection was evicted to free memory")
	}
	count, err := c.Conn.Read(into)
	if count == 0 {
		return count, err
	}
	needed, tooLarge := c.received(into[:count])
	if tooLarge {
		c.respondAndClose(headTooLargeResponse)
		return 0, ErrTooLarge.New("head exceeds the limit")
	}
	if needed > 0 && !c.listener.memory.reserve(c, needed, needed) {
		c.listener.rejected.Add(1)
		c.respondAndClose(unavailableResponse)
		return 0, ErrMemoryLimit.New("reserve memory for the head")
	}
	return count, err
}

// received records bytes that were read. It returns how many additional bytes must be charged for the
// head of the request, and whether the head is longer than allowed.
func (c *Conn) received(data []byte) (needed int64, tooLarge bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := clock.Now()
	c.rate.add(len(data), now)
	switch c.phase {
	case phaseIdle:
		c.phase, c.waitingSince = phaseHead, now
		if !c.lingerDeadline.IsZero() {
			c.lingerDeadline = clock.Time{}
			_ = c.applyDeadlineLocked()
		}
	case phaseServing:
		c.pipelined = append(c.pipelined, data...)
		return 0, false
	case phaseBody, phaseDraining:
		return 0, false
	}
	before := c.headCost()
	c.head.feed(data)
	return c.meterLocked(c.headCost() - before), c.listener.headTooLarge(c.head.bytes)
}

// headCost is the memory of the parsed head in bytes: its text twice, and an entry for each line.
func (c *Conn) headCost() int64 {
	return 2*c.head.bytes + constants.HeaderLineBytes*c.head.lines
}

// meterLocked deducts count bytes from the request's unmetered allowance and returns the remainder,
// which must be charged. The caller holds the lock.
func (c *Conn) meterLocked(count int64) int64 {
	covered := min(count, c.unmetered)
	c.unmetered -= covered
	return count - covered
}

// meter is meterLocked for callers that do not hold the lock.
func (c *Conn) meter(count int64) int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.meterLocked(count)
}

// Write writes a part of a response and records when the write began, so that a client that does not
// read its response can be detected.
func (c *Conn) Write(data []byte) (int, error) {
	c.writingSince.Store(int64(clock.Now()))
	defer c.writingSince.Store(0)
	return c.Conn.Write(data)
}

// Close closes the connection and releases the memory charged to its request. The server calls it
// once it no longer references the request.
func (c *Conn) Close() error {
	c.listener.memory.release(c)
	return c.abort()
}

// abort closes the connection without releasing the memory charged to its request, because the
// server may still reference a part of the request.
func (c *Conn) abort() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

// writeResponse writes a raw response, after which the caller closes the connection.
func (c *Conn) writeResponse(text string) error {
	_ = c.SetWriteDeadline(clock.Deadline(constants.ClientRejectionTimeout))
	_, err := c.Conn.Write([]byte(text))
	return err
}

// respondAndClose writes a raw response and closes the connection after the client has ended its
// side, or after the limits of CloseWrite.
func (c *Conn) respondAndClose(text string) {
	if c.writeResponse(text) == nil {
		_ = CloseWrite(c)
	}
	_ = c.abort()
}

// reject responds 503 and closes the connection at once, without waiting for the client.
func (c *Conn) reject() {
	c.listener.rejected.Add(1)
	_ = c.writeResponse(unavailableResponse)
	_ = c.abort()
}

// writeStart is when the write in progress began, 0 if there is none.
func (c *Conn) writeStart() clock.Instant { return clock.Instant(c.writingSince.Load()) }

func (c *Conn) wasEvicted() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.evicted
}

// evict ends the connection's request to free its resources. If a handler is reading the body, its
// read is interrupted and the handler sends the response; any other connection is closed here. It
// returns false if the connection's state has changed since it was chosen: a request that was
// received completely in the meantime is served.
func (c *Conn) evict(chosen *candidate) bool {
	c.lock.Lock()
	if c.evicted || c.phase != chosen.phase || c.writeStart() != chosen.writingSince {
		c.lock.Unlock()
		return false
	}
	c.evicted = true
	_ = c.applyDeadlineLocked()
	c.lock.Unlock()
	c.listener.evicted.Add(1)
	switch chosen.phase {
	case phaseBody:
	case phaseHead:
		c.reject()
	case phaseIdle, phaseServing, phaseDraining:
		_ = c.abort()
	}
	return true
}
