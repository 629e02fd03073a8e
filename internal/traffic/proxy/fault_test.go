package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/traffic/admission"
)

// trainLatencies records enough responses of a service for a usual latency and event gap, against which
// an unusual silence is detected.
func trainLatencies(t *testing.T, proxy *Proxy, request admission.Request) {
	t.Helper()

	for count := 0; count < constants.LatencySamplesMin; count++ {
		resp, _ := proxy.Scheduler.Admit(&request, nil, clock.Now())
		if resp.Verdict != admission.VerdictGranted {
			t.Fatalf("admission verdict %v, want %v", resp.Verdict, admission.VerdictGranted)
		}
		resp.Grant.FirstEvent("", clock.Now())
		resp.Grant.ObserveGap(clock.Milliseconds(5))
		resp.Grant.End(admission.ResultServed, clock.Now())
	}
}

// A worker hangs before the first byte. A retryable request must be served by another worker within half
// of StreamTimeout, well before clients give up, and the hang must be recorded in the worker's health.
func TestHangBeforeFirstByteIsRetriedElsewhere(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		wait := make(chan struct{})
		hanging := newWorkerStub(t, "w1", func(int, *http.Request, net.Conn) { <-wait })
		good := newWorkerStub(t, "w2", func(_ int, request *http.Request, connection net.Conn) {
			if strings.HasPrefix(path, "/stream") {
				write(connection, streamHead(request)+chunk(event(1))+chunk(event(2))+chunk(""))
				return
			}
			write(connection, success(request, "done"))
		})
		server, proxy := newProxyServer(t, hanging, good)
		trainLatencies(t, proxy, admission.Request{Service: "s", Setpoint: clock.Milliseconds(100), Excluded: []string{"w1"}})
		started := clock.Now()
		resp, body, err := sendRequest(t, server, path, nil)
		took := clock.Now().Sub(started)
		close(wait)
		if err != nil || resp.StatusCode != 200 || hanging.requestCount() != 1 || good.requestCount() != 1 {
			t.Fatalf("%s: got %v %q %v after %d and %d runs, want 200 after 1 and 1", path, resp, body, err, hanging.requestCount(), good.requestCount())
		}
		if took > constants.StreamTimeout/2 {
			t.Fatalf("%s: served by another worker after %v, want %v at most", path, took, constants.StreamTimeout/2)
		}
		var failures int64
		proxy.Scheduler.WithLock(func() { _, failures = proxy.Scheduler.Tracker.HealthOf("w1").Counts() })
		if failures != 1 {
			t.Fatalf("%s: the hang was recorded as %d failures, want 1", path, failures)
		}
	}
}

// A worker hangs after some events. The stream must resume at another worker with the next event.
func TestHungStreamResumesElsewhere(t *testing.T) {
	wait := make(chan struct{})
	defer close(wait)
	hanging := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		write(connection, streamHead(request)+chunk(event(1))+chunk(event(2)))
		<-wait
	})
	good := newWorkerStub(t, "w2", func(_ int, request *http.Request, connection net.Conn) {
		if request.Header.Get(headerLastEvent) != "2" {
			t.Errorf("resumed after event %q, want 2", request.Header.Get(headerLastEvent))
		}
		write(connection, streamHead(request)+chunk(event(3))+chunk(""))
	})
	server, proxy := newProxyServer(t, hanging, good)
	trainLatencies(t, proxy, admission.Request{Service: "s", Setpoint: clock.Milliseconds(100), Excluded: []string{"w1"}})
	resp, body, err := sendRequest(t, server, "/stream/x", nil)
	if err != nil || resp.StatusCode != 200 || body != event(1)+event(2)+event(3) {
		t.Fatalf("got %v %q %v, want 200 and the events 1 to 3", resp, body, err)
	}
}

// A request that must not run twice must wait for a slow worker, which is suspect in the meantime.
func TestEffectfulRequestWaitsForHungWorker(t *testing.T) {
	respond := make(chan struct{})
	slow := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		<-respond
		write(connection, success(request, "late"))
	})
	other := newWorkerStub(t, "w2", func(int, *http.Request, net.Conn) { t.Error("request ran at a second worker") })
	server, proxy := newProxyServer(t, slow, other)
	trainLatencies(t, proxy, admission.Request{Service: "s", Setpoint: clock.Milliseconds(100), Excluded: []string{"w1"}})
	go func() {
		// Respond only after the silence was recorded, independently of the speed of this machine.
		for suspect := false; !suspect; {
			<-clock.After(clock.Milliseconds(5))
			proxy.Scheduler.WithLock(func() { suspect = proxy.Scheduler.Tracker.HealthOf("w1").Suspect(clock.Now()) })
		}
		close(respond)
	}()
	resp, body, err := sendRequest(t, server, "/once/x", nil)
	if err != nil || resp.StatusCode != 200 || body != "late" || slow.requestCount() != 1 {
		t.Fatalf("got %v %q %v after %d runs, want 200 \"late\" after 1 run", resp, body, err, slow.requestCount())
	}
}

// A 500, a 503 without Lemonarch-Not-Executed and a rejection despite free capacity must count as failures
// in the worker's health. A 504 at the deadline, a 4xx, and a rejection by a worker that is full or states
// no load must not.
func TestResponsesThatCountAsWorkerFailures(t *testing.T) {
	for text, wantFailure := range map[string]bool{
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n":                                                                true,
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                                                                true,
		"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n":                                                              false,
		"HTTP/1.1 422 Never\r\nContent-Length: 0\r\n\r\n":                                                             false,
		"HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nLemonarch-Worker-Load: 6,2,6\r\nContent-Length: 0\r\n\r\n": false,
		"HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nLemonarch-Worker-Load: 1,0,6\r\nContent-Length: 0\r\n\r\n": true,
		"HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n":                                 false,
	} {
		worker := newWorkerStub(t, "w1", func(_ int, _ *http.Request, connection net.Conn) { write(connection, text) })
		good := newWorkerStub(t, "w2", func(_ int, request *http.Request, connection net.Conn) { write(connection, success(request, "done")) })
		server, proxy := newProxyServer(t, worker, good)
		if _, _, err := sendRequest(t, server, "/safe/x", nil); err != nil {
			t.Fatalf("%q: request failed: %v", text, err)
		}
		var failures int64
		proxy.Scheduler.WithLock(func() { _, failures = proxy.Scheduler.Tracker.HealthOf("w1").Counts() })
		if wantFailure != (failures > 0) {
			t.Fatalf("%q: got %d failures, want some: %v", text, failures, wantFailure)
		}
	}
}
