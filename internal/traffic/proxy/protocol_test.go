package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

// firstHeader returns the header of the first request that a worker read.
func (s *workerStub) firstHeader() http.Header {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.requests[0].Header
}

// The weight versions that a worker states, in the response head and in an event, must reach the
// client byte for byte.
func TestWeightVersionsPassUnchanged(t *testing.T) {
	changed := "lemonarch-weight-versions: 8\nid: 2\ndata: b\n\n"
	worker := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
		head := strings.Replace(streamHead(request), "\r\n\r\n", "\r\nLemonarch-Weight-Versions: 7\r\n\r\n", 1)
		write(connection, head+chunk(event(1))+chunk(changed)+chunk(event(3))+"0\r\n\r\n")
	})
	server, _ := newProxyServer(t, worker)
	resp, body, err := sendRequest(t, server, "/stream/x", nil)
	if err != nil || resp.Header.Get("Lemonarch-Weight-Versions") != "7" || body != event(1)+changed+event(3) {
		t.Fatalf("got %v %v %q, want weight versions 7 in the head and the events unchanged", err, resp, body)
	}
}

// A worker closes the connection at any byte inside an event. The client must not receive a part of the
// event, and the stream must resume at another worker.
func TestConnectionClosedInsideAnEventAtEveryByte(t *testing.T) {
	for at := range len(event(2)) {
		first := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
			write(connection, streamHead(request)+chunk(event(1)))
			if at > 0 {
				write(connection, chunk(event(2)[:at]))
			}
			_ = connection.(*net.TCPConn).SetLinger(0)
			connection.Close()
		})
		second := newWorkerStub(t, "w2", func(_ int, request *http.Request, connection net.Conn) {
			from, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
			text := streamHead(request)
			for id := from + 1; id <= 3; id++ {
				text += chunk(event(id))
			}
			write(connection, text+"0\r\n\r\n")
		})
		server, _ := newProxyServer(t, first, second)
		if resp, body, err := sendRequest(t, server, "/stream/x", nil); err != nil || resp.StatusCode != 200 || body != event(1)+event(2)+event(3) {
			t.Fatalf("break at byte %d: got %v %q, want 200 and the events 1 to 3", at, err, body)
		}
	}
}

// A response without a length that ends with a reset is not complete. One that ends with an orderly close
// can't be distinguished from a truncated one. Neither may be relayed as a success.
func TestResponseWithoutLengthIsNotASuccess(t *testing.T) {
	for _, reset := range []bool{false, true} {
		worker := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
			write(connection, fmt.Sprintf("HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: %s\r\nLemonarch-Server-Seal: seal\r\nConnection: close\r\n\r\nall of it",
				request.Header.Get(headerAttempt)))
			if reset {
				// Leave time for the written bytes to be read, since a reset may discard them.
				clock.Sleep(clock.Milliseconds(20))
				_ = connection.(*net.TCPConn).SetLinger(0)
			}
			connection.Close()
		})
		server, _ := newProxyServer(t, worker)
		resp, body, err := sendRequest(t, server, "/once/x", nil)
		if err == nil && resp.StatusCode < 300 {
			t.Errorf("reset %v: got %v %q, want no success", reset, resp, body)
		}
	}
}

// At each attempt the worker must receive the model, the token counts and the prompt prefix as the
// client sent them.
func TestPromptHeadersAreForwardedUnchanged(t *testing.T) {
	header := map[string]string{headerModel: "m", headerTokens: "1460, 80", headerPrefix: "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}
	failing := newWorkerStub(t, "w1", func(_ int, _ *http.Request, connection net.Conn) { connection.Close() })
	worker := newWorkerStub(t, "w2", func(_ int, request *http.Request, connection net.Conn) { write(connection, success(request, "x")) })
	server, _ := newProxyServer(t, failing, worker)
	if resp, _, err := sendRequest(t, server, "/safe/x", header); err != nil || resp.StatusCode != 200 {
		t.Fatalf("got %v %v, want 200", resp, err)
	}
	for _, stub := range []*workerStub{failing, worker} {
		for name, value := range header {
			if got := stub.firstHeader().Get(name); got != value {
				t.Errorf("%s: %s is %q, want %q", stub.id, name, got, value)
			}
		}
	}
}

// Each attempt must state the time left at that moment.
func TestTimeLeftIsUpdatedAtEachSend(t *testing.T) {
	const sent, elapsed = 2500, 600
	slow := newWorkerStub(t, "w1", func(_ int, _ *http.Request, connection net.Conn) {
		clock.Sleep(clock.Milliseconds(elapsed))
		connection.Close()
	})
	worker := newWorkerStub(t, "w2", func(_ int, request *http.Request, connection net.Conn) { write(connection, success(request, "x")) })
	server, _ := newProxyServer(t, slow, worker)
	if resp, _, err := sendRequest(t, server, "/safe/x", map[string]string{headerTimeLeft: strconv.Itoa(sent)}); err != nil || resp.StatusCode != 200 {
		t.Fatalf("got %v %v, want 200", resp, err)
	}
	left := func(stub *workerStub) int {
		value, _ := strconv.Atoi(stub.firstHeader().Get(headerTimeLeft))
		return value
	}
	if first := left(slow); first > sent || first < sent-500 {
		t.Errorf("time left at the first attempt is %d ms, want %d to %d", first, sent-500, sent)
	}
	if second := left(worker); second > sent-elapsed/2 || second < 1 {
		t.Errorf("time left at the second attempt is %d ms, want 1 to %d", second, sent-elapsed/2)
	}
}

// After a client disconnects, the connection to its worker must be closed within half a second, and its
// request must not be sent to another worker, whether it is being processed or streamed.
func TestWorkerConnectionClosesWhenClientDisconnects(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		closedAt := make(chan clock.Instant, 1)
		worker := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
			if path == "/stream/x" {
				write(connection, streamHead(request)+chunk(event(1)))
			}
			_, _ = connection.Read(make([]byte, 1))
			closedAt <- clock.Now()
		})
		other := newWorkerStub(t, "w2", func(int, *http.Request, net.Conn) {})
		server, _ := newProxyServer(t, worker, other)
		client, err := net.Dial("tcp4", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: gone\r\nContent-Length: 2\r\n\r\nhi", path, headerAttempt)
		for worker.requestCount() == 0 {
			clock.Sleep(clock.Milliseconds(1))
		}
		disconnectedAt := clock.Now()
		client.Close()
		if elapsed := (<-closedAt).Sub(disconnectedAt); elapsed > clock.Milliseconds(500) {
			t.Errorf("%s: worker connection closed %v after the client disconnected", path, elapsed)
		}
		if other.requestCount() > 0 {
			t.Errorf("%s: sent to another worker after the client disconnected", path)
		}
	}
}

// A gateway without a configuration does not know the routes yet, so it must respond 503 rather than a
// final error such as 404.
func TestMissingConfigurationReturns503(t *testing.T) {
	scheduler := admission.New(messages.NodeInfo{Name: "n", Role: membership.RoleGateway, Zone: "h"}, 1_200_000_000)
	server := httptest.NewServer(New(Sender{Scheduler: scheduler, Pool: workerconn.NewPool()}, nil, hclog.NewNullLogger()))
	defer server.Close()
	if resp, _, err := sendRequest(t, server, "/safe/x", nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %v %v, want 503", resp, err)
	}
}

// Each service of a weighted route must get its share of 300 requests, from one gateway up to 255
// gateways with about one request each.
func TestWeightedServicesGetTheirShares(t *testing.T) {
	for _, nodes := range []int{1, 6, 60, 255} {
		for _, share := range []int{10, 50, 85} {
			route := &routeconfig.Route{Name: "r", Weighted: []routeconfig.Share{{Backend: "a", Share: float64(share)}, {Backend: "b", Share: float64(100 - share)}}}
			const requests = 300
			worst := 0
			for range 20 {
				gateways, got := make([]weightedDraws, nodes), 0
				for i := range requests {
					if gateways[i%nodes].choose(route) == "a" {
						got++
					}
				}
				want := share * requests / 100
				worst = max(worst, got-want, want-got)
			}
			// With few nodes the sequence keeps the shares even; with many, each receives one to five
			// requests and the deviation is random. The bounds are 0.02 and 0.13 of the requests.
			bound := 2 * requests / 100
			if nodes > requests/20 {
				bound = 13 * requests / 100
			}
			if worst > bound {
				t.Errorf("%d nodes, share %d%%: off by %d of %d requests, want at most %d", nodes, share, worst, requests, bound)
			}
		}
	}
}
