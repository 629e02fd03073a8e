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
)

// slowHead answers a client that takes too long over its head. The server itself
// ends such a connection without a word.
const slowHead = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// patientConnection is one connection of a client.
type patientConnection struct {
	net.Conn
	owner *connections
	// bounded is set while a deadline that lies ahead is set. The server also sets
	// deadlines that are long past, to call off a read of its own: that is no slow client.
	bounded atomic.Bool
	lock    sync.Mutex
	// reading is set while a request has begun to come or is under way, and resting
	// while none has, since an answer; until is how long it may.
	reading, resting bool
	since, until     clock.Instant
	// ended is set once the connection was closed between two requests.
	ended bool
}

// SetReadDeadline passes a deadline on, by the limits in force, and notes what it is for.
func (p *patientConnection) SetReadDeadline(at clock.Time) error {
	ahead := clock.IsFuture(at)
	p.bounded.Store(ahead)
	p.lock.Lock()
	defer p.lock.Unlock()
	if ahead {
		span := p.owner.patience(p.resting)
		if span <= 0 {
			p.bounded.Store(false)
			return p.Conn.SetReadDeadline(clock.Time{})
		}
		p.until = clock.Now().Add(span)
		at = clock.Deadline(span)
	} else if at.IsZero() {
		// The server has seen the first bytes of the next request.
		p.resting = false
	}
	return p.Conn.SetReadDeadline(at)
}

// SetDeadline does the same.
func (p *patientConnection) SetDeadline(at clock.Time) error {
	p.bounded.Store(clock.IsFuture(at))
	return p.Conn.SetDeadline(at)
}

// Read answers where the time for a head is over: no other read of the server has
// a deadline while a request comes.
func (p *patientConnection) Read(into []byte) (int, error) {
	count, err := p.Conn.Read(into)
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && p.rests() {
		// This process may have stood still while the request came: look once more.
		_ = p.Conn.SetReadDeadline(clock.Deadline(constants.PumpPeriod))
		count, err = p.Conn.Read(into)
	}
	if count > 0 && !p.begin() {
		return 0, net.ErrClosed
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && p.busy() && p.bounded.Load() {
		_, _ = p.Conn.Write([]byte(slowHead))
	}
	return count, err
}

// begin notes that bytes of a request came; false where the connection had been ended
// before, so that the request is not taken.
func (p *patientConnection) begin() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reading = true
	return !p.ended
}

func (p *patientConnection) busy() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.reading && !p.ended
}

func (p *patientConnection) rests() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.resting && p.bounded.Load()
}

// rest notes that an answer is whole and nothing of another request has been asked for.
func (p *patientConnection) rest(now clock.Instant) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reading, p.resting, p.since = false, true, now
}

// extend gives a resting connection the time of newer limits, if that is longer.
func (p *patientConnection) extend(idle clock.Duration, now clock.Instant) {
	p.lock.Lock()
	defer p.lock.Unlock()
	until := p.since.Add(idle)
	if p.resting && p.bounded.Load() && until > p.until {
		p.until = until
		_ = p.Conn.SetReadDeadline(clock.Deadline(until.Sub(now)))
	}
}

// endResting closes the connection unless a request has begun to come.
func (p *patientConnection) endResting() {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.reading && !p.ended {
		p.ended = true
		p.Conn.Close()
	}
}

// Close ends the connection.
func (p *patientConnection) Close() error {
	p.owner.forget(p)
	return p.Conn.Close()
}

// noteState follows a connection through its requests.
func noteState(raw net.Conn, state http.ConnState) {
	if connection, is := raw.(*patientConnection); is && state == http.StateIdle {
		connection.rest(clock.Now())
	}
}
