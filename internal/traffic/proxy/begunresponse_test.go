package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// A response that has begun is not cut off since no other worker has room just then: the
// stream's one worker breaks it off, may not be asked for this attempt, and no other is there.
// It goes on there after a moment, within the same response.
func TestBegunResponseWaitsForCapacity(t *testing.T) {
	worker := newWorkerStub(t, "w1", func(count int, request *http.Request, connection net.Conn) {
		from := 0
		_, _ = fmt.Sscan(request.Header.Get(headerLastEvent), &from)
		write(connection, streamHead(request))
		for id := from + 1; id <= 5; id++ {
			if count == 1 && id == 3 {
				return
			}
			write(connection, chunk(event(id)))
		}
		write(connection, "0\r\n\r\n")
	})
	server, proxy := edge(t, worker)
	resp, body, err := ask(t, server, "/stream/x", nil)
	want := ""
	for id := 1; id <= 5; id++ {
		want += event(id)
	}
	if err != nil || resp.StatusCode != http.StatusOK || body != want {
		t.Fatal("cut off behind a part: ", resp, body, err)
	}
	if cut := proxy.Counts.CutOff.Load(); cut != 0 || worker.seen() != 2 {
		t.Error(cut, worker.seen())
	}
}
