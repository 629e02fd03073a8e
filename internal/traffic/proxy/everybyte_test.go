package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/faultrelay"
)

// everyByte is set for runs that leave no byte out.
const everyByte = "LEMONARCH_EVERY_BYTE"

// call is one case: a kind of request on a fresh or a rested connection, and a strike.
type faultCase struct {
	path   string
	reused bool
	strike faultrelay.Strike
}

func (c *faultCase) String() string {
	return fmt.Sprintf("%s rested=%v %s answer=%v at=%d", c.path, c.reused, c.strike.Fault, c.strike.Response, c.strike.At)
}

// serveComplete answers every request completely, by the kind of its path.
func serveComplete(_ int, request *http.Request, connection net.Conn) {
	if strings.HasPrefix(request.RequestURI, "/rigid/") || strings.HasPrefix(request.RequestURI, "/stream/") {
		write(connection, streamHead(request)+chunk(event(1))+chunk(event(2))+"0\r\n\r\n")
		return
	}
	write(connection, successResponse(request, "for "+request.Header.Get(headerAttempt)))
}

func completeResponse(path, attempt string) string {
	if path == "/rigid/x" || path == "/stream/x" {
		return event(1) + event(2)
	}
	return "for " + attempt
}

// stage is two workers behind relays, and the node in front of them.
type testbed struct {
	workers [2]*workerStub
	relays  [2]*faultrelay.Relay
	node    *httptest.Server
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()

	s := &testbed{}
	for i := range s.workers {
		s.workers[i] = newWorkerStub(t, fmt.Sprint("w", i+1), serveComplete)
		relay, err := faultrelay.New(s.workers[i].listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s.relays[i] = relay
	}
	s.start(t)
	return s
}

// start starts a node that knows nothing of an earlier one.
func (s *testbed) start(t *testing.T) {
	t.Helper()

	var list []messages.Worker
	for i, worker := range s.workers {
		list = append(list, messages.Worker{ID: worker.id, Address: s.relays[i].Address()})
	}
	s.node, _ = newProxyServerFor(t, list)
}

// settle ends the relays and waits until the workers have read all that will ever come.
func (s *testbed) settle(t *testing.T) {
	t.Helper()

	for i := range s.workers {
		s.relays[i].End()
		s.workers[i].drain(t)
	}
}

func (s *testbed) ran(attempt string) int {
	return s.workers[0].ran(attempt) + s.workers[1].ran(attempt)
}

// promised tells whether a status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// play runs one case and gives what it broke.
func (c *faultCase) run(t *testing.T) string {
	t.Helper()

	stage := newTestbed(t)
	if c.reused {
		for i := 0; i < 2; i++ {
			if resp, _, err := sendRequest(t, stage.node, "/safe/x", map[string]string{headerAttempt: fmt.Sprint("first-", i)}); err != nil || resp.StatusCode != 200 {
				return fmt.Sprint("no calm start: ", resp, err)
			}
		}
	}
	struck := c.strike
	stage.relays[0].Arm(&struck)
	headers := map[string]string{headerAttempt: "probe"}
	if struck.Fault == faultrelay.Drop || struck.Fault == faultrelay.Freeze {
		headers[headerTimeLeft] = "120"
	}
	resp, body, err := sendRequest(t, stage.node, c.path, headers)
	if struck.Fault == faultrelay.Restart {
		stage.node.Close()
		stage.start(t)
	}
	stage.relays[0].Thaw()
	next, nextBody, nextErr := sendRequest(t, stage.node, "/safe/x", map[string]string{headerAttempt: "next"})
	stage.settle(t)
	return c.check(stage.ran("probe"), resp, body, err) + c.checkNext(next, nextBody, nextErr)
}

func (c *faultCase) check(ran int, resp *http.Response, body string, err error) string {
	retryable := c.path == "/safe/x" || c.path == "/stream/x"
	switch {
	case !retryable && ran > 1:
		return fmt.Sprintf("ran %d times", ran)
	case err != nil:
		return ""
	case ran > 0 && promisesNotRun(resp.StatusCode):
		return fmt.Sprintf("ran, and answered %d", resp.StatusCode)
	case resp.StatusCode == 200 && (body != completeResponse(c.path, "probe") || resp.Header.Get(headerAttempt) != "probe"):
		return fmt.Sprintf("answered %q for %q", body, resp.Header.Get(headerAttempt))
	}
	return ""
}

func (c *faultCase) checkNext(resp *http.Response, body string, err error) string {
	if err == nil && resp.StatusCode == 200 && (body != "for next" || resp.Header.Get(headerAttempt) != "next") {
		return fmt.Sprintf("the next one got %q", body)
	}
	return ""
}

// lengths measures a request and its response on the wire.
func measureLengths(t *testing.T, path string) (request, resp int) {
	t.Helper()

	stage := newTestbed(t)
	stage.relays[0].Arm(nil)
	if _, _, err := sendRequest(t, stage.node, path, map[string]string{headerAttempt: "probe"}); err != nil {
		t.Fatal(err)
	}
	stage.settle(t)
	return stage.relays[0].Counts()
}

// stepOf says which bytes are struck: every one by a cut or a reset of what may not be
// repeated, and otherwise some.
func byteStep(path string, fault faultrelay.Fault) int {
	broken := fault == faultrelay.Close || fault == faultrelay.Reset
	switch {
	case os.Getenv(everyByte) != "", broken && path == "/once/x":
		return 1
	case broken && path == "/rigid/x":
		return 5
	}
	return 23
}

// restedAt says on which connections a byte is struck: both on demand, else by turns.
func connectionCases(i int, fault faultrelay.Fault) []bool {
	if os.Getenv(everyByte) != "" {
		return []bool{false, true}
	}
	return []bool{(i+int(fault))%2 == 0}
}

// Whatever befalls the connection to the worker, at whichever byte of the request or of
// the response, on a fresh or on a rested one: what may not be repeated runs once at most,
// what ran is never rejected as if it had not, a success is complete and the caller's own,
// and so is the next caller's.
func TestFaultAtEveryByte(t *testing.T) {
	var calls []faultCase
	for _, path := range []string{"/once/x", "/rigid/x", "/safe/x", "/stream/x"} {
		requestLength, answerLength := measureLengths(t, path)
		for _, fault := range faultrelay.Faults() {
			for i := 0; i < requestLength+answerLength; i += byteStep(path, fault) {
				struck := faultrelay.Strike{Fault: fault, At: i}
				if i >= requestLength {
					struck.Response, struck.At = true, i-requestLength
				} else if fault == faultrelay.Double {
					// A network does not send the bytes of a connection twice to a worker.
					continue
				}
				for _, rested := range connectionCases(i, fault) {
					calls = append(calls, faultCase{path, rested, struck})
				}
			}
		}
	}
	t.Logf("%d cases", len(calls))
	t.Run("cases", func(t *testing.T) {
		for _, entry := range calls {
			t.Run(entry.String(), func(t *testing.T) {
				t.Parallel()
				if broken := entry.run(t); broken != "" {
					t.Error(broken)
				}
			})
		}
	})
}
