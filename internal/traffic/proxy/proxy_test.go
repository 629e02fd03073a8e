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

// onceCutoffMs is the time of the route /once/ in testConfig.
const onceCutoffMs = 700

func write(connection net.Conn, text string) { _, _ = io.WriteString(connection, text) }

func TestRequestGoesThroughUnchanged(t *testing.T) {
	worker := newStandIn(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		write(connection, wellDone(request, "hello"))
	})
	server, _ := edge(t, worker)
	answer, body, err := ask(t, server, "/safe/a//b/../c%2Fd?x=1&&y", map[string]string{"X-Other": "kept", headerTimeLeft: "900"})
	if err != nil || answer.StatusCode != 200 || body != "hello" || answer.Header.Get(headerSeal) != "seal" {
		t.Fatal(answer, body, err)
	}
	got := worker.requests[0]
	sent, _ := io.ReadAll(got.Body)
	if got.RequestURI != "/safe/a//b/../c%2Fd?x=1&&y" || string(sent) != "the body" || got.Host != "h.example" ||
		got.Header.Get("X-Other") != "kept" || got.Header.Get(headerTarget) != "w1" || got.Header.Get(headerAttempt) != "attempt-1" {
		t.Fatal(got.RequestURI, string(sent), got.Header)
	}
}

// An effectful request that met silence, a reset or a cut at any byte of the
// answer is never sent to a second worker, and never refused as if it had not run.
func TestEffectfulAtEveryByte(t *testing.T) {
	whole := wellDone(&http.Request{Header: http.Header{headerAttempt: {"attempt-1"}}}, "hello")
	for cut := 0; cut < len(whole); cut++ {
		script := func(_ int, _ *http.Request, connection net.Conn) {
			write(connection, whole[:cut])
			connection.Close()
		}
		first, second := newStandIn(t, "w1", script), newStandIn(t, "w2", script)
		server, _ := edge(t, first, second)
		begun := clock.Now()
		answer, _, err := ask(t, server, "/once/x", nil)
		ran := first.seen() + second.seen()
		// Only where this process stood still past the route's time may it not have run.
		late := clock.Now().Sub(begun) >= clock.Milliseconds(onceCutoffMs)
		if ran > 1 || (ran == 0 && !late) {
			t.Fatalf("cut at %d: run %d times", cut, ran)
		}
		if err == nil && ((ran > 0 && promised(answer.StatusCode)) || answer.StatusCode < 300) {
			t.Fatalf("cut at %d: status %d", cut, answer.StatusCode)
		}
	}
}

func TestEffectfulMetBySilence(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	script := func(int, *http.Request, net.Conn) { <-hold }
	first, second := newStandIn(t, "w1", script), newStandIn(t, "w2", script)
	server, _ := edge(t, first, second)
	answer, _, err := ask(t, server, "/once/x", nil)
	if err != nil || answer.StatusCode != http.StatusGatewayTimeout || first.seen()+second.seen() != 1 {
		t.Fatal(answer, err, first.seen(), second.seen())
	}
}

// Only the worker's own word that it did not run frees an effectful request.
func TestEffectfulFreedByTheWorkersWord(t *testing.T) {
	full := newStandIn(t, "w1", func(_ int, _ *http.Request, connection net.Conn) {
		write(connection, "HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	})
	other := newStandIn(t, "w2", func(_ int, _ *http.Request, connection net.Conn) {
		write(connection, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
	})
	good := newStandIn(t, "w3", func(_ int, request *http.Request, connection net.Conn) { write(connection, wellDone(request, "done")) })
	server, _ := edge(t, full, other, good)
	answer, body, err := ask(t, server, "/once/x", nil)
	if err != nil || answer.StatusCode != 200 || body != "done" || good.seen() != 1 {
		t.Fatal(answer, body, err)
	}
}

func TestPromiseWhenNobodyHasRoom(t *testing.T) {
	full := newStandIn(t, "w1", func(_ int, _ *http.Request, connection net.Conn) {
		write(connection, "HTTP/1.1 503 Full\r\nLemonarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	})
	server, _ := edge(t, full)
	answer, _, err := ask(t, server, "/once/x", nil)
	if err != nil || answer.StatusCode != 503 || answer.Header.Get("Retry-After") == "" {
		t.Fatal(answer, err)
	}
}

// A cut, spoilt or doubled answer to a repeatable request is mended elsewhere.
func TestSpoiltAnswersAreMended(t *testing.T) {
	for name, text := range map[string]string{
		"garbled":  "not an answer at all\r\n\r\n",
		"no stamp": "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: attempt-1\r\nContent-Length: 2\r\n\r\nno",
		"encoded":  "HTTP/1.1 200 OK\r\nLemonarch-Server-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
		"cut":      "HTTP/1.1 200 OK\r\nLemonarch-Server-Seal: s\r\nContent-Length: 20\r\n\r\nno",
	} {
		bad := newStandIn(t, "w1", func(_ int, _ *http.Request, connection net.Conn) {
			write(connection, text)
			connection.Close()
		})
		good := newStandIn(t, "w2", func(_ int, request *http.Request, connection net.Conn) { write(connection, wellDone(request, "done")) })
		server, _ := edge(t, bad, good)
		answer, body, err := ask(t, server, "/safe/x", nil)
		if err != nil || answer.StatusCode != 200 || body != "done" {
			t.Fatal(name, answer, body, err)
		}
	}
}

// Bytes after a whole answer belong to nobody: the next request must not get them.
func TestSurplusAnswerIsNobodys(t *testing.T) {
	worker := newStandIn(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		text := wellDone(request, "for "+request.Header.Get(headerAttempt))
		write(connection, text+text)
	})
	server, _ := edge(t, worker)
	for count := 0; count < 5; count++ {
		attempt := fmt.Sprint("attempt-", count)
		answer, body, err := ask(t, server, "/safe/x", map[string]string{headerAttempt: attempt})
		if err != nil || answer.StatusCode != 200 || body != "for "+attempt {
			t.Fatal(answer, body, err)
		}
	}
}

// A late answer of an earlier request is read past, and ours comes behind it.
func TestLateAnswerIsReadPast(t *testing.T) {
	worker := newStandIn(t, "w1", func(count int, request *http.Request, connection net.Conn) {
		old := strings.Replace(wellDone(request, "old"), "attempt-1", "attempt-0", 1)
		write(connection, old+wellDone(request, "mine"))
	})
	server, _ := edge(t, worker)
	answer, body, err := ask(t, server, "/once/x", nil)
	if err != nil || answer.StatusCode != 200 || body != "mine" || worker.seen() != 1 {
		t.Fatal(answer, body, err)
	}
}

// A resumable stream that is cut after any event goes on at another worker, with
// the first one's head, and every event comes once.
func TestResumeAtEveryEvent(t *testing.T) {
	const events = 6
	for cut := 0; cut <= events; cut++ {
		script := func(limit int) func(int, *http.Request, net.Conn) {
			return func(_ int, request *http.Request, connection net.Conn) {
				from := 0
				_, _ = fmt.Sscan(request.Header.Get(headerLastEvent), &from)
				write(connection, streamHead(request))
				for id := from + 1; id <= events; id++ {
					if id > limit {
						// Half an event, then nothing more.
						write(connection, chunk(event(id)[:5]))
						connection.Close()
						return
					}
					write(connection, chunk(event(id)))
				}
				write(connection, "0\r\n\r\n")
			}
		}
		first, second := newStandIn(t, "w1", script(cut)), newStandIn(t, "w2", script(events))
		server, _ := edge(t, first, second)
		answer, body, err := ask(t, server, "/stream/x", nil)
		want := ""
		for id := 1; id <= events; id++ {
			want += event(id)
		}
		seal := "seal-w1"
		if cut == 0 {
			seal = "seal-w2"
		}
		if err != nil || answer.StatusCode != 200 || body != want || answer.Header.Get(headerSeal) != seal {
			t.Fatalf("cut at %d: %v %q %v", cut, answer, body, err)
		}
	}
}

// A stream that may not be resumed is cut for the client too, never ended cleanly.
func TestRigidStreamIsCutAsACut(t *testing.T) {
	worker := newStandIn(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		write(connection, streamHead(request)+chunk(event(1)))
		connection.Close()
	})
	second := newStandIn(t, "w2", func(int, *http.Request, net.Conn) {})
	server, _ := edge(t, worker, second)
	answer, body, err := ask(t, server, "/rigid/x", nil)
	if err == nil || answer == nil || body != event(1) || second.seen() != 0 {
		t.Fatal(answer, body, err, second.seen())
	}
}

func TestWhatIsNeverPassedOn(t *testing.T) {
	worker := newStandIn(t, "w1", func(_ int, request *http.Request, connection net.Conn) { write(connection, wellDone(request, "x")) })
	server, _ := edge(t, worker)
	if answer, _, _ := ask(t, server, "/nowhere/", nil); answer.StatusCode != 404 {
		t.Fatal(answer.StatusCode)
	}
	request, _ := http.NewRequest(http.MethodPost, server.URL+"/safe/x", strings.NewReader(strings.Repeat("x", 2000)))
	request.Host = "h.example"
	if answer, err := http.DefaultClient.Do(request); err != nil || answer.StatusCode != 413 {
		t.Fatal(answer, err)
	}
	if worker.seen() != 0 {
		t.Fatal("passed on")
	}
}

// A node that leaves still answers what it has, and tells its clients to go.
func TestDrainUnderLoad(t *testing.T) {
	begun, hold := make(chan struct{}), make(chan struct{})
	worker := newStandIn(t, "w1", func(count int, request *http.Request, connection net.Conn) {
		if count == 1 {
			close(begun)
			<-hold
		}
		write(connection, wellDone(request, "done"))
	})
	server, proxyServer := edge(t, worker)
	ended := make(chan string, 1)
	go func() {
		answer, body, err := ask(t, server, "/once/x", nil)
		ended <- fmt.Sprint(answer != nil && answer.StatusCode == 200, body, err)
	}()
	<-begun
	proxyServer.Leaving.Store(true)
	if proxyServer.Active() != 1 {
		t.Fatal("a request under way is not counted")
	}
	answer, body, err := ask(t, server, "/safe/y", nil)
	if err != nil || answer.StatusCode != 200 || body != "done" || !answer.Close {
		t.Fatal(answer, body, err)
	}
	close(hold)
	if got := <-ended; got != "true done <nil>" && got != "truedone<nil>" && got != "truedone <nil>" {
		t.Fatal(got)
	}
}
