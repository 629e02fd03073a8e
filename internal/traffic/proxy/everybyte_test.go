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

// everyByte is the environment variable that selects faults at every byte instead of a sample.
const everyByte = "LEMONARCH_EVERY_BYTE"

// faultCase is one case: a request by its path, on a new or a reused connection, and a fault.
type faultCase struct {
	path      string
	reused    bool
	injection faultrelay.Injection
}

func (c *faultCase) String() string {
	return fmt.Sprintf("%s reused=%v %s response=%v at=%d", c.path, c.reused, c.injection.Fault, c.injection.Response, c.injection.At)
}

// serveComplete sends a complete response to a request: an event stream if its path is that of a
// streaming route, otherwise a plain one.
func serveComplete(_ int, request *http.Request, connection net.Conn) {
	if strings.HasPrefix(request.RequestURI, "/rigid/") || strings.HasPrefix(request.RequestURI, "/stream/") {
		write(connection, streamHead(request)+chunk(event(1))+chunk(event(2))+"0\r\n\r\n")
		return
	}
	write(connection, success(request, "for "+request.Header.Get(headerAttempt)))
}

func completeResponse(path, attempt string) string {
	if path == "/rigid/x" || path == "/stream/x" {
		return event(1) + event(2)
	}
	return "for " + attempt
}

// testbed is two workers behind fault-injecting relays, and a proxy in front of them.
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

// start starts a proxy without any state of an earlier one.
func (s *testbed) start(t *testing.T) {
	t.Helper()

	var list []messages.Worker
	for i, worker := range s.workers {
		list = append(list, messages.Worker{ID: worker.id, Address: s.relays[i].Address()})
	}
	s.node, _ = newProxyServerFor(t, list)
}

// closeAndDrain stops the relays and waits until the workers have read everything that was sent to them.
func (s *testbed) closeAndDrain(t *testing.T) {
	t.Helper()

	for i := range s.workers {
		s.relays[i].Close()
		s.workers[i].drain(t)
	}
}

// ran returns how often the workers have read a request completely.
func (s *testbed) ran(attempt string) int {
	return s.workers[0].ran(attempt) + s.workers[1].ran(attempt)
}

// promisesNotRun reports whether a status promises that the request has not run and will not run.
func promisesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// run runs one case and returns a description of the violation, or an empty string.
func (c *faultCase) run(t *testing.T) string {
	t.Helper()

	bed := newTestbed(t)
	if c.reused {
		for i := 0; i < 2; i++ {
			if resp, _, err := sendRequest(t, bed.node, "/safe/x", map[string]string{headerAttempt: fmt.Sprint("first-", i)}); err != nil || resp.StatusCode != 200 {
				return fmt.Sprint("request before the fault failed: ", resp, err)
			}
		}
	}
	injection := c.injection
	bed.relays[0].Arm(&injection)
	headers := map[string]string{headerAttempt: "probe"}
	if injection.Fault == faultrelay.Drop || injection.Fault == faultrelay.Freeze {
		headers[headerTimeLeft] = "120"
	}
	resp, body, err := sendRequest(t, bed.node, c.path, headers)
	if injection.Fault == faultrelay.Restart {
		bed.node.Close()
		bed.start(t)
	}
	bed.relays[0].Thaw()
	next, nextBody, nextErr := sendRequest(t, bed.node, "/safe/x", map[string]string{headerAttempt: "next"})
	bed.closeAndDrain(t)
	return c.check(bed.ran("probe"), resp, body, err) + c.checkNext(next, nextBody, nextErr)
}

// check returns how the response to the request with the fault violates the protocol, or an empty string.
func (c *faultCase) check(ran int, resp *http.Response, body string, err error) string {
	retryable := c.path == "/safe/x" || c.path == "/stream/x"
	switch {
	case !retryable && ran > 1:
		return fmt.Sprintf("request ran %d times", ran)
	case err != nil:
		return ""
	case ran > 0 && promisesNotRun(resp.StatusCode):
		return fmt.Sprintf("request ran, but got status %d", resp.StatusCode)
	case resp.StatusCode == 200 && (body != completeResponse(c.path, "probe") || resp.Header.Get(headerAttempt) != "probe"):
		return fmt.Sprintf("got body %q with attempt id %q", body, resp.Header.Get(headerAttempt))
	}
	return ""
}

// checkNext checks the response to the request after the fault in the same way.
func (c *faultCase) checkNext(resp *http.Response, body string, err error) string {
	if err == nil && resp.StatusCode == 200 && (body != "for next" || resp.Header.Get(headerAttempt) != "next") {
		return fmt.Sprintf("the next request got body %q", body)
	}
	return ""
}

// measureLengths returns the lengths of a request and its response on the wire, in bytes.
func measureLengths(t *testing.T, path string) (request, resp int) {
	t.Helper()

	bed := newTestbed(t)
	bed.relays[0].Arm(nil)
	if _, _, err := sendRequest(t, bed.node, path, map[string]string{headerAttempt: "probe"}); err != nil {
		t.Fatal(err)
	}
	bed.closeAndDrain(t)
	return bed.relays[0].Counts()
}

// byteStep returns the distance between the bytes at which a fault is injected: 1 if every byte is
// tested and for a close or a reset of an effectful request, and otherwise more, to save time.
func byteStep(path string, fault faultrelay.Fault) int {
	closesConnection := fault == faultrelay.Close || fault == faultrelay.Reset
	switch {
	case os.Getenv(everyByte) != "", closesConnection && path == "/once/x":
		return 1
	case closesConnection && path == "/rigid/x":
		return 5
	}
	return 23
}

// connectionCases returns whether to use a new (false) or a reused (true) connection: both if every byte
// is tested, otherwise alternating.
func connectionCases(i int, fault faultrelay.Fault) []bool {
	if os.Getenv(everyByte) != "" {
		return []bool{false, true}
	}
	return []bool{(i+int(fault))%2 == 0}
}

// Injects each fault into the connection to the worker, at bytes of the request and of the response,
// on a new and on a reused connection. A request that must not be repeated must run once at most, one
// that ran must not be rejected as if it had not run, and a success must be complete and belong to its
// request. The same holds for the response to the next request.
func TestFaultAtEveryByte(t *testing.T) {
	var cases []faultCase
	for _, path := range []string{"/once/x", "/rigid/x", "/safe/x", "/stream/x"} {
		requestLength, responseLength := measureLengths(t, path)
		for _, fault := range faultrelay.Faults() {
			for i := 0; i < requestLength+responseLength; i += byteStep(path, fault) {
				injection := faultrelay.Injection{Fault: fault, At: i}
				if i >= requestLength {
					injection.Response, injection.At = true, i-requestLength
				} else if fault == faultrelay.Duplicate {
					// A network does not deliver the bytes of a connection to a worker twice.
					continue
				}
				for _, reused := range connectionCases(i, fault) {
					cases = append(cases, faultCase{path, reused, injection})
				}
			}
		}
	}
	t.Logf("%d cases", len(cases))
	t.Run("cases", func(t *testing.T) {
		for _, testCase := range cases {
			t.Run(testCase.String(), func(t *testing.T) {
				t.Parallel()
				if violation := testCase.run(t); violation != "" {
					t.Error(violation)
				}
			})
		}
	})
}
