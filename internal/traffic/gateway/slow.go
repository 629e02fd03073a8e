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
	since, until     clock.Moment
	// ended is set once the connection was closed between two requests.
	ended bool
}

// SetReadDeadline passes a deadline on, by the limits in force, and notes what it is for.
func (connection *patientConnection) SetReadDeadline(at clock.Time) error {
	ahead := clock.Ahead(at)
	connection.bounded.Store(ahead)
	connection.lock.Lock()
	defer connection.lock.Unlock()
	if ahead {
		span := connection.owner.patience(connection.resting)
		if span <= 0 {
			connection.bounded.Store(false)
			return connection.Conn.SetReadDeadline(clock.Time{})
		}
		connection.until = clock.Now().Plus(span)
		at = clock.Deadline(span)
	} else if at.IsZero() {
		// The server has seen the first bytes of the next request.
		connection.resting = false
	}
	return connection.Conn.SetReadDeadline(at)
}

// SetDeadline does the same.
func (connection *patientConnection) SetDeadline(at clock.Time) error {
	connection.bounded.Store(clock.Ahead(at))
	return connection.Conn.SetDeadline(at)
}

// Read answers where the time for a head is over: no other read of the server has
// a deadline while a request comes.
func (connection *patientConnection) Read(into []byte) (int, error) {
	count, err := connection.Conn.Read(into)
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && connection.rests() {
		// This process may have stood still while the request came: look once more.
		_ = connection.Conn.SetReadDeadline(clock.Deadline(constants.PumpPeriod))
		count, err = connection.Conn.Read(into)
	}
	if count > 0 && !connection.begin() {
		return 0, net.ErrClosed
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && connection.busy() && connection.bounded.Load() {
		_, _ = connection.Conn.Write([]byte(slowHead))
	}
	return count, err
}

// begin notes that bytes of a request came; false where the connection had been ended
// before, so that the request is not taken.
func (connection *patientConnection) begin() bool {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	connection.reading = true
	return !connection.ended
}

func (connection *patientConnection) busy() bool {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	return connection.reading && !connection.ended
}

func (connection *patientConnection) rests() bool {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	return connection.resting && connection.bounded.Load()
}

// rest notes that an answer is whole and nothing of another request has been asked for.
func (connection *patientConnection) rest(now clock.Moment) {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	connection.reading, connection.resting, connection.since = false, true, now
}

// extend gives a resting connection the time of newer limits, if that is longer.
func (connection *patientConnection) extend(idle clock.Span, now clock.Moment) {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	until := connection.since.Plus(idle)
	if connection.resting && connection.bounded.Load() && until > connection.until {
		connection.until = until
		_ = connection.Conn.SetReadDeadline(clock.Deadline(until.Since(now)))
	}
}

// endResting closes the connection unless a request has begun to come.
func (connection *patientConnection) endResting() {
	connection.lock.Lock()
	defer connection.lock.Unlock()
	if !connection.reading && !connection.ended {
		connection.ended = true
		connection.Conn.Close()
	}
}

// Close ends the connection.
func (connection *patientConnection) Close() error {
	connection.owner.forget(connection)
	return connection.Conn.Close()
}

// noteState follows a connection through its requests.
func noteState(raw net.Conn, state http.ConnState) {
	if connection, is := raw.(*patientConnection); is && state == http.StateIdle {
		connection.rest(clock.Now())
	}
}
