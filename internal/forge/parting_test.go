package forge

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/watch"
)

// A real client that sends far more than it may is told so, and is not cut off: by
// 431 for its head, by 413 for its body.
func TestTooLargeIsAnsweredNotReset(test *testing.T) {
	listener, failure := net.Listen("tcp4", "127.0.0.1:0")
	if failure != nil {
		test.Fatal(failure)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, failure := io.ReadAll(http.MaxBytesReader(writer, request.Body, 1000)); failure != nil {
			writer.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}), MaxHeaderBytes: 4096, ReadHeaderTimeout: watch.Milliseconds(3000), ConnState: noteState}
	go func() { _ = server.Serve(patient{listener}) }()
	defer server.Close()
	address := "http://" + listener.Addr().String() + "/"
	for round := 0; round < 10; round++ {
		large, _ := http.NewRequest("GET", address, nil)
		large.Header.Set("X-Long", strings.Repeat("x", 600_000))
		body, _ := http.NewRequest("POST", address, bytes.NewReader(make([]byte, 900_000)))
		for want, request := range map[int]*http.Request{431: large, 413: body} {
			// Each on a connection of its own.
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			answer, failure := client.Do(request)
			if failure != nil {
				test.Fatal(want, failure)
			}
			if _, failure = io.ReadAll(answer.Body); failure != nil || answer.StatusCode != want {
				test.Fatal(want, answer.StatusCode, failure)
			}
			answer.Body.Close()
		}
	}
}

// narrow gives connections that hold little unread, as links with small windows do.
type narrow struct{ net.Listener }

func (one narrow) Accept() (net.Conn, error) {
	connection, failure := one.Listener.Accept()
	if failure == nil {
		_ = connection.(*net.TCPConn).SetReadBuffer(32 << 10)
	}
	return connection, failure
}

// The whole of what was said is read, also by one that reads only after it has
// sent everything.
func TestLateReaderGetsItsAnswer(test *testing.T) {
	listener, failure := net.Listen("tcp4", "127.0.0.1:0")
	if failure != nil {
		test.Fatal(failure)
	}
	server := &http.Server{Handler: http.NotFoundHandler(), MaxHeaderBytes: 4096, ReadHeaderTimeout: watch.Milliseconds(3000), ConnState: noteState}
	go func() { _ = server.Serve(patient{narrow{listener}}) }()
	defer server.Close()
	connection, failure := net.Dial("tcp4", listener.Addr().String())
	if failure != nil {
		test.Fatal(failure)
	}
	defer connection.Close()
	_ = connection.(*net.TCPConn).SetWriteBuffer(16 << 10)
	if _, failure = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 400_000)+"\r\n\r\n"); failure != nil {
		test.Fatal("cut off while sending: ", failure)
	}
	_ = connection.SetReadDeadline(watch.Deadline(5_000_000_000))
	whole, failure := io.ReadAll(connection)
	if failure != nil || !strings.HasPrefix(string(whole), "HTTP/1.1 431") {
		test.Fatalf("%.40q %v", whole, failure)
	}
}
