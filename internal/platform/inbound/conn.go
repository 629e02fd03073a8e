package inbound

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// phase is how far the present request of a connection has come.
type phase int

// The phases, in the order in which a request goes through them.
const (
	// phaseIdle: no byte of a request has come.
	phaseIdle phase = iota
	// phaseHead and phaseBody: a part of the request has come.
	phaseHead
	phaseBody
	// phaseServing: the request is whole, or its handler wants no more of it.
	phaseServing
	// phaseDraining: the request is answered, and what is left of its body is thrown away.
	phaseDraining
)

// What a client gets whose head could not be read: for want of room, or since it is too long.
// Nothing of the request has run, and nothing will.
var (
	noRoomAnswer   = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %.3f\r\nContent-Length: 0\r\n\r\n", constants.ClientRetryAfter.Seconds())
	tooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Conn is one connection of a client. It knows how far its request has come and how fast it comes.
type Conn struct {
	net.Conn
	listener *Listener

	lock  sync.Mutex
	phase phase
	// since is when the present phase of waiting for the client began: the first byte of the
	// request, or the end of the one before.
	since clock.Instant
	// head is what came of the head, early what came of the next request before the present one was
	// answered.
	head  headScan
	early []byte
	// unmetered is what the present request may still hold without being counted.
	unmetered int64
	rate      rate
	// evicted is set once the connection had to give way to others.
	evicted bool
	// deadline is the server's, bodyDeadline ours; the earlier one counts. Zero for none.
	deadline, bodyDeadline clock.Time
	// writingSince is the clock.Instant at which the write under way began, 0 where there is none.
	writingSince atomic.Int64

	// charged is how many bytes the request holds by the memory's count, leaving how many of them it
	// was made to give back and has not yet; Memory.lock guards both.
	charged, leaving int64
}

func newConn(raw net.Conn, listener *Listener) *Conn {
	return &Conn{Conn: raw, listener: listener, since: clock.Now(), unmetered: constants.ClientUnmeteredBytes}
}

// Read reads, counts what comes, and refuses a head that there is no room for.
func (c *Conn) Read(into []byte) (int, error) {
	if c.wasEvicted() {
		return 0, ErrNoRoom.New("connection had to give way")
	}
	count, err := c.Conn.Read(into)
	if count == 0 {
		return count, err
	}
	needed, tooLarge := c.received(into[:count])
	if tooLarge {
		c.endWith(tooLargeAnswer)
		return 0, ErrTooLarge.New("head")
	}
	if needed > 0 && !c.listener.memory.reserve(c, needed, needed) {
		c.listener.refused.Add(1)
		c.endWith(noRoomAnswer)
		return 0, ErrNoRoom.New("head")
	}
	return count, err
}

// received notes bytes that came, and tells how many bytes more the head of the request holds, or
// that it is longer than it may be.
func (c *Conn) received(text []byte) (needed int64, tooLarge bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := clock.Now()
	c.rate.add(len(text), now)
	switch c.phase {
	case phaseIdle:
		c.phase, c.since = phaseHead, now
	case phaseServing:
		c.early = append(c.early, text...)
		return 0, false
	case phaseBody, phaseDraining:
		return 0, false
	}
	before := c.headCost()
	c.head.feed(text)
	return c.meterLocked(c.headCost() - before), c.listener.outgrowsHead(c.head.bytes)
}

// headCost is what the head holds once it is parsed: its text twice, and an entry for each line.
func (c *Conn) headCost() int64 {
	return 2*c.head.bytes + constants.HeaderLineBytes*c.head.lines
}

// meterLocked takes bytes out of what the request may hold uncounted, and gives the rest. The
// lock is held.
func (c *Conn) meterLocked(count int64) int64 {
	free := min(count, c.unmetered)
	c.unmetered -= free
	return count - free
}

// meter does the same.
func (c *Conn) meter(count int64) int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.meterLocked(count)
}

// Write passes an answer on and notes how long the client takes to read it.
func (c *Conn) Write(text []byte) (int, error) {
	c.writingSince.Store(int64(clock.Now()))
	defer c.writingSince.Store(0)
	return c.Conn.Write(text)
}

// SetReadDeadline sets the server's deadline; an earlier one of ours for the body stays.
func (c *Conn) SetReadDeadline(at clock.Time) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.deadline = at
	return c.applyDeadlineLocked()
}

func (c *Conn) applyDeadlineLocked() error {
	at := c.deadline
	if !c.bodyDeadline.IsZero() && (at.IsZero() || c.bodyDeadline.Before(at)) {
		at = c.bodyDeadline
	}
	if c.evicted {
		at = clock.Deadline(0)
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(at clock.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// Close ends the connection and gives back what its request held: the server calls it once it has
// let go of the request.
func (c *Conn) Close() error {
	c.listener.memory.release(c)
	return c.cut()
}

// cut ends the connection while the server may still hold a part of the request, which counts on.
func (c *Conn) cut() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

// answer writes an answer of its own, behind which the connection ends.
func (c *Conn) answer(text string) error {
	_ = c.SetWriteDeadline(clock.Deadline(constants.ClientRefusalTimeout))
	_, err := c.Conn.Write([]byte(text))
	return err
}

// endWith answers and ends the connection once the client has come to its end.
func (c *Conn) endWith(text string) {
	if c.answer(text) == nil {
		_ = CloseWrite(c)
	}
	_ = c.cut()
}

// turnAway refuses a connection that there is no room for, without waiting for its client.
func (c *Conn) turnAway() {
	c.listener.refused.Add(1)
	_ = c.answer(noRoomAnswer)
	_ = c.cut()
}

// answerSince is when the write under way began, 0 where there is none.
func (c *Conn) answerSince() clock.Instant { return clock.Instant(c.writingSince.Load()) }

func (c *Conn) wasEvicted() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.evicted
}

// evict makes the connection give way. One whose handler reads its body is woken up and answers
// itself; any other one is closed. False where it is no longer what it was chosen for: a request that
// has come whole meanwhile is served.
func (c *Conn) evict(chosen *candidate) bool {
	c.lock.Lock()
	if c.evicted || c.phase != chosen.phase || c.answerSince() != chosen.writingSince {
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
		c.turnAway()
	case phaseIdle, phaseServing, phaseDraining:
		_ = c.cut()
	}
	return true
}
