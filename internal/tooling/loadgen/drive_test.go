package loadgen

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/workeremulator"
)

// immediateClock is a clock whose timers fire at once and advance its time.
type immediateClock struct {
	lock sync.Mutex
	now  clock.Instant
}

func (c *immediateClock) Now() clock.Instant {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.now
}

func (c *immediateClock) After(span clock.Duration, function func()) {
	c.lock.Lock()
	c.now = c.now.Add(span)
	c.lock.Unlock()
	go function()
}

// inProcessTransport passes requests to workers in this process, without a fleet or a socket.
type inProcessTransport struct {
	model, plain *workeremulator.Worker
	// before, if not nil, is called first. If it returns a response, the worker is not called.
	before func(request *http.Request) *http.Response
}

func (t *inProcessTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.before != nil {
		if resp := t.before(request); resp != nil {
			return resp, nil
		}
	}
	request.RequestURI = request.URL.RequestURI()
	worker := t.plain
	if request.Header.Get("Lemonarch-Token-Count") != "" {
		worker = t.model
	}
	recorder := httptest.NewRecorder()
	worker.Handler().ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

var testRoutes = []routeconfig.Route{
	{Name: "query", Host: "h", Prefix: "/query/", KindName: "streaming", Resumable: true, Backend: "model", CutoffMs: 60000, SetpointMs: 60000, GapMs: 60000},
	{Name: "review", Host: "h", Prefix: "/review/", KindName: "streaming", Backend: "model", CutoffMs: 60000, SetpointMs: 60000, GapMs: 60000},
	{Name: "confirm", Host: "h", Prefix: "/confirm/", KindName: "effectful", Backend: "clerk", CutoffMs: 60000, SetpointMs: 60000},
	{Name: "status", Host: "h", Prefix: "/status/", KindName: "idempotent", Backend: "clerk", CutoffMs: 60000, SetpointMs: 60000},
}

// runWithWorkers sends the requests of a short load one by one to two emulated workers with the
// given faults, and compares the attempts with the workers' runs.
func runWithWorkers(t *testing.T, faults workeremulator.Faults, before func(request *http.Request) *http.Response) *Result {
	t.Helper()
	shape := workeremulator.Shape{Capacity: 8, Queue: 4, CacheTokens: 60_000, ReadPerMs: 100, Step: time.Millisecond, Stride: 4}
	record, testClock := &workeremulator.Record{}, &immediateClock{now: clock.Instant(time.Second)}
	transport := &inProcessTransport{before: before}
	transport.model = workeremulator.NewWorker(workeremulator.Settings{ID: "w1", Service: "model", Model: "m", Shape: shape}, record, testClock, 1)
	transport.plain = workeremulator.NewWorker(workeremulator.Settings{ID: "w2", Service: "clerk", Work: time.Millisecond, Shape: workeremulator.Shape{Capacity: 8}}, record, testClock, 2)
	transport.model.SetFaults(faults)
	transport.plain.SetFaults(faults)
	options := NewOptions()
	options.Count, options.For = 60, time.Hour
	info := &lab.FleetInfo{Label: "test", Ingress: []string{"n1", "n2"}, Stride: 4, Routes: testRoutes}
	options.JobRate = 0
	routes, err := options.routesOf(info)
	if err != nil {
		t.Fatal(err)
	}
	load := newRun(options, info, routes, "t-")
	load.client, load.pause = transport, func(clock.Duration) {}
	for _, due := range schedule(&options, routes, 2) {
		load.sendWithRetries(due.spec)
	}
	runs, _ := record.WithPrefix("t-")
	load.compareRuns(runs, nil)
	load.result.Finalize()
	return load.result
}

func countFindings(result *Result, rule string) int {
	count := 0
	for _, finding := range result.Findings {
		if finding.Rule == rule {
			count++
		}
	}
	return count
}

func TestCorrectWorkersGiveNoFindings(t *testing.T) {
	result := runWithWorkers(t, workeremulator.Faults{}, nil)
	if result.Broken != 0 || result.Served() != 60 || result.Worth != 1 || result.Runs != 60 {
		t.Fatalf("got findings %v, %d served, worth %v, %d runs, failures %v; want no findings, 60 served, worth 1, 60 runs",
			result.Findings, result.Served(), result.Worth, result.Runs, result.Causes)
	}
}

// TestFaultyWorkersAreReported checks that each fault of the workers leads to a finding of the rule that
// it violates.
func TestFaultyWorkersAreReported(t *testing.T) {
	for rule, faults := range map[string]workeremulator.Faults{"TWICE": {Twice: 1}, "ORDER": {Skip: 1}, "MIXED": {Forge: 1}} {
		result := runWithWorkers(t, faults, nil)
		if result.Broken == 0 || countFindings(result, rule) == 0 {
			t.Errorf("got findings %v, want one of rule %s", result.Findings, rule)
		}
	}
}

func response(status int, header ...string) *http.Response {
	recorder := httptest.NewRecorder()
	for i := 0; i+1 < len(header); i += 2 {
		recorder.Header().Set(header[i], header[i+1])
	}
	recorder.WriteHeader(status)
	return recorder.Result()
}

// TestRetriesByStatus checks which requests are retried. A 503 promises that the request has not run, so
// every kind is retried; after a 502 only kinds that may run more than once are retried, after a 400
// none. Each attempt has an id of its own.
func TestRetriesByStatus(t *testing.T) {
	for status, want := range map[int]string{503: "failed 0", 502: "failed confirm review", 400: "failed confirm query review status"} {
		sent := map[string]bool{}
		result := runWithWorkers(t, workeremulator.Faults{}, func(request *http.Request) *http.Response {
			attempt := request.Header.Get("Lemonarch-Attempt-Id")
			if sent[attempt] {
				t.Errorf("status %d: attempt id %s was sent twice, want a new one for each attempt", status, attempt)
			}
			sent[attempt] = true
			if strings.HasSuffix(attempt, "-1") {
				return response(status)
			}
			return nil
		})
		got := "failed"
		for _, kind := range result.Kinds {
			if kind.Failed == kind.Sent {
				got += " " + kind.Name
			}
		}
		if got == "failed" {
			got = fmt.Sprint("failed ", 60-result.Served())
		}
		if got != want || result.Broken != 0 {
			t.Errorf("status %d: got %q and findings %v, want %q and no findings", status, got, result.Findings, want)
		}
	}
}

// TestInventedSuccessIsFound checks that a successful response that no worker sent is found by comparison
// with the workers' runs.
func TestInventedSuccessIsFound(t *testing.T) {
	result := runWithWorkers(t, workeremulator.Faults{}, func(request *http.Request) *http.Response {
		attempt := request.Header.Get("Lemonarch-Attempt-Id")
		if !strings.HasPrefix(request.URL.Path, "/status/") {
			return nil
		}
		recorder := httptest.NewRecorder()
		recorder.Header().Set("Lemonarch-Attempt-Id", attempt)
		recorder.Header().Set("Lemonarch-Server-Seal", workeremulator.Seal("w2", attempt))
		_, _ = recorder.WriteString(workeremulator.PlainBody(attempt, []byte("order "+strings.TrimPrefix(request.URL.Path, "/status/"))))
		return recorder.Result()
	})
	if countFindings(result, "MIXED") == 0 {
		t.Fatal("no MIXED finding for responses without a run")
	}
}

// TestScheduleFollowsItsSeed checks that the same seed draws the same requests, and another seed other
// requests.
func TestScheduleFollowsItsSeed(t *testing.T) {
	options := NewOptions()
	routes := map[string]*routeconfig.Route{}
	text := func(seed int64) string {
		options.Seed = seed
		drawn := ""
		for _, due := range schedule(&options, routes, 3) {
			drawn += fmt.Sprint(due.at, due.spec.kind, due.spec.node, due.spec.prompt)
		}
		return drawn
	}
	if first, again := text(1), text(1); first != again || first == text(2) {
		t.Fatal("schedule does not depend on the seed alone")
	}
	if count := len(schedule(&options, routes, 3)); count < 500 || count > 700 {
		t.Fatal("want 500 to 700 requests for a rate of 40 a second and 15 s, got", count)
	}
}
