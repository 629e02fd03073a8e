package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
)

// A real client that sends far more than the limit must get a response, 431 for its head or 413 for its
// body, instead of a connection reset: closing a connection with unread bytes resets it, and the client may
// then lose the response.
func TestTooLargeRequestGetsAResponseNotAReset(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, 1000)); err != nil {
			writer.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}), MaxHeaderBytes: 4096, ReadHeaderTimeout: clock.Milliseconds(3000), ConnState: trackState}
	go func() { _ = server.Serve(newClientConns(listener, routeconfig.Limits{})) }()
	defer server.Close()
	address := "http://" + listener.Addr().String() + "/"
	for round := 0; round < 10; round++ {
		large, _ := http.NewRequest("GET", address, nil)
		large.Header.Set("X-Long", strings.Repeat("x", 600_000))
		body, _ := http.NewRequest("POST", address, bytes.NewReader(make([]byte, 900_000)))
		for want, request := range map[int]*http.Request{431: large, 413: body} {
			// Each request uses a new connection.
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Do(request)
			if err != nil {
				t.Fatalf("request failed: %v, want status %d", err, want)
			}
			if _, err = io.ReadAll(resp.Body); err != nil || resp.StatusCode != want {
				t.Fatalf("got status %d and body error %v, want %d and none", resp.StatusCode, err, want)
			}
			resp.Body.Close()
		}
	}
}

// smallBufferListener accepts connections with a small receive buffer, like links with small windows.
type smallBufferListener struct{ net.Listener }

func (n smallBufferListener) Accept() (net.Conn, error) {
	connection, err := n.Listener.Accept()
	if err == nil {
		_ = connection.(*net.TCPConn).SetReadBuffer(32 << 10)
	}
	return connection, err
}

// A client that starts to read only after it has sent everything must still receive the complete
// response.
func TestLateReaderGetsItsResponse(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler(), MaxHeaderBytes: 4096, ReadHeaderTimeout: clock.Milliseconds(3000), ConnState: trackState}
	go func() { _ = server.Serve(newClientConns(smallBufferListener{listener}, routeconfig.Limits{})) }()
	defer server.Close()
	connection, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.(*net.TCPConn).SetWriteBuffer(16 << 10)
	if _, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 400_000)+"\r\n\r\n"); err != nil {
		t.Fatal("connection failed while sending: ", err)
	}
	_ = connection.SetReadDeadline(clock.Deadline(5_000_000_000))
	complete, err := io.ReadAll(connection)
	if err != nil || !strings.HasPrefix(string(complete), "HTTP/1.1 431") {
		t.Fatalf("got response %.40q and error %v, want 431 and none", complete, err)
	}
}
