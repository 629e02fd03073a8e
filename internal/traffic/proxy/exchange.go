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
	arrived     clock.Instant
	deadline    clock.Instant

	sent       int
	unsent     int
	mayRun     bool
	headSent   bool
	lastID     int64
	hasEvent   bool
	connection atomic.Pointer[workerconn.Connection]
	last       *workerAnswer
	// displaced is set by whoever asks for our place; requeue holds until the next
	// try, wasDisplaced to the end.
	displaced    atomic.Bool
	wasDisplaced bool
	setBack      bool
}

// unsentLimit bounds how many workers are tried that can't even be reached.
const unsentLimit = 4

func asTooLarge(err error, target **http.MaxBytesError) bool { return errors.As(err, target) }

func (e *exchange) kind() messages.RouteKind { return e.route.Kind() }

func (e *exchange) repeatable() bool {
	return e.kind() == messages.RouteIdempotent || (e.kind() == messages.RouteStreaming && e.route.Resumable)
}

// travel tries workers until there is an outcome; every path ends in exactly one.
func (e *exchange) travel() {
	for {
		answer := e.admit()
		if answer.Verdict != admission.VerdictGranted {
			e.giveUp(answer)
			return
		}
		repeat, over := e.tryAt(answer.Grant)
		if over {
			return
		}
		if repeat == RepeatNever || e.sent >= e.route.Tries || e.unsent >= unsentLimit ||
			clock.Now() >= e.deadline || e.request.Context().Err() != nil {
			e.giveUp(admission.Answer{Verdict: admission.VerdictNoRoom, Retry: e.ask.Setpoint / 2})
			return
		}
		if e.setBack {
			// Its worker did nothing wrong and may be asked again.
			e.setBack = false
			e.proxyServer.Scheduler.Counters(e.route.Name).Resumed.Add(1)
			continue
		}
		e.ask.Excluded = append(e.ask.Excluded, answer.Grant.Worker.ID)
	}
}

// admit gets an entry, waiting in the queue where that can still pay.
func (e *exchange) admit() admission.Answer {
	now := clock.Now()
	left := e.deadline.Sub(now)
	if e.sent == 0 {
		// A refusal within a quarter of the aim still leaves the client time.
		patience := clock.Duration(float64(e.ask.Setpoint) * constants.QueueShare)
		e.ask.Patience = min(e.arrived.Add(patience), e.deadline)
	} else {
		// It has run in part: nobody can be told to come back, so wait longer.
		e.ask.Patience = now.Add(left / 2)
	}
	resumed := make(chan admission.Answer, 1)
	answer, handle := e.proxyServer.Scheduler.Admit(&e.ask, func(late admission.Answer) { resumed <- late }, now)
	if answer.Verdict != admission.VerdictQueued {
		return answer
	}
	select {
	case answer = <-resumed:
	case <-e.request.Context().Done():
		if !e.proxyServer.Scheduler.Withdraw(handle) {
			answer = <-resumed
		} else {
			answer = admission.Answer{Verdict: admission.VerdictNoRoom}
		}
	}
	return answer
}

// outgoing writes the request for a worker.
func (e *exchange) outgoing(grant *admission.Grant) *Request {
	own := map[string]string{headerTarget: grant.Worker.ID}
	if e.stated {
		left := e.deadline.Sub(clock.Now()).Milliseconds()
		own[headerTimeLeft] = strconv.FormatInt(max(left, 1), 10)
	}
	if e.hasEvent {
		own[headerLastEvent] = strconv.FormatInt(e.lastID, 10)
	}
	return &Request{
		Method:     e.method,
		Attempt:    e.attempt,
		Text:       head(e.method, e.request.RequestURI, e.request.Host, e.passed, own, e.body, e.sized),
		Until:      e.deadline,
		Patience:   grant.Patience(),
		Impatient:  e.impatient(grant),
		Repeatable: e.repeatable(),
		Seal:       true,
		Halt:       func(connection *workerconn.Connection) { e.connection.Store(connection) },
	}
}

// tryAt runs the request at one worker.
func (e *exchange) tryAt(grant *admission.Grant) (repeat Repeat, over bool) {
	sender := &e.proxyServer.Sender
	halt := e.whenGone()
	defer halt()
	response, evidence, err := sender.Carry(grant, e.outgoing(grant))
	if err != nil {
		result := e.resultOf(err)
		grant.End(result, clock.Now())
		e.proxyServer.Log.Debug("attempt failed", "worker", grant.Worker.ID, "err", err.Error())
		return e.judge(evidence), false
	}
	if response.NotRun || response.Answer.StatusCode >= 300 {
		// Nothing was read or made for it, so it teaches no usual time.
		grant.Told(response.Load, clock.Now())
		if response.NotRun {
			return e.turnedAway(grant, response)
		}
		return e.refusedByWorker(grant, response)
	}
	grant.First(response.Load, clock.Now())
	if e.kind() == messages.RouteStreaming {
		return e.stream(grant, response)
	}
	return e.plain(grant, response)
}

// judge turns evidence into a decision and keeps count of the tries.
func (e *exchange) judge(evidence Evidence) Repeat {
	evidence.Events, evidence.Head = e.hasEvent && e.headSent, e.headSent
	if evidence.Sent {
		e.sent++
		if !evidence.NotRun {
			e.mayRun = true
		}
	} else {
		e.unsent++
	}
	return May(e.kind(), e.route.Resumable, evidence)
}

// whenGone closes the connection once the client is gone: the worker then stops.
func (e *exchange) whenGone() (halt func()) {
	return contexts.AfterFunc(e.request.Context(), func() {
		e.closeConnection()
	})
}

// closeConnection breaks the present try off from outside, unless its connection was given
// back already and may carry somebody else's request.
func (e *exchange) closeConnection() {
	connection := e.connection.Swap(nil)
	if connection != nil {
		connection.Close()
	}
}

// finish gives the connection back, out of reach of a client that leaves just now: the
// connection may already carry somebody else's request.
func (e *exchange) finish(response *Response) {
	if e.connection.Swap(nil) == nil {
		e.proxyServer.Sender.Abandon(response)
		return
	}
	e.proxyServer.Sender.Finish(response)
}

// resign ends the request with the one outcome that is true.
func (e *exchange) giveUp(answer admission.Answer) {
	proxyServer := e.proxyServer
	switch {
	case e.headSent:
		// The answer has begun: a cut is passed on as a cut.
		proxyServer.Counts.CutOff.Add(1)
		panic(http.ErrAbortHandler)
	case e.last != nil && e.last.truthful(e.mayRun):
		proxyServer.Counts.Failed.Add(1)
		copyBack(e.writer.Header(), e.last.header)
		if e.last.header.Get(headerNotRun) != "" && e.last.header.Get("Retry-After") == "" {
			e.writer.Header().Set("Retry-After", strconv.FormatFloat(answer.Retry.Seconds(), 'f', 3, 64))
		}
		e.writer.Header().Set("Content-Length", strconv.Itoa(len(e.last.body)))
		e.writer.WriteHeader(e.last.status)
		_, _ = e.writer.Write(e.last.body)
	case e.mayRun:
		proxyServer.Counts.Failed.Add(1)
		status := http.StatusBadGateway
		if clock.Now() >= e.deadline {
			status = http.StatusGatewayTimeout
		}
		httpreply.Text(e.writer, status, "no whole answer")
	default:
		proxyServer.Counts.Refused.Add(1)
		httpreply.RetryAfter(e.writer, http.StatusServiceUnavailable, answer.Retry)
	}
}
