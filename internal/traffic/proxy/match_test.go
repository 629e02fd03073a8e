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

// staleResponses are responses to other requests that may arrive on a connection before the response to
// the current request.
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

// A response to another request, truncated at any byte, arrives on a reused connection before the
// response to the request. It must not be relayed to any client, whatever its content.
func TestStaleResponsesAreNotRelayed(t *testing.T) {
	var total, reused atomic.Int64
	t.Run("cases", func(t *testing.T) {
		for name, stale := range staleResponses {
			for _, path := range []string{"/once/x", "/rigid/x", "/safe/x", "/stream/x"} {
				for length := len(stale); length > 0; length -= min(byteStep(path, faultrelay.Drop), 11) {
					t.Run(fmt.Sprint(name, path, length), func(t *testing.T) {
						t.Parallel()
						total.Add(1)
						if runStaleCase(t, path, stale[:length]) {
							reused.Add(1)
						}
					})
				}
			}
		}
	})
	// If this machine stalls, some connections become too old for reuse, but not most of them.
	if reused.Load()*2 < total.Load() {
		t.Errorf("only %d of %d requests used a reused connection", reused.Load(), total.Load())
	}
}

// runStaleCase runs one case, and reports whether the request was sent on a reused connection.
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
	testCase := faultCase{path: path}
	if violation := testCase.check(first.ran("probe")+second.ran("probe"), resp, body, err); violation != "" {
		t.Error(violation)
	}
	reused := first.ran("probe") > 0 && first.accepted.Load() == 1
	next, nextBody, nextErr := sendRequest(t, server, "/safe/x", map[string]string{headerAttempt: "next"})
	if violation := testCase.checkNext(next, nextBody, nextErr); violation != "" {
		t.Error(violation)
	}
	return reused
}

// A worker's 503, 429 or 408 without Lemonarch-Not-Executed does not promise that the request has not
// run. It must not be relayed, since to the client it would be that promise.
func TestUnmarkedRejectionIsNotRelayed(t *testing.T) {
	for _, status := range []string{"503 No", "429 No", "408 No"} {
		for _, path := range []string{"/once/x", "/safe/x"} {
			worker := newWorkerStub(t, "w1", func(_ int, _ *http.Request, connection net.Conn) {
				write(connection, "HTTP/1.1 "+status+"\r\nLemonarch-Server-Seal: seal\r\nContent-Length: 0\r\n\r\n")
			})
			server, _ := newProxyServer(t, worker)
			resp, _, err := sendRequest(t, server, path, nil)
			if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(headerSeal) != "" {
				t.Errorf("%s, worker status %q: got %v %v, want 502 without the worker's seal", path, status, resp, err)
			}
		}
	}
}

// Two requests with the same attempt id must not use one connection: a late second response to the
// first would carry the id of the second.
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
		t.Errorf("%d connections opened, want 3", opened)
	}
}

// A request of which the connection accepted no byte must be reported as not sent.
func TestUnsentRequestIsReportedNotSent(t *testing.T) {
	worker := newWorkerStub(t, "w1", serveComplete)
	_, proxy := newProxyServer(t, worker)
	sender := &proxy.Sender
	decision, _ := proxy.Scheduler.Admit(&admission.Request{Service: "s", Deadline: clock.Now().Add(clock.Milliseconds(1000))}, nil, clock.Now())
	outgoing := &Request{Method: http.MethodPost, Attempt: "probe", Text: []byte("x"), Deadline: clock.Now() - 1}
	_, evidence, err := sender.RoundTrip(decision.Grant, outgoing)
	if err == nil || evidence.Sent {
		t.Fatalf("got evidence %+v and error %v, want an error and nothing sent", evidence, err)
	}
}
