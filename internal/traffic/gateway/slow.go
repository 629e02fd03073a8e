package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"

	"lemonarch/internal/platform/clock"
)

// slowHead answers a client that takes too long over its head. The server itself
// ends such a connection without a word.
const slowHead = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// patient gives the ingress's connections that answer.
type patient struct{ net.Listener }

type patientConnection struct {
	net.Conn
	// reading is set while a request has begun to come; bounded while a deadline
	// that lies ahead is set. The server also sets deadlines that are long past, to
	// call off a read of its own: that is no slow client.
	reading, bounded atomic.Bool
}

// SetReadDeadline passes a deadline on and notes what it is for.
func (connection *patientConnection) SetReadDeadline(at clock.Time) error {
	connection.bounded.Store(clock.Ahead(at))
	return connection.Conn.SetReadDeadline(at)
}

// SetDeadline does the same.
func (connection *patientConnection) SetDeadline(at clock.Time) error {
	connection.bounded.Store(clock.Ahead(at))
	return connection.Conn.SetDeadline(at)
}

func (one patient) Accept() (net.Conn, error) {
	connection, err := one.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &patientConnection{Conn: connection}, nil
}

// Read answers where the time for a head is over: no other read of the server has
// a deadline while a request comes.
func (connection *patientConnection) Read(into []byte) (int, error) {
	count, err := connection.Conn.Read(into)
	if count > 0 {
		connection.reading.Store(true)
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && connection.reading.Load() && connection.bounded.Load() {
		_, _ = connection.Conn.Write([]byte(slowHead))
	}
	return count, err
}

// noteState follows a connection through its requests.
func noteState(raw net.Conn, state http.ConnState) {
	if connection, is := raw.(*patientConnection); is && state == http.StateIdle {
		connection.reading.Store(false)
	}
}
