package faultrelay

import (
	"net"
	"testing"

	"lemonarch/internal/platform/clock"
)

// TestCloseWhileACallerConnects checks that Close returns no matter whether a caller connects before,
// during or after it. If a connection accepted during Close is left open, Close waits for it for ever.
func TestCloseWhileACallerConnects(t *testing.T) {
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	const rounds, timeoutMs = 300, 60_000
	for round := range rounds {
		relay, err := New(server.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		caller, err := net.Dial("tcp4", relay.Address())
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan net.Conn, 1)
		go func() {
			// The server closes the connection once the caller has closed it, as servers do.
			connection, err := server.Accept()
			if err == nil {
				_, _ = connection.Read(make([]byte, 1))
				connection.Close()
			}
			served <- connection
		}()
		ended := make(chan struct{})
		go func() {
			relay.Close()
			close(ended)
		}()
		select {
		case <-ended:
		case <-clock.After(clock.Milliseconds(timeoutMs)):
			t.Fatalf("round %d: Close did not return within %d ms", round, timeoutMs)
		}
		caller.Close()
		// If the relay never accepted the caller, the server has accepted no connection yet: this
		// connection ends its wait.
		if last, err := net.Dial("tcp4", server.Addr().String()); err == nil {
			last.Close()
		}
		<-served
	}
}
