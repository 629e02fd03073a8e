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
func taught(t *testing.T, proxyServer *Proxy, ask admission.Ask) {
	t.Helper()

	for count := 0; count < constants.PaceLeast; count++ {
		answer, _ := proxyServer.Scheduler.Admit(&ask, nil, clock.Now())
		if answer.Verdict != admission.VerdictGranted {
			t.Fatal(answer.Verdict)
		}
		answer.Grant.First("", clock.Now())
		answer.Grant.Paused(clock.Milliseconds(5))
		answer.Grant.End(admission.ResultServed, clock.Now())
	}
}

// A hang before the first byte: what may be repeated is served elsewhere well inside
// the time after which clients give up, and the worker that hangs is noted.
func TestHangBeforeTheFirstByte(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		hold := make(chan struct{})
		hanging := newStandIn(t, "w1", func(int, *http.Request, net.Conn) { <-hold })
		good := newStandIn(t, "w2", func(_ int, request *http.Request, connection net.Conn) {
			if strings.HasPrefix(path, "/stream") {
				write(connection, streamHead(request)+chunk(event(1))+chunk(event(2))+chunk(""))
				return
			}
			write(connection, wellDone(request, "done"))
		})
		server, proxyServer := edge(t, hanging, good)
		taught(t, proxyServer, admission.Ask{Service: "s", Setpoint: clock.Milliseconds(100), Excluded: []string{"w1"}})
		begun := clock.Now()
		answer, body, err := ask(t, server, path, nil)
		took := clock.Now().Sub(begun)
		close(hold)
		if err != nil || answer.StatusCode != 200 || hanging.seen() != 1 || good.seen() != 1 {
			t.Fatal(path, answer, body, err, hanging.seen(), good.seen())
		}
		if took > constants.StreamTimeout/2 {
			t.Fatalf("%s: went on elsewhere only after %v", path, took)
		}
		var failures int64
		proxyServer.Scheduler.Locked(func() { _, failures = proxyServer.Scheduler.Tracker.Of("w1").Counts() })
		if failures != 1 {
			t.Fatal("the hang was not noted once: ", failures)
		}
	}
}

// A hang after some events: the stream goes on elsewhere at the next event.
func TestHangInTheStream(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	hanging := newStandIn(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		write(connection, streamHead(request)+chunk(event(1))+chunk(event(2)))
		<-hold
	})
	good := newStandIn(t, "w2", func(_ int, request *http.Request, connection net.Conn) {
		if request.Header.Get(headerLastEvent) != "2" {
			t.Error("resumed after ", request.Header.Get(headerLastEvent))
		}
		write(connection, streamHead(request)+chunk(event(3))+chunk(""))
	})
	server, proxyServer := edge(t, hanging, good)
	taught(t, proxyServer, admission.Ask{Service: "s", Setpoint: clock.Milliseconds(100), Excluded: []string{"w1"}})
	answer, body, err := ask(t, server, "/stream/x", nil)
	if err != nil || answer.StatusCode != 200 || body != event(1)+event(2)+event(3) {
		t.Fatal(answer, body, err)
	}
}

// What must not run twice waits for a slow worker, which is doubted meanwhile.
func TestHangOfWhatMustNotRunTwice(t *testing.T) {
	answered := make(chan struct{})
	slow := newStandIn(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		<-answered
		write(connection, wellDone(request, "late"))
	})
	other := newStandIn(t, "w2", func(int, *http.Request, net.Conn) { t.Error("run at a second worker") })
	server, proxyServer := edge(t, slow, other)
	taught(t, proxyServer, admission.Ask{Service: "s", Setpoint: clock.Milliseconds(100), Excluded: []string{"w1"}})
	go func() {
		// Answers once the silence was noted, however fast this machine is.
		for suspect := false; !suspect; {
			<-clock.After(clock.Milliseconds(5))
			proxyServer.Scheduler.Locked(func() { suspect = proxyServer.Scheduler.Tracker.Of("w1").Suspect(clock.Now()) })
		}
		close(answered)
	}()
	answer, body, err := ask(t, server, "/once/x", nil)
	if err != nil || answer.StatusCode != 200 || body != "late" || slow.seen() != 1 {
		t.Fatal(answer, body, err, slow.seen())
	}
}

// A worker that answers 500 and one that sheds although it has room are noted; a 504 at
// the deadline and a 4xx are not.
func TestAnswersThatSpeakAgainstAWorker(t *testing.T) {
	for text, against := range map[string]bool{
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n":                                                                true,
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                                                                true,
		"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n":                                                              false,
		"HTTP/1.1 422 Never\r\nContent-Length: 0\r\n\r\n":                                                             false,
		"HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nLemonarch-Worker-Load: 6,2,6\r\nContent-Length: 0\r\n\r\n": false,
		"HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nLemonarch-Worker-Load: 1,0,6\r\nContent-Length: 0\r\n\r\n": true,
		"HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n":                                 false,
	} {
		worker := newStandIn(t, "w1", func(_ int, _ *http.Request, connection net.Conn) { write(connection, text) })
		good := newStandIn(t, "w2", func(_ int, request *http.Request, connection net.Conn) { write(connection, wellDone(request, "done")) })
		server, proxyServer := edge(t, worker, good)
		if _, _, err := ask(t, server, "/safe/x", nil); err != nil {
			t.Fatal(text, err)
		}
		var failures int64
		proxyServer.Scheduler.Locked(func() { _, failures = proxyServer.Scheduler.Tracker.Of("w1").Counts() })
		if against != (failures > 0) {
			t.Fatalf("%q: %d failures noted", text, failures)
		}
	}
}
