package loadgen

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/workeremulator"
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	// cause is the cause of a failure, empty for a success.
	cause string
	// notExecuted is set if the response promised that the request has not run.
	notExecuted bool
	// unread is set if no node can have read the request, so that a request of any kind may be
	// sent again.
	unread bool
	// permanent is set if the request must not be retried. retryAfter is the value of Retry-After.
	permanent  bool
	retryAfter clock.Duration
	// closes is set if the response announced that its connection is closed.
	closes  bool
	finding *Finding
}

// requestState is the state of a request over all its attempts. maxGap is the longest time between
// two consecutive events of its stream; firstEvent is the end of the response if the response is
// not a stream.
type requestState struct {
	started, deadline     clock.Instant
	firstEvent, lastEvent clock.Instant
	maxGap                clock.Duration
	lastID                int64
}

// sendWithRetries sends a request until it is served, must not be retried, has been sent
// Options.MaxAttempts times or has reached its deadline. It reports whether the connection of the first
// attempt can be used for the next request.
func (r *run) sendWithRetries(spec *requestSpec) (usable bool) {
	now := clock.Now()
	state := &requestState{started: now, deadline: now.Add(spec.route.Cutoff())}
	for attempt := 1; ; attempt++ {
		outcome := r.sendAttempt(spec, state, attempt)
		if outcome.finding != nil {
			r.result.addFinding(*outcome.finding)
		}
		if outcome.cause == "" {
			r.result.countServed(spec, state, clock.Now())
			return attempt == 1 && !outcome.closes
		}
		wait := min(max(outcome.retryAfter, constants.LabRetry/4), state.deadline.Sub(clock.Now())/3)
		mayRetry := !outcome.permanent && (repeatable(spec.route) || outcome.notExecuted || outcome.unread)
		if !mayRetry || attempt >= r.options.MaxAttempts || wait <= 0 {
			r.result.countFailed(spec, outcome.cause)
			return false
		}
		r.result.countRetry(outcome.cause)
		r.pause(wait)
	}
}

// sendAttempt sends one attempt to one node; attemptNumber is 1 for the first. Each attempt of a request
// has an id of its own and goes to the next node.
func (r *run) sendAttempt(spec *requestSpec, state *requestState, attemptNumber int) attemptResult {
	attempt := r.prefix + strconv.Itoa(spec.number) + "-" + strconv.Itoa(attemptNumber)
	path := spec.route.Prefix + strconv.Itoa(spec.number)
	sent := r.recordAttempt(attempt, path, spec.body, spec.route, !repeatable(spec.route), false)
	remaining := state.deadline.Sub(clock.Now())
	ctx, cancel := contexts.WithTimeout(contexts.Background(), remaining)
	defer cancel()
	node := r.info.Ingress[(spec.node+attemptNumber-1)%len(r.info.Ingress)]
	sent.node = node
	body := &requestBody{rest: spec.body, pause: spec.uploadTime / clock.Duration(len(spec.body)), sleep: r.pause, ended: func() { r.recordSent(sent) }}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, body)
	if err != nil {
		return attemptResult{cause: "unsendable", permanent: true}
	}
	request.ContentLength = int64(len(spec.body))
	if spec.chunked {
		request.ContentLength = -1
	}
	// With GetBody net/http may send the request a second time without the caller's knowledge.
	// Every send must be recorded as an attempt.
	request.GetBody = nil
	request.Host, request.Close = spec.route.Host, attemptNumber > 1
	header := request.Header
	header.Set("Lemonarch-Attempt-Id", attempt)
	header.Set("Lemonarch-Time-Left-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	if !spec.isPlain() {
		header.Set("Lemonarch-Model", lab.ModelName)
		header.Set("Lemonarch-Token-Count", strconv.FormatInt(spec.prompt.inputTokens, 10)+","+strconv.FormatInt(spec.prompt.outputTokens, 10))
		header.Set("Lemonarch-Prompt-Prefix", spec.prompt.prefixParts)
	}
	if state.lastID > 0 {
		header.Set("Last-Event-Id", strconv.FormatInt(state.lastID, 10))
	}
	client := r.client
	if spec.client != nil && attemptNumber == 1 {
		client = spec.client
	}
	resp, err := client.RoundTrip(request)
	if err != nil {
		cause := causeOf(err, ctx)
		if cause == causeCut {
			r.recordCut(sent)
		}
		return attemptResult{cause: cause, unread: cause == causeRefused}
	}
	defer resp.Body.Close()
	var outcome attemptResult
	switch {
	case resp.StatusCode < 300 && spec.route.Kind() == messages.RouteStreaming:
		outcome = r.readStream(spec, state, attempt, resp, cancel)
	case resp.StatusCode < 300:
		outcome = readPlain(spec, state, attempt, resp)
	default:
		outcome = readErrorResponse(resp)
	}
	outcome.closes = resp.Close
	if outcome.cause == causeResponseCut || outcome.cause == causeStreamCut {
		r.recordCut(sent)
	}
	r.recordOutcome(sent, outcome.notExecuted, outcome.cause == "")
	return outcome
}

// readErrorResponse reads a response whose status is not a success.
func readErrorResponse(resp *http.Response) attemptResult {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, constants.EmulatorHeartbeatBytes))
	outcome := attemptResult{cause: strconv.Itoa(resp.StatusCode)}
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		outcome.notExecuted = true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		outcome.permanent = true
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	outcome.retryAfter = clock.Milliseconds(max(seconds, 0) * 1000)
	return outcome
}

// causeRefused is the cause if no process listens at the address.
const causeRefused = "connection refused"

// The causes if a connection ended before a response, or within one.
const (
	causeCut         = "connection cut"
	causeResponseCut = "answer cut"
	causeStreamCut   = "stream cut"
)

// causeOf returns the cause of a failed round trip.
func causeOf(err error, ctx contexts.Context) string {
	text := err.Error()
	switch {
	case ctx.Err() != nil:
		return "silence"
	case strings.Contains(text, "refused"):
		return causeRefused
	case strings.Contains(text, "reset"), strings.Contains(text, "EOF"), strings.Contains(text, "closed"):
		return causeCut
	}
	return "no answer"
}

// readPlain reads a successful response that is not a stream.
func readPlain(spec *requestSpec, state *requestState, attempt string, resp *http.Response) attemptResult {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return attemptResult{cause: causeResponseCut}
	}
	state.firstEvent = clock.Now()
	if finding := checkPlain(attempt, spec.body, resp.Header.Get("Lemonarch-Server-Seal"), resp.Header.Get("Lemonarch-Attempt-Id"), body); finding != nil {
		return attemptResult{cause: "not the answer", permanent: true, finding: finding}
	}
	return attemptResult{}
}

// readStream reads a stream of events, and aborts it if no event arrives within a timeout.
func (r *run) readStream(spec *requestSpec, state *requestState, attempt string, resp *http.Response, cancel func()) attemptResult {
	if finding := checkSeal(attempt, resp.Header.Get("Lemonarch-Server-Seal"), resp.Header.Get("Lemonarch-Attempt-Id")); finding != nil {
		return attemptResult{cause: "not the answer", permanent: true, finding: finding}
	}
	check := &streamCheck{attempt: attempt, lastEventID: state.lastID, eventCount: workeremulator.Events(spec.prompt.outputTokens, r.info.Stride)}
	timeout := max(constants.LoadTimeout, 4*spec.route.Setpoint(), 8*clock.Milliseconds(spec.route.GapMs))
	var timedOut atomic.Bool
	timer := time.AfterFunc(timeout, func() { timedOut.Store(true); cancel() })
	defer timer.Stop()
	reader, event := bufio.NewReader(resp.Body), ""
	for {
		text, err := reader.ReadString('\n')
		if err != nil {
			if err != io.EOF || event != "" || text != "" {
				if timedOut.Load() {
					return attemptResult{cause: "silence"}
				}
				return attemptResult{cause: causeStreamCut}
			}
			if finding := check.finish(); finding != nil {
				return attemptResult{cause: "not the answer", permanent: true, finding: finding}
			}
			return attemptResult{}
		}
		if text != "\n" {
			event += text
			continue
		}
		timer.Reset(timeout)
		now := clock.Now()
		if state.firstEvent == 0 {
			state.firstEvent = now
		} else {
			state.maxGap = max(state.maxGap, now.Sub(state.lastEvent))
		}
		state.lastEvent = now
		if !check.addEvent(event) {
			return attemptResult{cause: "not the answer", permanent: true, finding: check.finding}
		}
		state.lastID, event = check.lastEventID, ""
	}
}
