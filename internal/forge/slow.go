package forge

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"

	"lemonarch/internal/watch"
)

// slowHead answers a client that takes too long over its head. The server itself
// ends such a connection without a word.
const slowHead = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// patient gives the ingress's connections that answer.
type patient struct{ net.Listener }

type patientPipe struct {
	net.Conn
	// reading is set while a request has begun to come; bounded while a deadline
	// that lies ahead is set. The server also sets deadlines that are long past, to
	// call off a read of its own: that is no slow client.
	reading, bounded atomic.Bool
}

// SetReadDeadline passes a deadline on and notes what it is for.
func (pipe *patientPipe) SetReadDeadline(at watch.Time) error {
	pipe.bounded.Store(watch.Ahead(at))
	return pipe.Conn.SetReadDeadline(at)
}

// SetDeadline does the same.
func (pipe *patientPipe) SetDeadline(at watch.Time) error {
	pipe.bounded.Store(watch.Ahead(at))
	return pipe.Conn.SetDeadline(at)
}

func (one patient) Accept() (net.Conn, error) {
	connection, failure := one.Listener.Accept()
	if failure != nil {
		return nil, failure
	}
	return &patientPipe{Conn: connection}, nil
}

// Read answers where the time for a head is over: no other read of the server has
// a deadline while a request comes.
func (pipe *patientPipe) Read(into []byte) (int, error) {
	count, failure := pipe.Conn.Read(into)
	if count > 0 {
		pipe.reading.Store(true)
	}
	if failure != nil && errors.Is(failure, os.ErrDeadlineExceeded) && pipe.reading.Load() && pipe.bounded.Load() {
		_, _ = pipe.Conn.Write([]byte(slowHead))
	}
	return count, failure
}

// noteState follows a connection through its requests.
func noteState(connection net.Conn, state http.ConnState) {
	if pipe, is := connection.(*patientPipe); is && state == http.StateIdle {
		pipe.reading.Store(false)
	}
}
