package faultrelay

import (
	"net"
	"testing"

	"lemonarch/internal/platform/clock"
)

// A relay ends whether a caller came before, while or after it does.
func TestEndMeetsACallerThatIsJustComing(t *testing.T) {
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	const rounds, patience = 300, 60_000
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
			// Answers the end of what it reads by its own, as servers do.
			connection, err := server.Accept()
			if err == nil {
				_, _ = connection.Read(make([]byte, 1))
				connection.Close()
			}
			served <- connection
		}()
		ended := make(chan struct{})
		go func() {
			relay.End()
			close(ended)
		}()
		select {
		case <-ended:
		case <-clock.After(clock.Milliseconds(patience)):
			t.Fatal("does not end, round ", round)
		}
		caller.Close()
		// A caller that the relay never took is not served: this one ends the wait.
		if last, err := net.Dial("tcp4", server.Addr().String()); err == nil {
			last.Close()
		}
		<-served
	}
}
