package loadgen

import (
	"bufio"
	"bytes"
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

// result is what came of one try.
type attemptResult struct {
	// cause is empty for a success.
	cause   string
	notExecuted bool
	// unread: no node can have read it, so that any kind may be sent again.
	unread  bool
	permanent   bool
	retryAfter   clock.Duration
	finding *Finding
}

// served is what is known of an order over all its tries.
type requestState struct {
	started, deadline clock.Instant
	firstEvent, lastEvent     clock.Instant
	maxGap             clock.Duration
	lastID          int64
}

// serve tries an order until it is served or may not be tried again.
func (r *run) sendWithRetries(order *requestSpec) {
	now := clock.Now()
	state := &requestState{started: now, deadline: now.Add(order.route.Cutoff())}
	for attempt := 1; ; attempt++ {
		got := r.sendAttempt(order, state, attempt)
		if got.finding != nil {
			r.result.addFinding(*got.finding)
		}
		if got.cause == "" {
			r.result.countServed(order, state, clock.Now())
			return
		}
		wait := min(max(got.retryAfter, constants.LabRetry/4), state.deadline.Sub(clock.Now())/3)
		mayAgain := !got.permanent && (repeatable(order.route) || got.notExecuted || got.unread)
		if !mayAgain || attempt >= r.options.Tries || wait <= 0 {
			r.result.countFailed(order, got.cause)
			return
		}
		r.result.countRetry(got.cause)
		r.pause(wait)
	}
}

// try sends one attempt to one node; each try is another attempt, at another node.
func (r *run) sendAttempt(order *requestSpec, state *requestState, try int) attemptResult {
	attempt := r.prefix + strconv.Itoa(order.number) + "-" + strconv.Itoa(try)
	path := order.route.Prefix + strconv.Itoa(order.number)
	made := r.recordAttempt(attempt, path, order.body, order.route, !repeatable(order.route), false)
	left := state.deadline.Sub(clock.Now())
	limited, release := contexts.WithTimeout(contexts.Background(), left)
	defer release()
	node := r.card.Ingress[(order.node+try-1)%len(r.card.Ingress)]
	request, err := http.NewRequestWithContext(limited, http.MethodPost, "http://"+node+path, bytes.NewReader(order.body))
	if err != nil {
		return attemptResult{cause: "unsendable", permanent: true}
	}
	// Without it the library may send a body once more on its own; every send must be ours.
	request.GetBody = nil
	request.Host, request.Close = order.route.Host, try > 1
	header := request.Header
	header.Set("Lemonarch-Attempt-Id", attempt)
	header.Set("Lemonarch-Time-Left-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if !order.isPlain() {
		header.Set("Lemonarch-Model", lab.ModelName)
		header.Set("Lemonarch-Token-Count", strconv.FormatInt(order.prompt.inputTokens, 10)+","+strconv.FormatInt(order.prompt.outputTokens, 10))
		header.Set("Lemonarch-Prompt-Prefix", order.prompt.prefix)
	}
	if state.lastID > 0 {
		header.Set("Last-Event-Id", strconv.FormatInt(state.lastID, 10))
	}
	resp, err := r.client.RoundTrip(request)
	if err != nil {
		cause := causeOf(err, limited)
		if cause == causeCut {
			r.recordCut(made)
		}
		return attemptResult{cause: cause, unread: cause == causeRefused}
	}
	defer resp.Body.Close()
	var got attemptResult
	switch {
	case resp.StatusCode < 300 && order.route.Kind() == messages.RouteStreaming:
		got = r.readStream(order, state, attempt, resp, release)
	case resp.StatusCode < 300:
		got = readPlain(order, state, attempt, resp)
	default:
		got = readErrorResponse(resp)
	}
	if got.cause == causeAnswerCut || got.cause == causeStreamCut {
		r.recordCut(made)
	}
	r.recordOutcome(made, got.notExecuted, got.cause == "")
	return got
}

// refusal reads an answer that is no success.
func readErrorResponse(resp *http.Response) attemptResult {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, constants.EmulatorHeartbeatBytes))
	got := attemptResult{cause: strconv.Itoa(resp.StatusCode)}
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		got.notExecuted = true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		got.permanent = true
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	got.retryAfter = clock.Milliseconds(max(seconds, 0) * 1000)
	return got
}

// causeRefused: nobody listened.
const causeRefused = "connection refused"

// The causes of a connection that ended without an answer, or within one.
const (
	causeCut       = "connection cut"
	causeAnswerCut = "answer cut"
	causeStreamCut = "stream cut"
)

func causeOf(err error, limited contexts.Context) string {
	text := err.Error()
	switch {
	case limited.Err() != nil:
		return "silence"
	case strings.Contains(text, "refused"):
		return causeRefused
	case strings.Contains(text, "reset"), strings.Contains(text, "EOF"), strings.Contains(text, "closed"):
		return causeCut
	}
	return "no answer"
}

// plain reads a success that is no stream.
func readPlain(order *requestSpec, state *requestState, attempt string, resp *http.Response) attemptResult {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return attemptResult{cause: causeAnswerCut}
	}
	state.firstEvent = clock.Now()
	if finding := checkPlain(attempt, order.body, resp.Header.Get("Lemonarch-Server-Seal"), resp.Header.Get("Lemonarch-Attempt-Id"), body); finding != nil {
		return attemptResult{cause: "not the answer", permanent: true, finding: finding}
	}
	return attemptResult{}
}

// stream reads a stream of events, and gives it up after a silence.
func (r *run) readStream(order *requestSpec, state *requestState, attempt string, resp *http.Response, halt func()) attemptResult {
	if finding := checkSeal(attempt, resp.Header.Get("Lemonarch-Server-Seal"), resp.Header.Get("Lemonarch-Attempt-Id")); finding != nil {
		return attemptResult{cause: "not the answer", permanent: true, finding: finding}
	}
	follower := &streamCheck{attempt: attempt, lastID: state.lastID, eventCount: workeremulator.Events(order.prompt.outputTokens, r.card.Stride)}
	elapsed := max(constants.LoadTimeout, 4*order.route.Setpoint(), 8*clock.Milliseconds(order.route.GapMs))
	var timedOut atomic.Bool
	timer := time.AfterFunc(elapsed, func() { timedOut.Store(true); halt() })
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
			if finding := follower.finish(); finding != nil {
				return attemptResult{cause: "not the answer", permanent: true, finding: finding}
			}
			return attemptResult{}
		}
		if text != "\n" {
			event += text
			continue
		}
		timer.Reset(elapsed)
		now := clock.Now()
		if state.firstEvent == 0 {
			state.firstEvent = now
		} else {
			state.maxGap = max(state.maxGap, now.Sub(state.lastEvent))
		}
		state.lastEvent = now
		if !follower.addEvent(event) {
			return attemptResult{cause: "not the answer", permanent: true, finding: follower.finding}
		}
		state.lastID, event = follower.lastID, ""
	}
}
