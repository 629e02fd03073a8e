package treadle

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lemonarch/internal/almanac"
	"lemonarch/internal/anvil"
	"lemonarch/internal/errand"
	"lemonarch/internal/pattern"
	"lemonarch/internal/sawhorse"
	"lemonarch/internal/watch"
)

// outcome is what came of one try.
type outcome struct {
	// cause is empty for a success.
	cause   string
	promise bool
	// unread: no node can have read it, so that any kind may be sent again.
	unread  bool
	final   bool
	after   watch.Span
	finding *Finding
}

// served is what is known of an order over all its tries.
type served struct {
	begun, deadline watch.Moment
	first, last     watch.Moment
	gap             watch.Span
	lastID          int64
}

// serve tries an order until it is served or may not be tried again.
func (one *run) serve(order *order) {
	now := watch.Now()
	state := &served{begun: now, deadline: now.Plus(order.route.Cutoff())}
	for try := 1; ; try++ {
		got := one.try(order, state, try)
		if got.finding != nil {
			one.result.find(*got.finding)
		}
		if got.cause == "" {
			one.result.serve(order, state, watch.Now())
			return
		}
		wait := min(max(got.after, almanac.LabRetry/4), state.deadline.Since(watch.Now())/3)
		mayAgain := !got.final && (repeatable(order.route) || got.promise || got.unread)
		if !mayAgain || try >= one.options.Tries || wait <= 0 {
			one.result.fail(order, got.cause)
			return
		}
		one.result.again(got.cause)
		one.pause(wait)
	}
}

// try sends one attempt to one node; each try is another attempt, at another node.
func (one *run) try(order *order, state *served, try int) outcome {
	attempt := one.prefix + strconv.Itoa(order.number) + "-" + strconv.Itoa(try)
	path := order.route.Prefix + strconv.Itoa(order.number)
	made := one.remember(attempt, path, order.body, order.route, !repeatable(order.route), false)
	left := state.deadline.Since(watch.Now())
	limited, release := errand.Timed(errand.Background(), left)
	defer release()
	node := one.card.Ingress[(order.node+try-1)%len(one.card.Ingress)]
	request, failure := http.NewRequestWithContext(limited, http.MethodPost, "http://"+node+path, bytes.NewReader(order.body))
	if failure != nil {
		return outcome{cause: "unsendable", final: true}
	}
	// Without it the library may send a body once more on its own; every send must be ours.
	request.GetBody = nil
	request.Host, request.Close = order.route.Host, try > 1
	header := request.Header
	header.Set("Lemonarch-Attempt-Id", attempt)
	header.Set("Lemonarch-Time-Left-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if !order.plain() {
		header.Set("Lemonarch-Model", sawhorse.ModelName)
		header.Set("Lemonarch-Token-Count", strconv.FormatInt(order.prompt.in, 10)+","+strconv.FormatInt(order.prompt.out, 10))
		header.Set("Lemonarch-Prompt-Prefix", order.prompt.parts)
	}
	if state.lastID > 0 {
		header.Set("Last-Event-Id", strconv.FormatInt(state.lastID, 10))
	}
	answer, failure := one.client.RoundTrip(request)
	if failure != nil {
		cause := causeOf(failure, limited)
		return outcome{cause: cause, unread: cause == causeRefused}
	}
	defer answer.Body.Close()
	var got outcome
	switch {
	case answer.StatusCode < 300 && order.route.Kind() == pattern.RouteStreaming:
		got = one.stream(order, state, attempt, answer, release)
	case answer.StatusCode < 300:
		got = plain(order, state, attempt, answer)
	default:
		got = refusal(answer)
	}
	one.settle(made, got.promise, got.cause == "")
	return got
}

// refusal reads an answer that is no success.
func refusal(answer *http.Response) outcome {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, almanac.AnvilBeatBytes))
	got := outcome{cause: strconv.Itoa(answer.StatusCode)}
	switch answer.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		got.promise = true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		got.final = true
	}
	seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	got.after = watch.Milliseconds(max(seconds, 0) * 1000)
	return got
}

// causeRefused: nobody listened.
const causeRefused = "connection refused"

func causeOf(failure error, limited errand.Errand) string {
	text := failure.Error()
	switch {
	case limited.Err() != nil:
		return "silence"
	case strings.Contains(text, "refused"):
		return causeRefused
	case strings.Contains(text, "reset"), strings.Contains(text, "EOF"), strings.Contains(text, "closed"):
		return "connection cut"
	}
	return "no answer"
}

// plain reads a success that is no stream.
func plain(order *order, state *served, attempt string, answer *http.Response) outcome {
	body, failure := io.ReadAll(answer.Body)
	if failure != nil {
		return outcome{cause: "answer cut"}
	}
	state.first = watch.Now()
	if finding := checkPlain(attempt, order.body, answer.Header.Get("Lemonarch-Server-Seal"), answer.Header.Get("Lemonarch-Attempt-Id"), body); finding != nil {
		return outcome{cause: "not the answer", final: true, finding: finding}
	}
	return outcome{}
}

// stream reads a stream of events, and gives it up after a silence.
func (one *run) stream(order *order, state *served, attempt string, answer *http.Response, halt func()) outcome {
	if finding := checkStamp(attempt, answer.Header.Get("Lemonarch-Server-Seal"), answer.Header.Get("Lemonarch-Attempt-Id")); finding != nil {
		return outcome{cause: "not the answer", final: true, finding: finding}
	}
	follower := &follower{attempt: attempt, last: state.lastID, all: anvil.Events(order.prompt.out, one.card.Stride)}
	silence := max(almanac.LoadSilence, 4*order.route.Setpoint(), 8*watch.Milliseconds(order.route.GapMs))
	var silent atomic.Bool
	timer := time.AfterFunc(silence, func() { silent.Store(true); halt() })
	defer timer.Stop()
	reader, event := bufio.NewReader(answer.Body), ""
	for {
		line, failure := reader.ReadString('\n')
		if failure != nil {
			if failure != io.EOF || event != "" || line != "" {
				if silent.Load() {
					return outcome{cause: "silence"}
				}
				return outcome{cause: "stream cut"}
			}
			if finding := follower.end(); finding != nil {
				return outcome{cause: "not the answer", final: true, finding: finding}
			}
			return outcome{}
		}
		if line != "\n" {
			event += line
			continue
		}
		timer.Reset(silence)
		now := watch.Now()
		if state.first == 0 {
			state.first = now
		} else {
			state.gap = max(state.gap, now.Since(state.last))
		}
		state.last = now
		if !follower.event(event) {
			return outcome{cause: "not the answer", final: true, finding: follower.finding}
		}
		state.lastID, event = follower.last, ""
	}
}
