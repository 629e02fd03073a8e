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

// taught has a service's usual times learnt, so that silence is known by them.
func trainLatencies(t *testing.T, proxy *Proxy, ask admission.Request) {
	t.Helper()

	for count := 0; count < constants.PaceLeast; count++ {
		resp, _ := proxy.Scheduler.Admit(&ask, nil, clock.Now())
		if resp.Verdict != admission.VerdictGranted {
			t.Fatal(resp.Verdict)
		}
		resp.Grant.FirstEvent("", clock.Now())
		resp.Grant.ObserveGap(clock.Milliseconds(5))
		resp.Grant.End(admission.ResultServed, clock.Now())
	}
}

// A hang before the first byte: what may be repeated is served elsewhere well inside
// the time after which clients give up, and the worker that hangs is noted.
func TestHangBeforeTheFirstByte(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		wait := make(chan struct{})
		hanging := newWorkerStub(t, "w1", func(int, *http.Request, net.Conn) { <-wait })
		good := newWorkerStub(t, "w2", func(_ int, request *http.Request, connection net.Conn) {
			if strings.HasPrefix(path, "/stream") {
				write(connection, streamHead(request)+chunk(event(1))+chunk(event(2))+chunk(""))
				return
			}
			write(connection, successResponse(request, "done"))
		})
		server, proxy := newProxyServer(t, hanging, good)
		trainLatencies(t, proxy, admission.Request{Service: "s", Setpoint: clock.Milliseconds(100), Excluded: []string{"w1"}})
		started := clock.Now()
		resp, body, err := sendRequest(t, server, path, nil)
		took := clock.Now().Sub(started)
		close(wait)
		if err != nil || resp.StatusCode != 200 || hanging.seen() != 1 || good.seen() != 1 {
			t.Fatal(path, resp, body, err, hanging.seen(), good.seen())
		}
		if took > constants.StreamTimeout/2 {
			t.Fatalf("%s: went on elsewhere only after %v", path, took)
		}
		var failures int64
		proxy.Scheduler.Locked(func() { _, failures = proxy.Scheduler.Tracker.Of("w1").Counts() })
		if failures != 1 {
			t.Fatal("the hang was not noted once: ", failures)
		}
	}
}

// A hang after some events: the stream goes on elsewhere at the next event.
func TestHangInTheStream(t *testing.T) {
	wait := make(chan struct{})
	defer close(wait)
	hanging := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		write(connection, streamHead(request)+chunk(event(1))+chunk(event(2)))
		<-wait
	})
	good := newWorkerStub(t, "w2", func(_ int, request *http.Request, connection net.Conn) {
		if request.Header.Get(headerLastEvent) != "2" {
			t.Error("resumed after ", request.Header.Get(headerLastEvent))
		}
		write(connection, streamHead(request)+chunk(event(3))+chunk(""))
	})
	server, proxy := newProxyServer(t, hanging, good)
	trainLatencies(t, proxy, admission.Request{Service: "s", Setpoint: clock.Milliseconds(100), Excluded: []string{"w1"}})
	resp, body, err := sendRequest(t, server, "/stream/x", nil)
	if err != nil || resp.StatusCode != 200 || body != event(1)+event(2)+event(3) {
		t.Fatal(resp, body, err)
	}
}

// What must not run twice waits for a slow worker, which is doubted meanwhile.
func TestHangOfEffectfulRequest(t *testing.T) {
	answered := make(chan struct{})
	slow := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		<-answered
		write(connection, successResponse(request, "late"))
	})
	other := newWorkerStub(t, "w2", func(int, *http.Request, net.Conn) { t.Error("run at a second worker") })
	server, proxy := newProxyServer(t, slow, other)
	trainLatencies(t, proxy, admission.Request{Service: "s", Setpoint: clock.Milliseconds(100), Excluded: []string{"w1"}})
	go func() {
		// Answers once the silence was noted, however fast this machine is.
		for suspect := false; !suspect; {
			<-clock.After(clock.Milliseconds(5))
			proxy.Scheduler.Locked(func() { suspect = proxy.Scheduler.Tracker.Of("w1").Suspect(clock.Now()) })
		}
		close(answered)
	}()
	resp, body, err := sendRequest(t, server, "/once/x", nil)
	if err != nil || resp.StatusCode != 200 || body != "late" || slow.seen() != 1 {
		t.Fatal(resp, body, err, slow.seen())
	}
}

// A worker that answers 500 and one that sheds although it has capacity are noted; a 504 at
// the deadline and a 4xx are not.
func TestResponsesThatCountAgainstAWorker(t *testing.T) {
	for text, against := range map[string]bool{
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n":                                                                true,
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                                                                true,
		"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n":                                                              false,
		"HTTP/1.1 422 Never\r\nContent-Length: 0\r\n\r\n":                                                             false,
		"HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nLemonarch-Worker-Load: 6,2,6\r\nContent-Length: 0\r\n\r\n": false,
		"HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nLemonarch-Worker-Load: 1,0,6\r\nContent-Length: 0\r\n\r\n": true,
		"HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n":                                 false,
	} {
		worker := newWorkerStub(t, "w1", func(_ int, _ *http.Request, connection net.Conn) { write(connection, text) })
		good := newWorkerStub(t, "w2", func(_ int, request *http.Request, connection net.Conn) {
			write(connection, successResponse(request, "done"))
		})
		server, proxy := newProxyServer(t, worker, good)
		if _, _, err := sendRequest(t, server, "/safe/x", nil); err != nil {
			t.Fatal(text, err)
		}
		var failures int64
		proxy.Scheduler.Locked(func() { _, failures = proxy.Scheduler.Tracker.Of("w1").Counts() })
		if against != (failures > 0) {
			t.Fatalf("%q: %d failures noted", text, failures)
		}
	}
}
