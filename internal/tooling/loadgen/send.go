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
type result struct {
	// cause is empty for a success.
	cause   string
	promise bool
	// unread: no node can have read it, so that any kind may be sent again.
	unread  bool
	final   bool
	after   clock.Duration
	finding *Finding
}

// served is what is known of an order over all its tries.
type served struct {
	begun, deadline clock.Instant
	first, last     clock.Instant
	gap             clock.Duration
	lastID          int64
}

// serve tries an order until it is served or may not be tried again.
func (r *run) serve(order *order) {
	now := clock.Now()
	state := &served{begun: now, deadline: now.Add(order.route.Cutoff())}
	for attempt := 1; ; attempt++ {
		got := r.try(order, state, attempt)
		if got.finding != nil {
			r.result.find(*got.finding)
		}
		if got.cause == "" {
			r.result.serve(order, state, clock.Now())
			return
		}
		wait := min(max(got.after, constants.LabRetry/4), state.deadline.Sub(clock.Now())/3)
		mayAgain := !got.final && (repeatable(order.route) || got.promise || got.unread)
		if !mayAgain || attempt >= r.options.Tries || wait <= 0 {
			r.result.fail(order, got.cause)
			return
		}
		r.result.again(got.cause)
		r.pause(wait)
	}
}

// try sends one attempt to one node; each try is another attempt, at another node.
func (r *run) try(order *order, state *served, try int) result {
	attempt := r.prefix + strconv.Itoa(order.number) + "-" + strconv.Itoa(try)
	path := order.route.Prefix + strconv.Itoa(order.number)
	made := r.remember(attempt, path, order.body, order.route, !repeatable(order.route), false)
	left := state.deadline.Sub(clock.Now())
	limited, release := contexts.WithTimeout(contexts.Background(), left)
	defer release()
	node := r.card.Ingress[(order.node+try-1)%len(r.card.Ingress)]
	request, err := http.NewRequestWithContext(limited, http.MethodPost, "http://"+node+path, bytes.NewReader(order.body))
	if err != nil {
		return result{cause: "unsendable", final: true}
	}
	// Without it the library may send a body once more on its own; every send must be ours.
	request.GetBody = nil
	request.Host, request.Close = order.route.Host, try > 1
	header := request.Header
	header.Set("Lemonarch-Attempt-Id", attempt)
	header.Set("Lemonarch-Time-Left-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if !order.plain() {
		header.Set("Lemonarch-Model", lab.ModelName)
		header.Set("Lemonarch-Token-Count", strconv.FormatInt(order.prompt.in, 10)+","+strconv.FormatInt(order.prompt.out, 10))
		header.Set("Lemonarch-Prompt-Prefix", order.prompt.parts)
	}
	if state.lastID > 0 {
		header.Set("Last-Event-Id", strconv.FormatInt(state.lastID, 10))
	}
	resp, err := r.client.RoundTrip(request)
	if err != nil {
		cause := causeOf(err, limited)
		if cause == causeCut {
			r.noteCut(made)
		}
		return result{cause: cause, unread: cause == causeRefused}
	}
	defer resp.Body.Close()
	var got result
	switch {
	case resp.StatusCode < 300 && order.route.Kind() == messages.RouteStreaming:
		got = r.stream(order, state, attempt, resp, release)
	case resp.StatusCode < 300:
		got = plain(order, state, attempt, resp)
	default:
		got = refusal(resp)
	}
	if got.cause == causeAnswerCut || got.cause == causeStreamCut {
		r.noteCut(made)
	}
	r.settle(made, got.promise, got.cause == "")
	return got
}

// refusal reads an answer that is no success.
func refusal(resp *http.Response) result {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, constants.EmulatorHeartbeatBytes))
	got := result{cause: strconv.Itoa(resp.StatusCode)}
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		got.promise = true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		got.final = true
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	got.after = clock.Milliseconds(max(seconds, 0) * 1000)
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
func plain(order *order, state *served, attempt string, resp *http.Response) result {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{cause: causeAnswerCut}
	}
	state.first = clock.Now()
	if finding := checkPlain(attempt, order.body, resp.Header.Get("Lemonarch-Server-Seal"), resp.Header.Get("Lemonarch-Attempt-Id"), body); finding != nil {
		return result{cause: "not the answer", final: true, finding: finding}
	}
	return result{}
}

// stream reads a stream of events, and gives it up after a silence.
func (r *run) stream(order *order, state *served, attempt string, resp *http.Response, halt func()) result {
	if finding := checkStamp(attempt, resp.Header.Get("Lemonarch-Server-Seal"), resp.Header.Get("Lemonarch-Attempt-Id")); finding != nil {
		return result{cause: "not the answer", final: true, finding: finding}
	}
	follower := &follower{attempt: attempt, last: state.lastID, all: workeremulator.Events(order.prompt.out, r.card.Stride)}
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
					return result{cause: "silence"}
				}
				return result{cause: causeStreamCut}
			}
			if finding := follower.end(); finding != nil {
				return result{cause: "not the answer", final: true, finding: finding}
			}
			return result{}
		}
		if text != "\n" {
			event += text
			continue
		}
		timer.Reset(elapsed)
		now := clock.Now()
		if state.first == 0 {
			state.first = now
		} else {
			state.gap = max(state.gap, now.Sub(state.last))
		}
		state.last = now
		if !follower.event(event) {
			return result{cause: "not the answer", final: true, finding: follower.finding}
		}
		state.lastID, event = follower.last, ""
	}
}
