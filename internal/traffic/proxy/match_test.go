package proxy

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/faultrelay"
	"lemonarch/internal/traffic/admission"
)

// staleAnswers are answers that are not the caller's, as they may stand before its own.
var staleResponses = map[string]string{
	"turned away, unnamed":  "HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"misdirected, unnamed":  "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
	"idle for too long":     "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	"success, unnamed":      "HTTP/1.1 200 OK\r\nLemonarch-Server-Seal: old\r\nContent-Length: 3\r\n\r\nold",
	"success, another's":    "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: old\r\nLemonarch-Server-Seal: old\r\nContent-Length: 3\r\n\r\nold",
	"turned away, anothers": "HTTP/1.1 503 Full\r\nLemonarch-Attempt-Id: old\r\nLemonarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"length too large":      "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: old\r\nLemonarch-Server-Seal: old\r\nContent-Length: 9\r\n\r\nold",
	"length too small":      "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: old\r\nLemonarch-Server-Seal: old\r\nContent-Length: 1\r\n\r\nold",
	"a HEAD's answer":       "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: old\r\nLemonarch-Server-Seal: old\r\nContent-Length: 30\r\n\r\n",
	"no end":                "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: old\r\nLemonarch-Server-Seal: old\r\n\r\nold",
	"chunks":                "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n",
	"a head in a body": "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: old\r\nLemonarch-Server-Seal: old\r\nContent-Length: 2\r\n\r\n" +
		"olHTTP/1.1 200 OK\r\nLemonarch-Server-Seal: old\r\nContent-Length: 3\r\n\r\nold",
}

// A response that is not the caller's, cut at any byte, stands before its own on a
// connection that was used before: it is nobody's, whatever it says.
func TestStaleResponsesAreNotRelayed(t *testing.T) {
	var played, rode atomic.Int64
	t.Run("cases", func(t *testing.T) {
		for name, stale := range staleResponses {
			for _, path := range []string{"/once/x", "/rigid/x", "/safe/x", "/stream/x"} {
				for found := len(stale); found > 0; found -= min(byteStep(path, faultrelay.Drop), 11) {
					t.Run(fmt.Sprint(name, path, found), func(t *testing.T) {
						t.Parallel()
						played.Add(1)
						if runStaleCase(t, path, stale[:found]) {
							rode.Add(1)
						}
					})
				}
			}
		}
	})
	// A machine that stands still lets a connection grow too old, but not most of them.
	if rode.Load()*2 < played.Load() {
		t.Errorf("only %d of %d requests travelled on a used connection", rode.Load(), played.Load())
	}
}

// playStale plays one case, and tells whether the request travelled on a used connection.
func runStaleCase(t *testing.T, path, stale string) bool {
	t.Helper()

	script := func(_ int, request *http.Request, connection net.Conn) {
		if request.Header.Get(headerAttempt) == "probe" {
			write(connection, stale)
		}
		serveComplete(0, request, connection)
	}
	first, second := newWorkerStub(t, "w1", script), newWorkerStub(t, "w2", serveComplete)
	server, _ := newProxyServer(t, first, second)
	if _, _, err := sendRequest(t, server, "/safe/x", map[string]string{headerAttempt: "first"}); err != nil {
		t.Fatal(err)
	}
	resp, body, err := sendRequest(t, server, path, map[string]string{headerAttempt: "probe", headerTimeLeft: "120"})
	entry := faultCase{path: path}
	if broken := entry.check(first.ran("probe")+second.ran("probe"), resp, body, err); broken != "" {
		t.Error(broken)
	}
	rode := first.ran("probe") > 0 && first.accepted.Load() == 1
	next, nextBody, nextErr := sendRequest(t, server, "/safe/x", map[string]string{headerAttempt: "next"})
	if broken := entry.checkNext(next, nextBody, nextErr); broken != "" {
		t.Error(broken)
	}
	return rode
}

// A worker's own 503 that does not say that it did not run the request is no promise, so
// it is not passed on as one.
func TestUnmarked503IsNotRelayed(t *testing.T) {
	for _, status := range []string{"503 No", "429 No", "408 No"} {
		for _, path := range []string{"/once/x", "/safe/x"} {
			worker := newWorkerStub(t, "w1", func(_ int, _ *http.Request, connection net.Conn) {
				write(connection, "HTTP/1.1 "+status+"\r\nLemonarch-Server-Seal: seal\r\nContent-Length: 0\r\n\r\n")
			})
			server, _ := newProxyServer(t, worker)
			resp, _, err := sendRequest(t, server, path, nil)
			if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(headerSeal) != "" {
				t.Error(path, status, resp, err)
			}
		}
	}
}

// The same id never travels twice on one connection: a late second response to the first
// would bear the name of the second.
func TestSameIDTakesAnotherConnection(t *testing.T) {
	worker := newWorkerStub(t, "w1", serveComplete)
	server, proxy := newProxyServer(t, worker)
	for count := 0; count < 3; count++ {
		for _, attempt := range []string{"again", fmt.Sprint("other-", count)} {
			if _, _, err := sendRequest(t, server, "/safe/x", map[string]string{headerAttempt: attempt}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if opened := proxy.Sender.Pool.Opened.Load(); opened != 3 {
		t.Error("connections opened: ", opened)
	}
}

// A request that the connection did not take at all has not run.
func TestUnsentRequestIsReportedNotSent(t *testing.T) {
	worker := newWorkerStub(t, "w1", serveComplete)
	_, proxy := newProxyServer(t, worker)
	sender := &proxy.Sender
	granted, _ := proxy.Scheduler.Admit(&admission.Request{Service: "s", Deadline: clock.Now().Add(clock.Milliseconds(1000))}, nil, clock.Now())
	outgoing := &Request{Method: http.MethodPost, Attempt: "probe", Text: []byte("x"), Deadline: clock.Now() - 1}
	_, evidence, err := sender.RoundTrip(granted.Grant, outgoing)
	if err == nil || evidence.Sent {
		t.Fatal(evidence, err)
	}
}
