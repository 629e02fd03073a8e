package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
)

// bodyLimit is the maximum body length that the test handler accepts.
const bodyLimit = 256 << 10

// serve starts a server whose handler reads the body and responds with its length, or with the status
// for the error. For paths that start with /unread the handler doesn't read the body.
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
		case errs.Is(err, ErrMemoryLimit):
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

// client is a raw client connection.
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

// send writes to the connection and ignores errors, since the server may have closed it.
func (c *client) send(format string, args ...any) { fmt.Fprintf(c.Conn, format, args...) }

// status reads one response and returns its status code, or 0 if the connection ended without one.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// sendPartialBody sends a request whose Content-Length is announced, with sent bytes of body.
func (c *client) sendPartialBody(announced, sent int) {
	c.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", announced, strings.Repeat("x", sent))
}

// waitFor waits until a condition is true and fails the test after 10 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()

	for range 2000 {
		if condition() {
			return
		}
		<-clock.After(clock.Milliseconds(5))
	}
	t.Fatal("timed out waiting for: " + what)
}
