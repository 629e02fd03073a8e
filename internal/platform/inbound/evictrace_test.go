package inbound

import (
	"net"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/fixture"
)

// A connection may be evicted as idle while the bytes of a request are already read from it. That request
// must not be begun: its connection is closed, so its client could not get the response.
func TestRequestReadDuringEvictionIsNotBegun(t *testing.T) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := fixture.NewHeldListener(raw, "/late")
	s := newHeldServer(t, NewListener(held, 0, NewMemory(0)))
	c := dial(t, s.listener)
	c.send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
	<-held.Received
	chosen := chooseConnection(s.listener.candidates(clock.Now()), clock.Now())
	if chosen == nil || !chosen.connection.evict(chosen) {
		t.Fatal("the connection was not evicted")
	}
	close(held.Proceed)
	close(s.release)
	if status := c.status(); status != 0 {
		t.Errorf("got status %d on an evicted connection, want its end", status)
	}
	<-s.closed
	if len(s.began) > 0 {
		t.Errorf("%s was begun on an evicted connection", <-s.began)
	}
}
