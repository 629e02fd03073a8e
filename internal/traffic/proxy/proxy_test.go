package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/platform/clock"
)

// onceCutoffMs is the cutoff of the route /once/ in testConfig, in milliseconds.
const onceCutoffMs = 700

func write(connection net.Conn, text string) { _, _ = io.WriteString(connection, text) }

func TestRequestIsForwardedUnchanged(t *testing.T) {
	worker := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) { write(connection, success(request, "hello")) })
	server, _ := newProxyServer(t, worker)
	resp, body, err := sendRequest(t, server, "/safe/a//b/../c%2Fd?x=1&&y", map[string]string{"X-Other": "kept", headerTimeLeft: "900"})
	if err != nil || resp.StatusCode != 200 || body != "hello" || resp.Header.Get(headerSeal) != "seal" {
		t.Fatalf("got %v %q %v, want 200 \"hello\" with the seal", resp, body, err)
	}
	got := worker.requests[0]
	sent, _ := io.ReadAll(got.Body)
	if got.RequestURI != "/safe/a//b/../c%2Fd?x=1&&y" || string(sent) != "the body" || got.Host != "h.example" ||
		got.Header.Get("X-Other") != "kept" || got.Header.Get(headerTarget) != "w1" || got.Header.Get(headerAttempt) != "attempt-1" {
		t.Fatalf("worker received %s %q with header %v, want the request unchanged", got.RequestURI, string(sent), got.Header)
	}
}

// Guards against a second run of an effectful request whose response was truncated at any byte. It must
// not be sent to a second worker, must not be rejected as if it had not run, and must not get a success.
func TestEffectfulRequestRunsOnceIfResponseIsTruncated(t *testing.T) {
	complete := success(&http.Request{Header: http.Header{headerAttempt: {"attempt-1"}}}, "hello")
	for length := 0; length < len(complete); length++ {
		script := func(_ int, _ *http.Request, connection net.Conn) {
			write(connection, complete[:length])
			connection.Close()
		}
		first, second := newWorkerStub(t, "w1", script), newWorkerStub(t, "w2", script)
		server, _ := newProxyServer(t, first, second)
		started := clock.Now()
		resp, _, err := sendRequest(t, server, "/once/x", nil)
		ran := first.requestCount() + second.requestCount()
		// No worker gets the request if this process stalls past the route's cutoff before sending it.
		late := clock.Now().Sub(started) >= clock.Milliseconds(onceCutoffMs)
		if ran > 1 || (ran == 0 && !late) {
			t.Fatalf("truncated at byte %d: request ran %d times, want once (late: %v)", length, ran, late)
		}
		if err == nil && ((ran > 0 && promisesNotRun(resp.StatusCode)) || resp.StatusCode < 300) {
			t.Fatalf("truncated at byte %d: got status %d after %d runs, want neither success nor rejection", length, resp.StatusCode, ran)
		}
	}
}

func TestEffectfulRequestIsNotRetriedAfterTimeout(t *testing.T) {
	wait := make(chan struct{})
	defer close(wait)
	script := func(int, *http.Request, net.Conn) { <-wait }
	first, second := newWorkerStub(t, "w1", script), newWorkerStub(t, "w2", script)
	server, _ := newProxyServer(t, first, second)
	resp, _, err := sendRequest(t, server, "/once/x", nil)
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout || first.requestCount()+second.requestCount() != 1 {
		t.Fatalf("got %v %v after %d and %d runs, want 504 after one run", resp, err, first.requestCount(), second.requestCount())
	}
}

// An effectful request may be retried only if the worker states that it did not run it.
func TestEffectfulRequestIsRetriedIfNotRun(t *testing.T) {
	full := newWorkerStub(t, "w1", func(_ int, _ *http.Request, connection net.Conn) {
		write(connection, "HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	})
	other := newWorkerStub(t, "w2", func(_ int, _ *http.Request, connection net.Conn) {
		write(connection, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
	})
	good := newWorkerStub(t, "w3", func(_ int, request *http.Request, connection net.Conn) { write(connection, success(request, "done")) })
	server, _ := newProxyServer(t, full, other, good)
	resp, body, err := sendRequest(t, server, "/once/x", nil)
	if err != nil || resp.StatusCode != 200 || body != "done" || good.requestCount() != 1 {
		t.Fatalf("got %v %q %v, want 200 \"done\" after one run at w3", resp, body, err)
	}
}

func TestRetryAfterWhenNoWorkerHasCapacity(t *testing.T) {
	full := newWorkerStub(t, "w1", func(_ int, _ *http.Request, connection net.Conn) {
		write(connection, "HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	})
	server, _ := newProxyServer(t, full)
	resp, _, err := sendRequest(t, server, "/once/x", nil)
	if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v %v, want 503 with Retry-After", resp, err)
	}
}

// An idempotent request must be retried at another worker if the response is not valid HTTP, has no
// seal, is content-encoded or is truncated.
func TestCorruptResponsesAreRetried(t *testing.T) {
	for name, text := range map[string]string{
		"garbled":  "not an answer at all\r\n\r\n",
		"no stamp": "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: attempt-1\r\nContent-Length: 2\r\n\r\nno",
		"encoded":  "HTTP/1.1 200 OK\r\nLemonarch-Server-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
		"cut":      "HTTP/1.1 200 OK\r\nLemonarch-Server-Seal: s\r\nContent-Length: 20\r\n\r\nno",
	} {
		bad := newWorkerStub(t, "w1", func(_ int, _ *http.Request, connection net.Conn) {
			write(connection, text)
			connection.Close()
		})
		good := newWorkerStub(t, "w2", func(_ int, request *http.Request, connection net.Conn) { write(connection, success(request, "done")) })
		server, _ := newProxyServer(t, bad, good)
		resp, body, err := sendRequest(t, server, "/safe/x", nil)
		if err != nil || resp.StatusCode != 200 || body != "done" {
			t.Fatalf("%s: got %v %q %v, want 200 \"done\"", name, resp, body, err)
		}
	}
}

// Bytes after a complete response must be discarded: the next request must not receive them.
func TestSurplusResponseIsDiscarded(t *testing.T) {
	worker := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		text := success(request, "for "+request.Header.Get(headerAttempt))
		write(connection, text+text)
	})
	server, _ := newProxyServer(t, worker)
	for count := 0; count < 5; count++ {
		attempt := fmt.Sprint("attempt-", count)
		resp, body, err := sendRequest(t, server, "/safe/x", map[string]string{headerAttempt: attempt})
		if err != nil || resp.StatusCode != 200 || body != "for "+attempt {
			t.Fatalf("%s: got %v %q %v, want 200 and its own response", attempt, resp, body, err)
		}
	}
}

// A late response to an earlier request must be skipped, and the response that follows it relayed.
func TestLateResponseIsSkipped(t *testing.T) {
	worker := newWorkerStub(t, "w1", func(count int, request *http.Request, connection net.Conn) {
		old := strings.Replace(success(request, "old"), "attempt-1", "attempt-0", 1)
		write(connection, old+success(request, "mine"))
	})
	server, _ := newProxyServer(t, worker)
	resp, body, err := sendRequest(t, server, "/once/x", nil)
	if err != nil || resp.StatusCode != 200 || body != "mine" || worker.requestCount() != 1 {
		t.Fatalf("got %v %q %v, want 200 \"mine\" after one run", resp, body, err)
	}
}

// A resumable stream that breaks after any event must resume at another worker, and each event must arrive
// once. The head is that of the first worker, unless it broke off before its first complete event.
func TestResumeAtEveryEvent(t *testing.T) {
	const events = 6
	for sent := 0; sent <= events; sent++ {
		script := func(limit int) func(int, *http.Request, net.Conn) {
			return func(_ int, request *http.Request, connection net.Conn) {
				lastID := 0
				_, _ = fmt.Sscan(request.Header.Get(headerLastEvent), &lastID)
				write(connection, streamHead(request))
				for id := lastID + 1; id <= events; id++ {
					if id > limit {
						// Part of an event, then the connection closes.
						write(connection, chunk(event(id)[:5]))
						connection.Close()
						return
					}
					write(connection, chunk(event(id)))
				}
				write(connection, "0\r\n\r\n")
			}
		}
		first, second := newWorkerStub(t, "w1", script(sent)), newWorkerStub(t, "w2", script(events))
		server, _ := newProxyServer(t, first, second)
		resp, body, err := sendRequest(t, server, "/stream/x", nil)
		want := ""
		for id := 1; id <= events; id++ {
			want += event(id)
		}
		seal := "seal-w1"
		if sent == 0 {
			seal = "seal-w2"
		}
		if err != nil || resp.StatusCode != 200 || body != want || resp.Header.Get(headerSeal) != seal {
			t.Fatalf("broken off after %d events: got %v %q %v, want 200 %q with the seal %q", sent, resp, body, err, want, seal)
		}
	}
}

// A stream that may not be resumed must be truncated for the client too, not ended cleanly.
func TestNonResumableStreamIsTruncatedAtTheClient(t *testing.T) {
	worker := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		write(connection, streamHead(request)+chunk(event(1)))
		connection.Close()
	})
	second := newWorkerStub(t, "w2", func(int, *http.Request, net.Conn) {})
	server, _ := newProxyServer(t, worker, second)
	resp, body, err := sendRequest(t, server, "/rigid/x", nil)
	if err == nil || resp == nil || body != event(1) || second.requestCount() != 0 {
		t.Fatalf("got %v %q %v and %d runs at w2, want event 1, then an error, and no run", resp, body, err, second.requestCount())
	}
}

func TestUnroutableAndTooLargeRequestsAreNotForwarded(t *testing.T) {
	worker := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) { write(connection, success(request, "x")) })
	server, _ := newProxyServer(t, worker)
	if resp, _, _ := sendRequest(t, server, "/nowhere/", nil); resp.StatusCode != 404 {
		t.Fatalf("unknown route: got status %d, want 404", resp.StatusCode)
	}
	request, _ := http.NewRequest(http.MethodPost, server.URL+"/safe/x", strings.NewReader(strings.Repeat("x", 2000)))
	request.Host = "h.example"
	if resp, err := http.DefaultClient.Do(request); err != nil || resp.StatusCode != 413 {
		t.Fatalf("body over the limit: got %v %v, want 413", resp, err)
	}
	if worker.requestCount() != 0 {
		t.Fatalf("%d requests were forwarded, want none", worker.requestCount())
	}
}

// A draining node must still respond to requests, with Connection: close.
func TestDrainingNodeServesRequests(t *testing.T) {
	started, wait := make(chan struct{}), make(chan struct{})
	worker := newWorkerStub(t, "w1", func(count int, request *http.Request, connection net.Conn) {
		if count == 1 {
			close(started)
			<-wait
		}
		write(connection, success(request, "done"))
	})
	server, proxy := newProxyServer(t, worker)
	ended := make(chan string, 1)
	go func() {
		resp, body, err := sendRequest(t, server, "/once/x", nil)
		ended <- fmt.Sprint(resp != nil && resp.StatusCode == 200, body, err)
	}()
	<-started
	proxy.Draining.Store(true)
	if proxy.Active() != 1 {
		t.Fatalf("%d requests in flight, want 1", proxy.Active())
	}
	resp, body, err := sendRequest(t, server, "/safe/y", nil)
	if err != nil || resp.StatusCode != 200 || body != "done" || !resp.Close {
		t.Fatalf("got %v %q %v, want 200 \"done\" with Connection: close", resp, body, err)
	}
	close(wait)
	if got := <-ended; got != "true done <nil>" && got != "truedone<nil>" && got != "truedone <nil>" {
		t.Fatal("the request in flight did not succeed: ", got)
	}
}
