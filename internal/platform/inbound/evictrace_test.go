package inbound

import (
	"net"
	"testing"

	"lemonarch/internal/platform/clock"
)

// heldListener accepts connections whose first read returns its bytes only after proceed is closed.
type heldListener struct {
	net.Listener
	received, proceed chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	return &heldConn{Conn: raw, listener: l}, err
}

type heldConn struct {
	net.Conn
	listener *heldListener
	held     bool
}

func (c *heldConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if !c.held {
		c.held = true
		close(c.listener.received)
		<-c.listener.proceed
	}
	return count, err
}

// A connection may be evicted as idle while the bytes of a request are already read from it. That request
// must not be begun: its connection is closed, so its client could not get the response.
func TestRequestReadDuringEvictionIsNotBegun(t *testing.T) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: raw, received: make(chan struct{}), proceed: make(chan struct{})}
	s := newHeldServer(t, NewListener(held, 0, NewMemory(0)))
	c := dial(t, s.listener)
	c.send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
	<-held.received
	chosen := chooseConnection(s.listener.candidates(clock.Now()), clock.Now())
	if chosen == nil || !chosen.connection.evict(chosen) {
		t.Fatal("the connection was not evicted")
	}
	close(held.proceed)
	close(s.release)
	if status := c.status(); status != 0 {
		t.Errorf("got status %d on an evicted connection, want its end", status)
	}
	<-s.closed
	if len(s.began) > 0 {
		t.Errorf("%s was begun on an evicted connection", <-s.began)
	}
}
