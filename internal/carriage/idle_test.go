package carriage

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/watch"
)

// forgetful serves one request on each connection and resets it when it meets another:
// it has forgotten the pipe without a word.
func forgetful(test *testing.T, id string) *standIn {
	served := map[net.Conn]bool{}
	var worker *standIn
	worker = newStandIn(test, id, func(_ int, request *http.Request, connection net.Conn) {
		worker.lock.Lock()
		second := served[connection]
		served[connection] = true
		worker.lock.Unlock()
		if second {
			_ = connection.(*net.TCPConn).SetLinger(0)
			connection.Close()
			return
		}
		write(connection, wellDone(request, "done"))
	})
	return worker
}

// A forgotten pipe: what may be repeated goes again at once to the same worker, which
// is not blamed, and what must not run twice doesn't ride on a pipe that lay idle for
// longer than such pipes are known to last.
func TestForgottenPipes(test *testing.T) {
	worker := forgetful(test, "w1")
	server, carriage := edge(test, worker)
	for count := 0; count < 6; count++ {
		answer, body, failure := ask(test, server, "/safe/x", nil)
		if failure != nil || answer.StatusCode != 200 || body != "done" {
			test.Fatal(count, answer, body, failure)
		}
	}
	chest := carriage.Courier.Chest
	if chest.Forgot.Load() == 0 {
		test.Fatal("no pipe was forgotten: the stand-in does not do its part")
	}
	safe := chest.SafeIdle("s")
	if safe >= almanac.SafeIdle {
		test.Fatal("nothing was learnt: ", safe)
	}
	suspect, failures := false, int64(0)
	carriage.Bench.Locked(func() {
		vitals := carriage.Bench.Gauge.Of("w1")
		suspect = vitals.Suspect(watch.Now())
		_, failures = vitals.Counts()
	})
	if suspect || failures > 0 {
		test.Fatal("a forgotten pipe was held against the worker")
	}
	for count := 0; count < 4; count++ {
		<-watch.After(safe + watch.Milliseconds(1))
		answer, body, failure := ask(test, server, "/once/x", map[string]string{headerAttempt: fmt.Sprint("once-", count)})
		if failure != nil || answer.StatusCode != 200 || body != "done" {
			test.Fatal(count, answer, body, failure)
		}
	}
}
