package workeremulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lemonarch/internal/platform/clock"
)

// immediateClock is a clock that does not wait: a scheduled function runs immediately, with the
// clock set forward.
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

var engineSettings = Settings{ID: "w1", Service: "s", Model: "m", Probe: "/health", Revision: 1, Shape: smallShape}
var plainSettings = Settings{ID: "w1", Service: "s", Probe: "/health", Work: 10 * time.Millisecond, Shape: Shape{Capacity: 4, Queue: 2}}

func start(t *testing.T, settings Settings) (*Worker, *Record, string, *immediateClock) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	record, clockValue := &Record{}, &immediateClock{now: clock.Instant(time.Second)}
	worker := NewWorker(settings, record, clockValue, 1)
	go worker.Serve(listener)
	t.Cleanup(worker.Crash)
	return worker, record, listener.Addr().String(), clockValue
}

func post(address, attempt string, header ...string) (*http.Response, string, error) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/a/b", strings.NewReader("body"))
	request.Header.Set(headerAttempt, attempt)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// TestStreamSealAndRecord checks that a resumed stream starts after the client's last event, has its
// headers and seal, and is recorded as one run.
func TestStreamSealAndRecord(t *testing.T) {
	_, record, address, _ := start(t, engineSettings)
	resp, body, err := post(address, "one", headerTokens, "20,12", headerPrefix, "a:10", headerModel, "m", headerTarget, "w1", headerLastEventID, "1")
	want := fmt.Sprintf("id: 2\ndata: %s\n\nid: 3\ndata: %s\n\n", EventData("one", 2), EventData("one", 3))
	if err != nil || body != want || resp.Header.Get(headerAttempt) != "one" || resp.Header.Get(headerLoad) == "" || resp.Header.Get("Keep-Alive") == "" {
		t.Fatalf("response %v with body %q and error %v, want body %q and the attempt, load and Keep-Alive headers", resp, body, err, want)
	}
	if worker, valid := VerifySeal(resp.Header.Get(headerSeal), "one"); !valid || worker != "w1" {
		t.Fatalf("response headers %v, want a valid seal of worker w1", resp.Header)
	}
	runs, _ := record.WithPrefix("on")
	if len(runs) != 1 || runs[0].From != 1 || runs[0].Path != "/a/b" || runs[0].Body != BodySum([]byte("body")) {
		t.Fatalf("runs %+v, want one of /a/b after event 1 with the checksum of the body", runs)
	}
}

// TestNotExecutedIsReported checks that a request that the worker rejects is marked as not executed and
// is not recorded as a run.
func TestNotExecutedIsReported(t *testing.T) {
	worker, record, address, _ := start(t, plainSettings)
	for name, header := range map[string][]string{
		"target": {headerTarget, "w2"}, "revision": {headerRevision, "7"}, "late": {headerTimeLeft, "0"},
	} {
		resp, _, err := post(address, "one", header...)
		if err != nil || resp.Header.Get(headerNotExecuted) == "" {
			t.Fatalf("%s: response %v and error %v, want one marked as not executed", name, resp, err)
		}
	}
	worker.SetFaults(Faults{Full: 1})
	if resp, _, err := post(address, "one"); err != nil || resp.StatusCode != 503 || resp.Header.Get(headerNotExecuted) == "" {
		t.Fatalf("full worker: response %v and error %v, want 503 marked as not executed", resp, err)
	}
	if resp, _, err := post(address, ""); err != nil || resp.StatusCode != 400 {
		t.Fatalf("request without an attempt id: response %v and error %v, want 400", resp, err)
	}
	if runs, _ := record.WithPrefix(""); len(runs) != 0 {
		t.Fatalf("runs %+v, want none", runs)
	}
}

// TestHealthCheckAndLyingFault checks that the health check reports a worker that does not drain as
// healthy, and that the fault inverts this.
func TestHealthCheckAndLyingFault(t *testing.T) {
	worker, _, address, _ := start(t, plainSettings)
	get := func(path string) (int, string, http.Header) {
		resp, err := http.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body), resp.Header
	}
	if status, _, header := get("/health"); status != 200 || header.Get(headerID) != "w1" || header.Get(headerLoad) == "" {
		t.Fatalf("health check: status %d with headers %v, want 200 with worker id and load", status, header)
	}
	worker.SetFaults(Faults{Lying: true})
	if status, _, _ := get("/health"); status != 503 {
		t.Fatalf("health check of a lying worker: status %d, want 503", status)
	}
	worker.Drain()
	if status, _, _ := get("/health"); status != 200 {
		t.Fatalf("health check of a lying worker that drains: status %d, want 200", status)
	}
	var received report
	if _, body, _ := get("/-/report"); json.Unmarshal([]byte(body), &received) != nil || received.Stage != "both" {
		t.Fatalf("report %q, want JSON with stage both", body)
	}
}

// TestBrokenResponses checks that each fault breaks the response in the way that its name says.
func TestBrokenResponses(t *testing.T) {
	worker, record, address, _ := start(t, plainSettings)
	worker.SetFaults(Faults{Fail: 1})
	if resp, _, err := post(address, "fail"); err != nil || resp.StatusCode != 500 || resp.Header.Get(headerNotExecuted) != "" {
		t.Fatalf("fault fail: response %v and error %v, want 500 not marked as not executed", resp, err)
	}
	worker.SetFaults(Faults{Never: 1})
	if resp, _, err := post(address, "never"); err != nil || resp.StatusCode != 422 || resp.Header.Get(headerNotExecuted) != "" {
		t.Fatalf("fault never: response %v and error %v, want 422 not marked as not executed", resp, err)
	}
	worker.SetFaults(Faults{Cut: 1})
	if _, body, err := post(address, "cut"); err == nil {
		t.Fatalf("fault cut: body %q was read without error, want an error", body)
	}
	worker.SetFaults(Faults{Garble: 1})
	if resp, _, err := post(address, "garble"); err == nil {
		t.Fatalf("fault garble: response %v without error, want an error", resp)
	}
	worker.SetFaults(Faults{Surplus: 1})
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, "POST /x HTTP/1.1\r\nHost: h\r\n%s: twice\r\nContent-Length: 0\r\n\r\n", headerAttempt)
	reader := bufio.NewReader(connection)
	for count := 0; count < 2; count++ {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.Header.Get(headerAttempt) != "twice" {
			t.Fatalf("fault surplus: response %d (from 0) is %v with error %v, want one to attempt twice", count, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if runs, _ := record.WithPrefix(""); len(runs) != 5 {
		t.Fatalf("runs %+v, want 5: one for each broken response", runs)
	}
}

// TestForgottenConnectionIsReset checks that bytes on a connection that the worker has silently forgotten
// get no response: the connection ends.
func TestForgottenConnectionIsReset(t *testing.T) {
	worker, record, address, clockValue := start(t, plainSettings)
	worker.SetFaults(Faults{ForgetMs: 500})
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	send := func() error {
		fmt.Fprintf(connection, "POST /x HTTP/1.1\r\nHost: h\r\n%s: one\r\nContent-Length: 0\r\n\r\n", headerAttempt)
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return err
	}
	if err := send(); err != nil {
		t.Fatal(err)
	}
	clockValue.After(time.Second, func() {})
	if err := send(); err == nil {
		t.Fatal("got a response on a forgotten connection")
	}
	if runs, _ := record.WithPrefix(""); len(runs) != 1 {
		t.Fatalf("runs %+v, want only that of the first request", runs)
	}
}

func TestConnectionsBeyondTheLimitAreReset(t *testing.T) {
	settings := plainSettings
	settings.ConnLimit = 1
	_, _, address, _ := start(t, settings)
	first, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	fmt.Fprintf(first, "GET /-/report HTTP/1.1\r\nHost: h\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("connection within the limit: response %v and error %v, want 200", resp, err)
	}
	if resp, _, err := post(address, "one"); err == nil {
		t.Fatalf("connection beyond the limit: response %v without error, want an error", resp)
	}
}
