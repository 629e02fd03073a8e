package jobclient

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/errs"
)

// script is an http.RoundTripper that plays its steps in order, without sockets. A step that
// returns status 0 simulates a broken connection.
type script struct {
	test  *testing.T
	steps []func(request *http.Request, body []byte) (int, string)
	calls int
	hosts []string
}

func (s *script) RoundTrip(request *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(request.Body)
	if s.calls >= len(s.steps) {
		s.test.Fatalf("%s %s was called after the last step of the script", request.Method, request.URL)
	}
	step := s.steps[s.calls]
	s.calls++
	s.hosts = append(s.hosts, request.URL.Host)
	status, text := step(request, body)
	if status == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	recorder := httptest.NewRecorder()
	recorder.WriteHeader(status)
	_, _ = recorder.WriteString(text)
	return recorder.Result(), nil
}

func respondWith(status int, text string) func(*http.Request, []byte) (int, string) {
	return func(*http.Request, []byte) (int, string) { return status, text }
}

// client returns a client of two gateways, and the transport that plays the steps.
func client(t *testing.T, steps ...func(*http.Request, []byte) (int, string)) (*Client, *script) {
	t.Helper()

	transport := &script{test: t, steps: steps}
	return &Client{Gateways: []string{"a:1", "b:1"}, Host: "h", Transport: transport, Backoff: func(clock.Duration) {}}, transport
}

var oneItem = Job{Requests: []Item{{ID: "i", Path: "/batch/1", Body: []byte{1, 2, 250}, Tokens: 3}}}

// After an inconclusive response the same job is sent to another gateway, unchanged.
func TestSubmitRetriesAtTheNextGateway(t *testing.T) {
	var first []byte
	c, transport := client(t,
		func(_ *http.Request, body []byte) (int, string) { first = body; return 0, "" },
		respondWith(503, ""),
		func(request *http.Request, body []byte) (int, string) {
			var job Job
			if string(body) != string(first) || json.Unmarshal(body, &job) != nil || string(job.Requests[0].Body) != "\x01\x02\xfa" ||
				request.Host != "h" || request.Header.Get("Lemonarch-Attempt-Id") != "lot" {
				t.Errorf("third attempt sent host %q, id %q and body %q, want h, lot and the body of the first attempt, %q",
					request.Host, request.Header.Get("Lemonarch-Attempt-Id"), body, first)
			}
			return 202, ""
		})
	attempts, err := c.Submit(contexts.Background(), "lot", "/batch/x", oneItem)
	if err != nil || attempts != 3 || transport.hosts[0] == transport.hosts[1] || transport.hosts[1] == transport.hosts[2] {
		t.Fatalf("Submit made %d attempts at %v and returned error %v, want 3 attempts, each at another gateway than the one before, and no error",
			attempts, transport.hosts, err)
	}
}

// Submit returns ErrRejected only if every attempt was rejected. After one inconclusive attempt
// the job may have been accepted.
func TestSubmitRejectedOnlyIfEveryAttemptWas(t *testing.T) {
	for _, inconclusive := range []bool{false, true} {
		ctx, cancel := contexts.WithCancel(contexts.Background())
		status := 429
		if inconclusive {
			status = 504
		}
		c, _ := client(t, respondWith(status, ""), func(*http.Request, []byte) (int, string) { cancel(); return 429, "" })
		_, err := c.Submit(ctx, "lot", "/batch/x", oneItem)
		if errs.Is(err, ErrRejected) == inconclusive || errs.Is(err, ErrOutcomeUnknown) != inconclusive {
			t.Fatalf("first attempt inconclusive: %t; got error %v, want outcome unknown if it was and a rejection if not",
				inconclusive, err)
		}
	}
}

func TestInvalidCallIsNotRetried(t *testing.T) {
	c, _ := client(t, respondWith(400, "no"))
	if _, err := c.Submit(contexts.Background(), "lot", "/x", oneItem); !errs.Is(err, ErrInvalidCall) {
		t.Fatalf("Submit with response 400 returned error %v, want an invalid call", err)
	}
	if _, err := c.Submit(contexts.Background(), "lot", "/x", Job{}); !errs.Is(err, ErrInvalidCall) {
		t.Fatalf("Submit of a job without items returned error %v, want an invalid call", err)
	}
}

// Follow must not stop at a failed read or an empty page: the results after it would be missing.
func TestFollowReadsToTheEnd(t *testing.T) {
	c, _ := client(t,
		respondWith(200, `{"sum":2,"next-token":1,"outputs":[{"id":"i","phase":"settled","text":"x"}]}`),
		respondWith(503, ""),
		respondWith(200, `{"sum":2,"next-token":1,"outputs":[]}`),
		respondWith(200, `{"sum":2,"next-token":2,"outputs":[{"id":"j","phase":"abandoned","text":""}]}`))
	var phases []string
	err := c.Follow(contexts.Background(), "lot", 0, func(page *Page) error {
		for _, output := range page.Outputs {
			phases = append(phases, output.ID+output.Phase)
		}
		return nil
	})
	if err != nil || len(phases) != 2 || phases[1] != "jabandoned" {
		t.Fatalf("Follow returned error %v, ids with phases %v; want no error and two outputs, the second jabandoned",
			err, phases)
	}
}

// A client continues at the next position of a page. If that does not match the number of outputs, it
// would skip results or read them twice, so the page must be an error.
func TestReadRejectsInconsistentPage(t *testing.T) {
	c, _ := client(t, respondWith(200, `{"sum":2,"next-token":2,"outputs":[{"id":"i","phase":"settled","text":"x"}]}`), respondWith(404, ""))
	if _, err := c.Read(contexts.Background(), "lot", 0, time.Second); !errs.Is(err, ErrCorruptResponse) {
		t.Fatalf("Read of an inconsistent page returned error %v, want a corrupt response", err)
	}
	if _, err := c.Read(contexts.Background(), "lot", 0, 0); !errs.Is(err, ErrInvalidCall) {
		t.Fatalf("Read with response 404 returned error %v, want an invalid call", err)
	}
}
