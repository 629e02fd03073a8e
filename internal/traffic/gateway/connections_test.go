package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// scripted is a client's connection whose reads are given, and whose deadline is seen.
type scriptedConn struct {
	net.Conn
	reads    []func(into []byte) (int, error)
	deadline time.Time
	closed   bool
}

func (s *scriptedConn) Read(into []byte) (int, error) {
	read := s.reads[0]
	s.reads = s.reads[1:]
	return read(into)
}

func (s *scriptedConn) SetReadDeadline(at time.Time) error {
	s.deadline = at
	return nil
}

func (s *scriptedConn) Close() error {
	s.closed = true
	return nil
}

func bytesArrive(into []byte) (int, error) { return copy(into, "GET "), nil }
func deadlineExceeded([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// idleConnection gives a connection on which a response has just ended.
func idleConnection(owner *clientConns, reads ...func([]byte) (int, error)) (*clientConn, *scriptedConn) {
	raw := &scriptedConn{reads: reads}
	connection := &clientConn{Conn: raw, owner: owner}
	owner.open[connection] = struct{}{}
	trackState(connection, http.StateIdle)
	_ = connection.SetReadDeadline(clock.Deadline(clock.Milliseconds(1)))
	return connection, raw
}

// given is how long a connection may still rest, in seconds.
func secondsLeft(raw *scriptedConn) float64 { return time.Until(raw.deadline).Seconds() }

// A client rests by the idle time of the configuration that it knows: the one in force,
// or the one before. Resting connections get more time, and never less.
func TestIdleTimeFollowsTheConfiguration(t *testing.T) {
	owner := newClientConns(nil, routeconfig.Limits{IdleMs: 5_000, HeaderWaitMs: 3_000})
	_, first := idleConnection(owner)
	if left := secondsLeft(first); left < 4 || left > 5.1 {
		t.Error("by the first configuration: ", left)
	}
	owner.setLimits(routeconfig.Limits{IdleMs: 15_000})
	if left := secondsLeft(first); left < 14 || left > 15.1 {
		t.Error("a resting one after a longer time was set: ", left)
	}
	owner.setLimits(routeconfig.Limits{IdleMs: 2_000})
	_, second := idleConnection(owner)
	if secondsLeft(first) < 14 || secondsLeft(second) < 14 {
		t.Error("clients may still go by the longer time: ", secondsLeft(first), secondsLeft(second))
	}
	owner.setLimits(routeconfig.Limits{IdleMs: 2_000})
	_, third := idleConnection(owner)
	if left := secondsLeft(third); left > 2.1 || secondsLeft(first) < 14 {
		t.Error("by the last configuration: ", left, secondsLeft(first))
	}
}

// A process that stood still past the idle time looks once more before it gives up: the
// request may lie there.
func TestRequestThatArrivedDuringAFreeze(t *testing.T) {
	owner := newClientConns(nil, routeconfig.Limits{IdleMs: 5_000})
	connection, _ := idleConnection(owner, deadlineExceeded, bytesArrive)
	if count, err := connection.Read(make([]byte, 4)); count != 4 || err != nil {
		t.Fatal(count, err)
	}
	connection, _ = idleConnection(owner, deadlineExceeded, deadlineExceeded)
	if count, err := connection.Read(make([]byte, 4)); count != 0 || err == nil {
		t.Fatal(count, err)
	}
}

// At the end of a leaving process a request is either taken, and then not cut, or never
// seen, so that the client may send it elsewhere.
func TestShutdownCutsNoRequest(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	owner := newClientConns(listener, routeconfig.Limits{IdleMs: 5_000})
	late, lateRaw := idleConnection(owner, func(into []byte) (int, error) {
		// Ended just as the bytes came.
		owner.closeIdle()
		return bytesArrive(into)
	})
	taken, takenRaw := idleConnection(owner, bytesArrive)
	if _, err := taken.Read(make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	if count, err := late.Read(make([]byte, 4)); count != 0 || !errors.Is(err, net.ErrClosed) || !lateRaw.closed {
		t.Error("a request was taken from a connection that had ended", count, err)
	}
	if owner.closeIdle() || takenRaw.closed {
		t.Error("a request that was taken is cut")
	}
	trackState(taken, http.StateIdle)
	if !owner.closeIdle() || !takenRaw.closed {
		t.Error("a connection that rests keeps the process")
	}
}

// Requests that are sent at once on one connection are answered in their order; behind
// one that is broken off, none is begun.
func TestRequestsSentAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := make(chan string, 4)
	handler := func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		started <- request.URL.Path
		if request.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
		_, _ = writer.Write(body)
	}
	owner := newClientConns(listener, routeconfig.Limits{IdleMs: 60_000, HeaderWaitMs: 60_000})
	server := &http.Server{Handler: http.HandlerFunc(handler), IdleTimeout: clock.Milliseconds(60_000),
		ReadHeaderTimeout: clock.Milliseconds(60_000), ConnState: trackState}
	go func() { _ = server.Serve(owner) }()
	defer server.Close()
	connection, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	for _, path := range []string{"/one", "/two", "/broken", "/never"} {
		fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(path), path)
	}
	reader := bufio.NewReader(connection)
	for _, path := range []string{"/one", "/two"} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(path, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != path {
			t.Fatalf("%s was answered %q %v", path, body, err)
		}
	}
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Fatalf("behind a broken request: %q", rest)
	}
	if order := <-started + <-started + <-started; order != "/one/two/broken" || len(started) > 0 {
		t.Fatal(order, len(started))
	}
}

// headLimits notes the limits of heads that it is given.
type headLimits struct {
	net.Listener
	given []int
}

func (h *headLimits) SetHeadLimit(limit int) { h.given = append(h.given, limit) }

// Heads are bounded by the newest configuration, or the one before where that allows more.
func TestHeadsFollowTheConfiguration(t *testing.T) {
	listener := &headLimits{}
	owner := newClientConns(listener, routeconfig.Limits{HeaderBytes: 16_000})
	for _, bytes := range []int{100_000, 8_000, 8_000, 0} {
		owner.setLimits(routeconfig.Limits{HeaderBytes: bytes})
	}
	if got := fmt.Sprint(listener.given); got != fmt.Sprint([]int{16_000, 100_000, 100_000, 8_000, constants.HeadLimit}) {
		t.Error(got)
	}
}
