package gateway

import (
	"bufio"
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

// scriptedConn is a client connection that runs a list of read functions and records its read deadline.
type scriptedConn struct {
	net.Conn
	reads    []func(buffer []byte) (int, error)
	deadline time.Time
	closed   bool
}

func (s *scriptedConn) Read(buffer []byte) (int, error) {
	read := s.reads[0]
	s.reads = s.reads[1:]
	return read(buffer)
}

func (s *scriptedConn) SetReadDeadline(at time.Time) error {
	s.deadline = at
	return nil
}

func (s *scriptedConn) Close() error {
	s.closed = true
	return nil
}

func bytesArrive(buffer []byte) (int, error) { return copy(buffer, "GET "), nil }
func deadlineExceeded([]byte) (int, error)   { return 0, os.ErrDeadlineExceeded }

// idleConnection returns a connection on which a response has just ended.
func idleConnection(owner *clientConns, reads ...func([]byte) (int, error)) (*clientConn, *scriptedConn) {
	raw := &scriptedConn{reads: reads}
	connection := &clientConn{Conn: raw, owner: owner}
	owner.open[connection] = struct{}{}
	trackState(connection, http.StateIdle)
	_ = connection.SetReadDeadline(clock.Deadline(clock.Milliseconds(1)))
	return connection, raw
}

// secondsLeft returns how long a connection may still be idle, in seconds.
func secondsLeft(raw *scriptedConn) float64 { return time.Until(raw.deadline).Seconds() }

// Clients use the idle timeout of the current or the previous configuration, so the longer one must be
// applied. An idle connection may get more time, but never less.
func TestIdleTimeoutOfCurrentOrPreviousConfiguration(t *testing.T) {
	owner := newClientConns(nil, routeconfig.Limits{IdleMs: 5_000, HeaderWaitMs: 3_000})
	_, first := idleConnection(owner)
	if left := secondsLeft(first); left < 4 || left > 5.1 {
		t.Errorf("%.1f s left under the first configuration, want 5", left)
	}
	owner.setLimits(routeconfig.Limits{IdleMs: 15_000})
	if left := secondsLeft(first); left < 14 || left > 15.1 {
		t.Errorf("%.1f s left of an idle connection after a longer timeout was set, want 15", left)
	}
	owner.setLimits(routeconfig.Limits{IdleMs: 2_000})
	_, second := idleConnection(owner)
	if secondsLeft(first) < 14 || secondsLeft(second) < 14 {
		t.Errorf("%.1f and %.1f s left while clients may still use the longer timeout, want 15", secondsLeft(first), secondsLeft(second))
	}
	owner.setLimits(routeconfig.Limits{IdleMs: 2_000})
	_, third := idleConnection(owner)
	if left := secondsLeft(third); left > 2.1 || secondsLeft(first) < 14 {
		t.Errorf("%.1f s left under the last configuration, want 2; %.1f s left of an earlier one, want 15", left, secondsLeft(first))
	}
}

// A process that was suspended past the idle timeout must read once more before it closes the
// connection, since a request may have arrived.
func TestRequestThatArrivedWhileSuspendedIsRead(t *testing.T) {
	owner := newClientConns(nil, routeconfig.Limits{IdleMs: 5_000})
	connection, _ := idleConnection(owner, deadlineExceeded, bytesArrive)
	if count, err := connection.Read(make([]byte, 4)); count != 4 || err != nil {
		t.Fatalf("read %d bytes, error %v, want the 4 that arrived while suspended", count, err)
	}
	connection, _ = idleConnection(owner, deadlineExceeded, deadlineExceeded)
	if count, err := connection.Read(make([]byte, 4)); count != 0 || err == nil {
		t.Fatalf("read %d bytes, error %v, want a timeout on a connection without bytes", count, err)
	}
}

// Pipelined requests must get their responses in order. After one whose response is aborted, no later
// request on the connection may be handled.
func TestPipelinedRequestsGetResponsesInOrder(t *testing.T) {
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
			t.Fatalf("%s: read response: %v", path, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != path {
			t.Fatalf("%s got body %q, error %v, want the path as body", path, body, err)
		}
	}
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Fatalf("got bytes after an aborted response: %q", rest)
	}
	if order := <-started + <-started + <-started; order != "/one/two/broken" || len(started) > 0 {
		t.Fatalf("handled %s and %d more, want /one/two/broken and none", order, len(started))
	}
}

// headLimitListener is a listener that records the head limits set on it, in bytes.
type headLimitListener struct {
	net.Listener
	limits []int
}

func (h *headLimitListener) SetHeadLimit(limit int) { h.limits = append(h.limits, limit) }

// The head limit must be the larger of those of the current and the previous configuration.
func TestHeadLimitOfCurrentOrPreviousConfiguration(t *testing.T) {
	listener := &headLimitListener{}
	owner := newClientConns(listener, routeconfig.Limits{HeaderBytes: 16_000})
	for _, bytes := range []int{100_000, 8_000, 8_000, 0} {
		owner.setLimits(routeconfig.Limits{HeaderBytes: bytes})
	}
	if got := fmt.Sprint(listener.limits); got != fmt.Sprint([]int{16_000, 100_000, 100_000, 8_000, constants.HeadLimit}) {
		t.Errorf("head limits %s were set, want 16000, 100000, 100000, 8000, then the default", got)
	}
}
