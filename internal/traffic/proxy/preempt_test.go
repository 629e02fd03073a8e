package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// A running stream of lower priority is preempted and must resume within the same response: each
// event must arrive once, under the first head. A preemption is not a failure of the worker.
func TestPreemptedStreamResumesInTheSameResponse(t *testing.T) {
	reached, wait := make(chan struct{}), make(chan struct{})
	defer close(wait)
	worker := newWorkerStub(t, "w1", func(count int, request *http.Request, connection net.Conn) {
		lastID := 0
		_, _ = fmt.Sscan(request.Header.Get(headerLastEvent), &lastID)
		write(connection, streamHead(request))
		for id := lastID + 1; id <= 5; id++ {
			if count == 1 && id == 3 {
				close(reached)
				<-wait
				return
			}
			write(connection, chunk(event(id)))
		}
		write(connection, "0\r\n\r\n")
	})
	server, proxy := newProxyServer(t, worker)
	go func() {
		<-reached
		// The first two events may not have arrived yet, so repeat the notice until the stream is preempted.
		for proxy.Scheduler.Counters("stream").Preempted.Load() == 0 {
			proxy.Scheduler.YieldToPressure(&messages.PressureNotice{From: "x", Entries: []messages.Pressure{{Service: "s", Waiting: 1}}}, 1, clock.Now())
		}
	}()
	resp, body, err := sendRequest(t, server, "/stream/x", nil)
	want := ""
	for id := 1; id <= 5; id++ {
		want += event(id)
	}
	counters := proxy.Scheduler.Counters("stream")
	if err != nil || resp.StatusCode != 200 || body != want || worker.requestCount() != 2 ||
		counters.Preempted.Load() != 1 || counters.Resumed.Load() != 1 || counters.Finished.Load() != 1 {
		t.Fatalf("got %v %q %v, want 200 %q; got %d runs, %d preempted, %d resumed, %d finished, want 2, 1, 1, 1",
			resp, body, err, want, worker.requestCount(), counters.Preempted.Load(), counters.Resumed.Load(), counters.Finished.Load())
	}
}
