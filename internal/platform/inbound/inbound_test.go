package inbound

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// TestBodiesAreReadCompletely checks that bodies of any length and framing are read completely and that
// their memory is released.
func TestBodiesAreReadCompletely(t *testing.T) {
	listener, memory := serve(t, 0, 1<<20)
	c := dial(t, listener)
	for _, length := range []int{0, 1, 600, 16<<10 - 1, 16 << 10, 16<<10 + 1, 100_000, bodyLimit} {
		body := strings.Repeat("y", length)
		c.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
		checkLength(t, c, length)
		c.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		if length > 0 {
			c.send("%x\r\n%s\r\n", length, body)
		}
		c.send("0\r\n\r\n")
		checkLength(t, c, length)
	}
	waitFor(t, "all bytes are released", func() bool { return memory.Used() == 0 })
}

func checkLength(t *testing.T, c *client, length int) {
	t.Helper()

	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("body of %d bytes: read response: %v", length, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || string(text) != fmt.Sprint(length) {
		t.Fatalf("body of %d bytes: got response %q, err %v, want the number of bytes", length, text, err)
	}
}

// TestBodiesOverTheLimitAreRejected checks that a body above the limit is rejected by its Content-Length,
// and by the bytes received if it is chunked.
func TestBodiesOverTheLimitAreRejected(t *testing.T) {
	listener, memory := serve(t, 0, 1<<20)
	announced := dial(t, listener)
	announced.sendPartialBody(bodyLimit+1, 0)
	if status := announced.status(); status != http.StatusRequestEntityTooLarge {
		t.Errorf("content length above the limit: got status %d, want 413", status)
	}
	sent := dial(t, listener)
	sent.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", bodyLimit+1, strings.Repeat("x", bodyLimit+1))
	if status := sent.status(); status != http.StatusRequestEntityTooLarge {
		t.Errorf("chunked body above the limit: got status %d, want 413", status)
	}
	waitFor(t, "all bytes are released", func() bool { return memory.Used() == 0 })
}

// TestSingleLargeBodyIsServed checks that a single request is served even if its body exceeds the
// memory limit. A second large one is then rejected, while one of ordinary size is served.
func TestSingleLargeBodyIsServed(t *testing.T) {
	listener, memory := serve(t, 0, 64<<10)
	c := dial(t, listener)
	c.sendPartialBody(200_000, 199_999)
	waitFor(t, "the body is charged", func() bool { return memory.Used() > 64<<10 })
	other := dial(t, listener)
	other.sendPartialBody(150_000, 150_000)
	if status := other.status(); status != http.StatusServiceUnavailable {
		t.Errorf("second large body: got status %d, want 503", status)
	}
	small := dial(t, listener)
	small.sendPartialBody(1000, 1000)
	if status := small.status(); status != http.StatusOK {
		t.Errorf("ordinary body: got status %d, want 200", status)
	}
	c.send("x")
	if status := c.status(); status != http.StatusOK {
		t.Errorf("first body: got status %d, want 200", status)
	}
}

// TestStalledBodiesAreEvicted checks that a request whose body has stopped arriving is evicted for one
// that arrives, and that its client receives 503.
func TestStalledBodiesAreEvicted(t *testing.T) {
	listener, memory := serve(t, 0, 300<<10)
	var stalled []*client
	for range 2 {
		c := dial(t, listener)
		c.sendPartialBody(150_000, 149_999)
		stalled = append(stalled, c)
	}
	waitFor(t, "both bodies are charged", func() bool { return memory.Used() > 250_000 })
	<-clock.After(constants.ClientGrace + constants.ClientRateWindow/10)
	c := dial(t, listener)
	c.sendPartialBody(150_000, 150_000)
	if status := c.status(); status != http.StatusOK {
		t.Fatalf("complete body while others are stalled: got status %d, want 200", status)
	}
	if listener.Evicted() != 1 {
		t.Error(listener.Evicted(), "connections were evicted, want 1")
	}
	// The client of the evicted request is informed that it was not executed.
	statuses := make(chan int, len(stalled))
	for _, c := range stalled {
		go func() { statuses <- c.status() }()
	}
	if status := <-statuses; status != http.StatusServiceUnavailable {
		t.Errorf("evicted request: got status %d, want 503", status)
	}
}

// TestConnectionsAreBounded checks that idle connections are closed for new ones at the limit, and that a
// request in progress is not interrupted. TestEvictionOrder checks in which order they are closed.
func TestConnectionsAreBounded(t *testing.T) {
	const limit = 4
	listener, _ := serve(t, limit, 1<<20)
	working := dial(t, listener)
	working.sendPartialBody(10, 5)
	waitFor(t, "the handler reads the body", func() bool {
		list := listener.candidates(clock.Now())
		return len(list) == 1 && list[0].phase == phaseBody
	})
	for range 3 * limit {
		dial(t, listener)
	}
	c := dial(t, listener)
	c.sendPartialBody(3, 3)
	if status := c.status(); status != http.StatusOK {
		t.Errorf("request on a new connection at the limit: got status %d, want 200", status)
	}
	if open := listener.Open(); open > limit {
		t.Errorf("%d connections are open, want at most %d", open, limit)
	}
	working.send("xxxxx")
	if status := working.status(); status != http.StatusOK {
		t.Errorf("request in progress: got status %d, want 200", status)
	}
}

// TestHeadsAreBounded sends heads of many short lines, whose parsed form is much larger than their
// bytes, and checks that they are charged by the size of the parsed form.
func TestHeadsAreBounded(t *testing.T) {
	listener, memory := serve(t, 0, 128<<10)
	for range 4 {
		c := dial(t, listener)
		c.send("GET / HTTP/1.1\r\nHost: h\r\n%s", strings.Repeat("a:\r\n", 4000))
	}
	waitFor(t, "a head is rejected", func() bool { return listener.Rejected() > 0 })
	if used := memory.Used(); used > 4*4096*constants.HeaderLineBytes {
		t.Errorf("%d bytes are charged, want at most %d", used, 4*4096*constants.HeaderLineBytes)
	}
	c := dial(t, listener)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status := c.status(); status != http.StatusOK {
		t.Errorf("ordinary head: got status %d, want 200", status)
	}
}

// TestUnreadBodiesAreNotWaitedFor checks that an incomplete body which the handler does not read delays
// neither the response nor the close of the connection for long.
func TestUnreadBodiesAreNotWaitedFor(t *testing.T) {
	listener, _ := serve(t, 0, 1<<20)
	c := dial(t, listener)
	c.send("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx")
	if status := c.status(); status != http.StatusOK {
		t.Errorf("request with an unread body: got status %d, want 200", status)
	}
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after the response: got err %v, want EOF", err)
	}
	waitFor(t, "the connection is closed", func() bool { return listener.Open() == 0 })
}
