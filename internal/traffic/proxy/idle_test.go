package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// newIdleDroppingWorker returns a worker that serves one request on each connection and resets the
// connection at the second, as if it had dropped the idle connection without closing it.
func newIdleDroppingWorker(t *testing.T, id string) *workerStub {
	t.Helper()

	served := map[net.Conn]bool{}
	var worker *workerStub
	worker = newWorkerStub(t, id, func(_ int, request *http.Request, connection net.Conn) {
		worker.lock.Lock()
		second := served[connection]
		served[connection] = true
		worker.lock.Unlock()
		if second {
			_ = connection.(*net.TCPConn).SetLinger(0)
			connection.Close()
			return
		}
		write(connection, success(request, "done"))
	})
	return worker
}

// A worker drops an idle connection. A retryable request must be sent again at once to the same worker
// without counting as a failure. A request that must not run twice must not use a connection that
// was idle for longer than the learned safe idle time.
func TestStaleIdleConnectionsAreNoWorkerFailures(t *testing.T) {
	worker := newIdleDroppingWorker(t, "w1")
	server, proxy := newProxyServer(t, worker)
	for count := 0; count < 6; count++ {
		resp, body, err := sendRequest(t, server, "/safe/x", map[string]string{headerAttempt: fmt.Sprint("safe-", count)})
		if err != nil || resp.StatusCode != 200 || body != "done" {
			t.Fatalf("retryable request %d: got %v %q %v, want 200 \"done\"", count, resp, body, err)
		}
	}
	pool := proxy.Sender.Pool
	if pool.StaleCount.Load() == 0 {
		t.Fatal("no connection was stale: the worker stub did not drop any")
	}
	safeIdle := pool.SafeIdle("s")
	if safeIdle >= constants.SafeIdle {
		t.Fatalf("safe idle time is %v, want less than %v", safeIdle, constants.SafeIdle)
	}
	suspect, failures := false, int64(0)
	proxy.Scheduler.WithLock(func() {
		health := proxy.Scheduler.Tracker.HealthOf("w1")
		suspect = health.Suspect(clock.Now())
		_, failures = health.Counts()
	})
	if suspect || failures > 0 {
		t.Fatalf("worker suspect: %v, with %d failures, after stale connections only; want false and 0", suspect, failures)
	}
	for count := 0; count < 4; count++ {
		<-clock.After(safeIdle + clock.Milliseconds(1))
		resp, body, err := sendRequest(t, server, "/once/x", map[string]string{headerAttempt: fmt.Sprint("once-", count)})
		if err != nil || resp.StatusCode != 200 || body != "done" {
			t.Fatalf("effectful request %d: got %v %q %v, want 200 \"done\"", count, resp, body, err)
		}
	}
}
