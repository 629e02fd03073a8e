package inbound

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/settings"
)

// bodyLimit is the longest body that the test's handler takes.
const bodyLimit = 256 << 10

// serve starts a server whose handler reads the body and says how many bytes it had, or why it had
// none. Paths below /unread don't read it.
func serve(t *testing.T, connections int, memory int64) (*Listener, *Memory) {
	t.Helper()

	budget := NewMemory(memory)
	listener, err := Listen("127.0.0.1:0", connections, budget)
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/unread") {
			return
		}
		body, err := Body{Limit: bodyLimit, Copies: 1, Timeout: constants.ControlBodyTimeout}.Read(writer, request)
		switch {
		case err == nil:
			fmt.Fprint(writer, len(body))
		case errs.Is(err, ErrNoRoom):
			writer.WriteHeader(http.StatusServiceUnavailable)
		case errs.Is(err, ErrTooLarge):
			writer.WriteHeader(http.StatusRequestEntityTooLarge)
		default:
			writer.WriteHeader(http.StatusBadRequest)
		}
	}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener, budget
}

// client is one raw connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, listener *Listener) *client {
	t.Helper()

	raw, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close() })
	return &client{Conn: raw, reader: bufio.NewReader(raw)}
}

// send writes what it can: the other side may have closed.
func (c *client) send(format string, args ...any) { fmt.Fprintf(c.Conn, format, args...) }

// status reads one answer; 0 where the connection ended without one.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// begin sends a part of a body that is announced as longer.
func (c *client) begin(announced, sent int) {
	c.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", announced, strings.Repeat("x", sent))
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()

	for range 2000 {
		if holds() {
			return
		}
		<-clock.After(clock.Milliseconds(5))
	}
	t.Fatal("never: " + what)
}

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
	await(t, "the request has begun", func() bool { return listener.Open() == 1 })
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

func TestChoices(t *testing.T) {
	second := clock.Instant(clock.Milliseconds(1000))
	now := 100 * second
	connections := make([]Conn, 8)
	list := []candidate{
		{connection: &connections[0], phase: phaseServing, since: 1, charged: 900},
		{connection: &connections[1], phase: phaseBody, since: now - 5*second, recent: 500, charged: 50},
		{connection: &connections[2], phase: phaseHead, since: now - 3*second, recent: 20, charged: 10},
		{connection: &connections[3], phase: phaseBody, since: now, recent: 0, charged: 800},
		{connection: &connections[4], phase: phaseServing, since: 1, writingSince: now - 4*second},
		{connection: &connections[5], phase: phaseServing, since: 1, writingSince: now},
		{connection: &connections[6], phase: phaseIdle, since: now - 2*second},
		{connection: &connections[7], phase: phaseIdle, since: now - 1*second},
	}
	holders, closed := []int{}, []int{}
	remaining := append([]candidate{}, list...)
	for chosen := chooseHolder(remaining, 100, now); chosen != nil; chosen = chooseHolder(remaining, 100, now) {
		holders = append(holders, indexOf(connections, chosen.connection))
		chosen.charged = 0
	}
	remaining = append([]candidate{}, list...)
	for chosen := chooseConnection(remaining, now); chosen != nil; chosen = chooseConnection(remaining, now) {
		closed = append(closed, indexOf(connections, chosen.connection))
		*chosen = candidate{phase: phaseServing}
	}
	if fmt.Sprint(holders) != "[2 1 3]" {
		t.Error("memory is given back by", holders)
	}
	if fmt.Sprint(closed) != "[6 7 2 1 4]" {
		t.Error("connections are closed in the order", closed)
	}
	if chooseHolder(list[3:4], 500, now) != nil {
		t.Error("a request gives way to one that holds nearly as much")
	}
}

func indexOf(connections []Conn, wanted *Conn) int {
	for i := range connections {
		if &connections[i] == wanted {
			return i
		}
	}
	return -1
}

func TestRateForgets(t *testing.T) {
	window := clock.Instant(constants.ClientRateWindow)
	r := rate{}
	r.add(100, window)
	r.add(50, window+window/2)
	if got := r.recent(2*window + 1); got != 150 {
		t.Error(got)
	}
	if got := r.recent(5 * window); got != 0 {
		t.Error(got)
	}
}

func TestLimitsFollowTheMachine(t *testing.T) {
	small := LimitsOf(settings.Limits{MemoryMB: 96, FileHandles: 600})
	large := LimitsOf(settings.Limits{MemoryMB: 284, FileHandles: 4100})
	if small.Connections > 200 || small.Connections < 100 || large.Connections < 500 || large.Connections > 1950 || small.Memory >= large.Memory {
		t.Error(small, large)
	}
	if none := LimitsOf(settings.Limits{MemoryMB: 17}); none.Connections < constants.ClientConnectionsMin {
		t.Error(none)
	}
}
