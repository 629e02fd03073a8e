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

// script answers calls one after the other, without sockets.
type script struct {
	test  *testing.T
	steps []func(request *http.Request, body []byte) (int, string)
	calls int
	hosts []string
}

func (s *script) RoundTrip(request *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(request.Body)
	if s.calls >= len(s.steps) {
		s.test.Fatal("one call too many", request.Method, request.URL)
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

func says(status int, text string) func(*http.Request, []byte) (int, string) {
	return func(*http.Request, []byte) (int, string) { return status, text }
}

func client(t *testing.T, outcomes ...func(*http.Request, []byte) (int, string)) (*Client, *script) {
	t.Helper()

	play := &script{test: t, steps: outcomes}
	return &Client{Edges: []string{"a:1", "b:1"}, Host: "h", Transport: play, Backoff: func(clock.Duration) {}}, play
}

var oneItem = Job{Requests: []Item{{ID: "i", Path: "/batch/1", Body: []byte{1, 2, 250}, Tokens: 3}}}

// After an unclear answer the same job goes to another node, unchanged.
func TestSubmitRetriesElsewhere(t *testing.T) {
	var first []byte
	c, play := client(t,
		func(_ *http.Request, body []byte) (int, string) { first = body; return 0, "" },
		says(503, ""),
		func(request *http.Request, body []byte) (int, string) {
			var job Job
			if string(body) != string(first) || json.Unmarshal(body, &job) != nil || string(job.Requests[0].Body) != "\x01\x02\xfa" ||
				request.Host != "h" || request.Header.Get("Lemonarch-Attempt-Id") != "lot" {
				t.Error("not the same lot", string(body))
			}
			return 202, ""
		})
	attempts, err := c.Submit(contexts.Background(), "lot", "/batch/x", oneItem)
	if err != nil || attempts != 3 || play.hosts[0] == play.hosts[1] || play.hosts[1] == play.hosts[2] {
		t.Fatal(attempts, err, play.hosts)
	}
}

// Refused means that every try was refused: one unclear answer forbids to say so.
func TestRejectedOnlyWhereEveryAttemptWas(t *testing.T) {
	for _, unclear := range []bool{false, true} {
		until, halt := contexts.WithCancel(contexts.Background())
		status := 429
		if unclear {
			status = 504
		}
		c, _ := client(t, says(status, ""), func(*http.Request, []byte) (int, string) { halt(); return 429, "" })
		_, err := c.Submit(until, "lot", "/batch/x", oneItem)
		if errs.Is(err, ErrRejected) == unclear || errs.Is(err, ErrOutcomeUnknown) != unclear {
			t.Fatal(unclear, err)
		}
	}
}

func TestWhatIsWrongIsNotSentAgain(t *testing.T) {
	c, _ := client(t, says(400, "no"))
	if _, err := c.Submit(contexts.Background(), "lot", "/x", oneItem); !errs.Is(err, ErrInvalidCall) {
		t.Fatal(err)
	}
	if _, err := c.Submit(contexts.Background(), "lot", "/x", Job{}); !errs.Is(err, ErrInvalidCall) {
		t.Fatal(err)
	}
}

func TestFollowReadsToTheEnd(t *testing.T) {
	c, _ := client(t,
		says(200, `{"sum":2,"next-token":1,"outputs":[{"id":"i","phase":"settled","text":"x"}]}`),
		says(503, ""),
		says(200, `{"sum":2,"next-token":1,"outputs":[]}`),
		says(200, `{"sum":2,"next-token":2,"outputs":[{"id":"j","phase":"abandoned","text":""}]}`))
	var seen []string
	err := c.Follow(contexts.Background(), "lot", 0, func(page *Page) error {
		for _, output := range page.Outputs {
			seen = append(seen, output.ID+output.Phase)
		}
		return nil
	})
	if err != nil || len(seen) != 2 || seen[1] != "jabandoned" {
		t.Fatal(err, seen)
	}
}

func TestPageThatDoesNotAddUp(t *testing.T) {
	c, _ := client(t, says(200, `{"sum":2,"next-token":2,"outputs":[{"id":"i","phase":"settled","text":"x"}]}`), says(404, ""))
	if _, err := c.Read(contexts.Background(), "lot", 0, time.Second); !errs.Is(err, ErrCorruptResponse) {
		t.Fatal(err)
	}
	if _, err := c.Read(contexts.Background(), "lot", 0, 0); !errs.Is(err, ErrInvalidCall) {
		t.Fatal(err)
	}
}
