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

// A body comes back as it was sent, whatever its framing and length, and what it held is given back.
func TestBodiesAreReadWhole(t *testing.T) {
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
	await(t, "all bytes are given back", func() bool { return memory.Used() == 0 })
}

func checkLength(t *testing.T, c *client, length int) {
	t.Helper()

	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(length, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || string(text) != fmt.Sprint(length) {
		t.Fatalf("%d bytes were read as %q: %v", length, text, err)
	}
}

// A body over the limit is refused as it is announced, and as it comes.
func TestBodiesOverTheLimit(t *testing.T) {
	listener, memory := serve(t, 0, 1<<20)
	announced := dial(t, listener)
	announced.begin(bodyLimit+1, 0)
	if status := announced.status(); status != http.StatusRequestEntityTooLarge {
		t.Error(status)
	}
	sent := dial(t, listener)
	sent.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", bodyLimit+1, strings.Repeat("x", bodyLimit+1))
	if status := sent.status(); status != http.StatusRequestEntityTooLarge {
		t.Error(status)
	}
	await(t, "all bytes are given back", func() bool { return memory.Used() == 0 })
}

// A single request is served whatever it holds; a second large one finds no room, and an ordinary
// one does.
func TestOneLargeBodyIsServedInCalm(t *testing.T) {
	listener, memory := serve(t, 0, 64<<10)
	c := dial(t, listener)
	c.begin(200_000, 199_999)
	await(t, "the body is held", func() bool { return memory.Used() > 64<<10 })
	other := dial(t, listener)
	other.begin(150_000, 150_000)
	if status := other.status(); status != http.StatusServiceUnavailable {
		t.Error("a second large body: ", status)
	}
	small := dial(t, listener)
	small.begin(1000, 1000)
	if status := small.status(); status != http.StatusOK {
		t.Error("an ordinary body: ", status)
	}
	c.send("x")
	if status := c.status(); status != http.StatusOK {
		t.Error("the first body: ", status)
	}
}

// A body that has stopped gives way to one that comes.
func TestStoppedBodiesGiveWay(t *testing.T) {
	listener, memory := serve(t, 0, 300<<10)
	var stopped []*client
	for range 2 {
		c := dial(t, listener)
		c.begin(150_000, 149_999)
		stopped = append(stopped, c)
	}
	await(t, "both are held", func() bool { return memory.Used() > 250_000 })
	<-clock.After(constants.ClientGrace + constants.ClientRateWindow/10)
	c := dial(t, listener)
	c.begin(150_000, 150_000)
	if status := c.status(); status != http.StatusOK {
		t.Fatal("a whole body beside stopped ones: ", status)
	}
	if listener.Evicted() != 1 {
		t.Error(listener.Evicted(), "gave way")
	}
	// The one that gave way is told that nothing ran.
	statuses := make(chan int, len(stopped))
	for _, c := range stopped {
		go func() { statuses <- c.status() }()
	}
	if status := <-statuses; status != http.StatusServiceUnavailable {
		t.Error(status)
	}
}

// Silent connections are closed for new ones, the oldest first; a request under way is not.
func TestConnectionsAreBounded(t *testing.T) {
	const most = 4
	listener, _ := serve(t, most, 1<<20)
	working := dial(t, listener)
	working.begin(10, 5)
	await(t, "the request has begun", func() bool {
		list := listener.candidates(clock.Now())
		return len(list) == 1 && list[0].phase == phaseBody
	})
	for range 3 * most {
		dial(t, listener)
	}
	c := dial(t, listener)
	c.begin(3, 3)
	if status := c.status(); status != http.StatusOK {
		t.Error(status)
	}
	if open := listener.Open(); open > most {
		t.Error(open, "connections are open")
	}
	working.send("xxxxx")
	if status := working.status(); status != http.StatusOK {
		t.Error("the request under way: ", status)
	}
}

// A head of many short lines counts by what it holds.
func TestHeadsAreBounded(t *testing.T) {
	listener, memory := serve(t, 0, 128<<10)
	for range 4 {
		c := dial(t, listener)
		c.send("GET / HTTP/1.1\r\nHost: h\r\n%s", strings.Repeat("a:\r\n", 4000))
	}
	await(t, "no room", func() bool { return listener.Refused() > 0 })
	if used := memory.Used(); used > 4*4096*constants.HeaderLineBytes {
		t.Error(used, "bytes are held")
	}
	c := dial(t, listener)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status := c.status(); status != http.StatusOK {
		t.Error("an ordinary head: ", status)
	}
}

// A body that nobody reads holds neither the answer nor the connection for long.
func TestUnreadBodiesAreNotWaitedFor(t *testing.T) {
	listener, _ := serve(t, 0, 1<<20)
	c := dial(t, listener)
	c.send("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx")
	if status := c.status(); status != http.StatusOK {
		t.Error(status)
	}
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Error("the connection goes on: ", err)
	}
	await(t, "the connection is gone", func() bool { return listener.Open() == 0 })
}
