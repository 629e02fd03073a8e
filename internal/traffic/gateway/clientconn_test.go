package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
)

// Slow, oversized and malformed requests must get their status, and only the valid request must reach the
// handler.
func TestStatusOfSlowLargeAndMalformedRequests(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	forwarded := 0
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { forwarded++ }),
		ReadHeaderTimeout: clock.Milliseconds(9000), IdleTimeout: clock.Milliseconds(9000), MaxHeaderBytes: 4096, ConnState: trackState}
	go func() {
		_ = server.Serve(newClientConns(listener, routeconfig.Limits{HeaderWaitMs: 150, IdleMs: 5000}))
	}()
	defer server.Close()
	for text, want := range map[string]string{
		"POST /x HTTP/1.1\r\nHost: h": "408",
		"GET /x HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n": "431",
		"this is no request\r\n\r\n":         "400",
		"GET /x HTTP/1.1\r\n\r\n":            "400",
		"GET /x HTTP/1.1\r\nHost: h\r\n\r\n": "200",
	} {
		connection, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(connection, text)
		_ = connection.SetReadDeadline(clock.Deadline(5_000_000_000))
		line, err := bufio.NewReader(connection).ReadString('\n')
		if err != nil || !strings.Contains(line, want) {
			t.Errorf("%.30q: %q %v, want %s", text, line, err, want)
		}
		connection.Close()
	}
	if forwarded != 1 {
		t.Errorf("handler received %d requests, want 1", forwarded)
	}
}

// The server aborts reads of its own by a deadline in the past. Nothing may be written to the connection
// then, since it would corrupt the next response.
func TestReusedConnectionsGetTheirResponsesOnly(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.(http.Flusher).Flush()
		_, _ = io.WriteString(writer, request.URL.Path)
	}), ReadHeaderTimeout: clock.Milliseconds(3000), IdleTimeout: clock.Milliseconds(3000), ConnState: trackState}
	go func() {
		_ = server.Serve(newClientConns(listener, routeconfig.Limits{HeaderWaitMs: 3000, IdleMs: 3000}))
	}()
	defer server.Close()
	connection, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for _, path := range []string{"/a", "/b", "/c", "/d"} {
		_, _ = io.WriteString(connection, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx")
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: read response: %v", path, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != 200 || string(body) != path {
			t.Fatalf("%s: got status %d, body %q, error %v, want 200 and the path as body", path, resp.StatusCode, string(body), err)
		}
	}
	if reader.Buffered() > 0 {
		t.Fatalf("got %d bytes after the last response, want none", reader.Buffered())
	}
}
