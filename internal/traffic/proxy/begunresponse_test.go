package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
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
	server, proxy := newProxyServer(t, worker)
	expectWholeStream(t, server)
	if cut := proxy.Counts.CutOff.Load(); cut != 0 || worker.seen() != 2 {
		t.Error(cut, worker.seen())
	}
}

// A worker that turns a request away has not used up a try of a response that has begun: the stream
// of a worker that broke off goes on once one of the others has room, within the same response.
func TestBegunResponseOutlastsRefusals(t *testing.T) {
	const refusals = 6
	turnAway := func(request *http.Request, connection net.Conn) {
		write(connection, "HTTP/1.1 503 Service Unavailable\r\nLemonarch-Attempt-Id: "+request.Header.Get(headerAttempt)+"\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
	}
	var turnedAway atomic.Int64
	script := func(_ int, request *http.Request, connection net.Conn) {
		from, resumed := 0, request.Header.Get(headerLastEvent) != ""
		_, _ = fmt.Sscan(request.Header.Get(headerLastEvent), &from)
		if resumed && turnedAway.Add(1) <= refusals {
			turnAway(request, connection)
			return
		}
		write(connection, streamHead(request))
		for id := from + 1; id <= 5; id++ {
			if !resumed && id == 3 {
				connection.Close()
				return
			}
			write(connection, chunk(event(id)))
		}
		write(connection, "0\r\n\r\n")
	}
	server, proxy := newProxyServer(t, newWorkerStub(t, "w1", script), newWorkerStub(t, "w2", script))
	stop := make(chan struct{})
	defer close(stop)
	go clock.Every(constants.PumpPeriod, stop, proxy.Sweep)
	expectWholeStream(t, server)
	if cut := proxy.Counts.CutOff.Load(); cut != 0 || turnedAway.Load() != refusals+1 {
		t.Error(cut, turnedAway.Load())
	}
}

// askWholeStream asks for a stream of five events, which must come whole within one response.
func expectWholeStream(t *testing.T, server *httptest.Server) {
	t.Helper()

	resp, body, err := sendRequest(t, server, "/stream/x", nil)
	want := ""
	for id := 1; id <= 5; id++ {
		want += event(id)
	}
	if err != nil || resp.StatusCode != http.StatusOK || body != want {
		t.Fatal("cut off behind a part: ", resp, body, err)
	}
}
