package controller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/inbound"
	"lemonarch/internal/tooling/fixture"
)

// A call that was read on a kept connection at the moment of the shutdown must get a response: the
// operator can't tell otherwise whether it took effect. net/http counts the connection as idle until it
// has parsed the head, and http.Server.Shutdown closes it under the call.
func TestShutdownAnswersACallThatIsBeingRead(t *testing.T) {
	controller, err := New(nodeSettings(t.TempDir(), true), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := fixture.NewHeldListener(raw, "/second")
	listener := inbound.NewListener(held, 0, inbound.NewMemory(0))
	controller.listener.Store(listener)
	go func() { _ = controller.server.Serve(listener) }()

	client, err := net.Dial("tcp4", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	reader := bufio.NewReader(client)
	call := func(path string) { _, _ = io.WriteString(client, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n") }
	call("/first")
	if status, err := readStatus(reader); err != nil || status != http.StatusNotFound {
		t.Fatalf("first call: got status %d, error %v, want 404", status, err)
	}
	call("/second")
	<-held.Received
	stopped := make(chan struct{})
	go func() {
		controller.Shutdown()
		close(stopped)
	}()
	for late, err := net.Dial("tcp4", raw.Addr().String()); err == nil; late, err = net.Dial("tcp4", raw.Addr().String()) {
		late.Close()
		<-clock.After(constants.PollPeriod)
	}
	<-clock.After(constants.PollPeriod)
	close(held.Proceed)
	if status, err := readStatus(reader); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("call that was read during the shutdown: got status %d, error %v, want 503", status, err)
	}
	<-stopped
}

func readStatus(reader *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
