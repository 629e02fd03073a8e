package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// forgetful serves one request on each connection and resets it when it meets another:
// it has forgotten the connection without a word.
func newForgetfulWorker(t *testing.T, id string) *workerStub {
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
		write(connection, successResponse(request, "done"))
	})
	return worker
}

// A forgotten connection: what may be repeated goes again at once to the same worker, which
// is not blamed, and what must not run twice doesn't ride on a connection that lay idle for
// longer than such connections are known to last.
func TestStaleIdleConnections(t *testing.T) {
	worker := newForgetfulWorker(t, "w1")
	server, proxy := newProxyServer(t, worker)
	for count := 0; count < 6; count++ {
		resp, body, err := sendRequest(t, server, "/safe/x", map[string]string{headerAttempt: fmt.Sprint("safe-", count)})
		if err != nil || resp.StatusCode != 200 || body != "done" {
			t.Fatal(count, resp, body, err)
		}
	}
	pool := proxy.Sender.Pool
	if pool.StaleCount.Load() == 0 {
		t.Fatal("no connection was forgotten: the stand-in does not do its part")
	}
	safe := pool.SafeIdle("s")
	if safe >= constants.SafeIdle {
		t.Fatal("nothing was learnt: ", safe)
	}
	suspect, failures := false, int64(0)
	proxy.Scheduler.Locked(func() {
		health := proxy.Scheduler.Tracker.Of("w1")
		suspect = health.Suspect(clock.Now())
		_, failures = health.Counts()
	})
	if suspect || failures > 0 {
		t.Fatal("a forgotten connection was held against the worker")
	}
	for count := 0; count < 4; count++ {
		<-clock.After(safe + clock.Milliseconds(1))
		resp, body, err := sendRequest(t, server, "/once/x", map[string]string{headerAttempt: fmt.Sprint("once-", count)})
		if err != nil || resp.StatusCode != 200 || body != "done" {
			t.Fatal(count, resp, body, err)
		}
	}
}
