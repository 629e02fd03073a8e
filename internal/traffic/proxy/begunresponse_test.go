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

// Guards against truncating a response that has begun because no other worker has capacity at the
// moment. The only worker stops sending within the stream, with the connection open, and is then
// excluded from the next attempt. The stream must resume there after a short wait, within the same
// response.
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
	expectCompleteStream(t, server)
	if aborted := proxy.Counts.Aborted.Load(); aborted != 0 || worker.requestCount() != 2 {
		t.Errorf("%d responses aborted and %d requests at the worker, want 0 and 2", aborted, worker.requestCount())
	}
}

// Guards against counting rejections by workers as attempts of a response that has begun. After a
// worker broke the stream off, the workers reject several attempts without running them. The stream
// must resume once one of them has capacity, within the same response.
func TestRejectionsDoNotCountAsAttemptsOfBegunResponse(t *testing.T) {
	const rejectionCount = 6
	reject := func(request *http.Request, connection net.Conn) {
		write(connection, "HTTP/1.1 503 Service Unavailable\r\nLemonarch-Attempt-Id: "+request.Header.Get(headerAttempt)+"\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
	}
	var rejected atomic.Int64
	script := func(_ int, request *http.Request, connection net.Conn) {
		from, resumed := 0, request.Header.Get(headerLastEvent) != ""
		_, _ = fmt.Sscan(request.Header.Get(headerLastEvent), &from)
		if resumed && rejected.Add(1) <= rejectionCount {
			reject(request, connection)
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
	go clock.Every(constants.PollPeriod, stop, proxy.PumpQueue)
	expectCompleteStream(t, server)
	if aborted := proxy.Counts.Aborted.Load(); aborted != 0 || rejected.Load() != rejectionCount+1 {
		t.Errorf("%d responses aborted and %d resumptions requested, want 0 and %d", aborted, rejected.Load(), rejectionCount+1)
	}
}

// expectCompleteStream requests a stream of five events and expects all of them within one response.
func expectCompleteStream(t *testing.T, server *httptest.Server) {
	t.Helper()

	resp, body, err := sendRequest(t, server, "/stream/x", nil)
	want := ""
	for id := 1; id <= 5; id++ {
		want += event(id)
	}
	if err != nil || resp.StatusCode != http.StatusOK || body != want {
		t.Fatalf("got %v %q %v, want 200 %q", resp, body, err, want)
	}
}
