package proxy

import (
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

// exchange is one request's way through the process.
type exchange struct {
	proxyServer *Proxy
	writer      http.ResponseWriter
	request     *http.Request
	route       *routeconfig.Route
	ask         admission.Ask
	body        []byte
	passed      http.Header
	method      string
	attempt     string
	stated      bool
	sized       bool
	arrived     clock.Moment
	deadline    clock.Moment

	sent       int
	unsent     int
	mayRun     bool
	headSent   bool
	lastID     int64
	hasEvent   bool
	connection atomic.Pointer[workerconn.Connection]
	last       *workerAnswer
	// displaced is set by whoever asks for our place; setBack holds until the next
	// try, wasDisplaced to the end.
	displaced    atomic.Bool
	wasDisplaced bool
	setBack      bool
}

// unsentLimit bounds how many workers are tried that can't even be reached.
const unsentLimit = 4

func asTooLarge(err error, target **http.MaxBytesError) bool { return errors.As(err, target) }

func (one *exchange) kind() messages.RouteKind { return one.route.Kind() }

func (one *exchange) repeatable() bool {
	return one.kind() == messages.RouteIdempotent || (one.kind() == messages.RouteStreaming && one.route.Resumable)
}

// travel tries workers until there is an outcome; every path ends in exactly one.
func (one *exchange) travel() {
	for {
		answer := one.admit()
		if answer.Verdict != admission.VerdictGranted {
			one.giveUp(answer)
			return
		}
		repeat, over := one.tryAt(answer.Grant)
		if over {
			return
		}
		if repeat == RepeatNever || one.sent >= one.route.Tries || one.unsent >= unsentLimit ||
			clock.Now() >= one.deadline || one.request.Context().Err() != nil {
			one.giveUp(admission.Answer{Verdict: admission.VerdictNoRoom, Retry: one.ask.Setpoint / 2})
			return
		}
		if one.setBack {
			// Its worker did nothing wrong and may be asked again.
			one.setBack = false
			one.proxyServer.Scheduler.Counters(one.route.Name).Resumed.Add(1)
			continue
		}
		one.ask.Excluded = append(one.ask.Excluded, answer.Grant.Worker.ID)
	}
}

// admit gets an entry, waiting in the queue where that can still pay.
func (one *exchange) admit() admission.Answer {
	now := clock.Now()
	left := one.deadline.Since(now)
	if one.sent == 0 {
		// A refusal within a quarter of the aim still leaves the client time.
		patience := clock.Span(float64(one.ask.Setpoint) * constants.QueueShare)
		one.ask.Patience = min(one.arrived.Plus(patience), one.deadline)
	} else {
		// It has run in part: nobody can be told to come back, so wait longer.
		one.ask.Patience = now.Plus(left / 2)
	}
	resumed := make(chan admission.Answer, 1)
	answer, handle := one.proxyServer.Scheduler.Admit(&one.ask, func(late admission.Answer) { resumed <- late }, now)
	if answer.Verdict != admission.VerdictQueued {
		return answer
	}
	select {
	case answer = <-resumed:
	case <-one.request.Context().Done():
		if !one.proxyServer.Scheduler.Withdraw(handle) {
			answer = <-resumed
		} else {
			answer = admission.Answer{Verdict: admission.VerdictNoRoom}
		}
	}
	return answer
}

// outgoing writes the request for a worker.
func (one *exchange) outgoing(grant *admission.Grant) *Request {
	own := map[string]string{headerTarget: grant.Worker.ID}
	if one.stated {
		left := one.deadline.Since(clock.Now()).Milliseconds()
		own[headerTimeLeft] = strconv.FormatInt(max(left, 1), 10)
	}
	if one.hasEvent {
		own[headerLastEvent] = strconv.FormatInt(one.lastID, 10)
	}
	return &Request{
		Method:     one.method,
		Attempt:    one.attempt,
		Text:       head(one.method, one.request.RequestURI, one.request.Host, one.passed, own, one.body, one.sized),
		Until:      one.deadline,
		Patience:   grant.Patience(),
		Impatient:  one.impatient(grant),
		Repeatable: one.repeatable(),
		Seal:       true,
		Halt:       func(connection *workerconn.Connection) { one.connection.Store(connection) },
	}
}

// tryAt runs the request at one worker.
func (one *exchange) tryAt(grant *admission.Grant) (repeat Repeat, over bool) {
	sender := &one.proxyServer.Sender
	halt := one.whenGone()
	defer halt()
	response, evidence, err := sender.Carry(grant, one.outgoing(grant))
	if err != nil {
		result := one.resultOf(err)
		grant.End(result, clock.Now())
		one.proxyServer.Log.Debug("try failed", "worker", grant.Worker.ID, "why", err.Error())
		return one.judge(evidence), false
	}
	if response.NotRun || response.Answer.StatusCode >= 300 {
		// Nothing was read or made for it, so it teaches no usual time.
		grant.Told(response.Load, clock.Now())
		if response.NotRun {
			return one.turnedAway(grant, response)
		}
		return one.refusedByWorker(grant, response)
	}
	grant.First(response.Load, clock.Now())
	if one.kind() == messages.RouteStreaming {
		return one.stream(grant, response)
	}
	return one.plain(grant, response)
}

// judge turns evidence into a decision and keeps count of the tries.
func (one *exchange) judge(evidence Evidence) Repeat {
	evidence.Events, evidence.Head = one.hasEvent && one.headSent, one.headSent
	if evidence.Sent {
		one.sent++
		if !evidence.NotRun {
			one.mayRun = true
		}
	} else {
		one.unsent++
	}
	return May(one.kind(), one.route.Resumable, evidence)
}

// whenGone closes the connection once the client is gone: the worker then stops.
func (one *exchange) whenGone() (halt func()) {
	return contexts.AfterEnd(one.request.Context(), func() {
		one.closeConnection()
	})
}

// closeConnection breaks the present try off from outside, unless its connection was given
// back already and may carry somebody else's request.
func (one *exchange) closeConnection() {
	connection := one.connection.Swap(nil)
	if connection != nil {
		connection.Close()
	}
}

// finish gives the connection back, out of reach of a client that leaves just now: the
// connection may already carry somebody else's request.
func (one *exchange) finish(response *Response) {
	if one.connection.Swap(nil) == nil {
		one.proxyServer.Sender.Abandon(response)
		return
	}
	one.proxyServer.Sender.Finish(response)
}

// giveUp ends the request with the one outcome that is true.
func (one *exchange) giveUp(answer admission.Answer) {
	proxyServer := one.proxyServer
	switch {
	case one.headSent:
		// The answer has begun: a cut is passed on as a cut.
		proxyServer.Counts.CutOff.Add(1)
		panic(http.ErrAbortHandler)
	case one.last != nil && one.last.truthful(one.mayRun):
		proxyServer.Counts.Failed.Add(1)
		copyBack(one.writer.Header(), one.last.header)
		if one.last.header.Get(headerNotRun) != "" && one.last.header.Get("Retry-After") == "" {
			one.writer.Header().Set("Retry-After", strconv.FormatFloat(answer.Retry.Seconds(), 'f', 3, 64))
		}
		one.writer.Header().Set("Content-Length", strconv.Itoa(len(one.last.body)))
		one.writer.WriteHeader(one.last.status)
		_, _ = one.writer.Write(one.last.body)
	case one.mayRun:
		proxyServer.Counts.Failed.Add(1)
		status := http.StatusBadGateway
		if clock.Now() >= one.deadline {
			status = http.StatusGatewayTimeout
		}
		httpreply.Text(one.writer, status, "no whole answer")
	default:
		proxyServer.Counts.Refused.Add(1)
		httpreply.Later(one.writer, http.StatusServiceUnavailable, answer.Retry)
	}
}
