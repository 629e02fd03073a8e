package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/httpreply"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/trafficstats"
	"lemonarch/internal/traffic/workerconn"
)

// exchange is one request's way through the process.
type exchange struct {
	proxyServer *Proxy
	writer      http.ResponseWriter
	request     *http.Request
	route       *routeconfig.Route
	admission   admission.Request
	body        []byte
	header      http.Header
	method      string
	attempt     string
	hasTimeLeft bool
	hasLength   bool
	arrivedAt   clock.Instant
	deadline    clock.Instant

	attempts    int
	undelivered int
	mayHaveRun  bool
	headSent    bool
	lastID      int64
	hasEvent    bool
	connection  atomic.Pointer[workerconn.Connection]
	lastFailure *workerFailure
	// preempted is set by whoever takes this request's slot; requeued holds until the next
	// attempt, wasPreempted to the end.
	preempted    atomic.Bool
	wasPreempted bool
	requeued     bool
	model        string
	traffic      trafficObservation
}

// undeliveredLimit bounds how many workers are attempted that can't even be reached.
const undeliveredLimit = 4

func (e *exchange) kind() messages.RouteKind { return e.route.Kind() }

func (e *exchange) retryable() bool {
	return e.kind() == messages.RouteIdempotent || (e.kind() == messages.RouteStreaming && e.route.Resumable)
}

// serve makes attempts at workers until there is an outcome; every path ends in exactly one.
func (e *exchange) serve() {
	for {
		resp := e.admit()
		if resp.Verdict != admission.VerdictGranted {
			if e.awaitCapacity() {
				continue
			}
			e.giveUp(resp)
			return
		}
		e.traffic.placed(resp.Grant, clock.Now())
		retry, over := e.attemptAt(resp.Grant)
		if over {
			return
		}
		if retry == RetryNever || e.exhausted() {
			e.giveUp(admission.Decision{Verdict: admission.VerdictNoCapacity, Retry: e.admission.Setpoint / 2})
			return
		}
		if e.requeued {
			// Its worker did nothing wrong and may be asked again.
			e.requeued = false
			e.proxyServer.Scheduler.Counters(e.route.Name).Resumed.Add(1)
			continue
		}
		e.admission.Excluded = append(e.admission.Excluded, resp.Grant.Worker.ID)
	}
}

// exhausted tells whether no further worker may be attempted. A response that has begun is given up
// only where its tries have run or its time is over: its client can't be told to come back.
func (e *exchange) exhausted() bool {
	if clock.Now() >= e.deadline || e.request.Context().Err() != nil || e.attempts >= e.route.Tries {
		return true
	}
	return e.undelivered >= undeliveredLimit && !e.headSent
}

// outgoing writes the request for a worker.
func (e *exchange) outgoing(grant *admission.Grant) *Request {
	own := map[string]string{headerTarget: grant.Worker.ID}
	if e.hasTimeLeft {
		left := e.deadline.Sub(clock.Now()).Milliseconds()
		own[headerTimeLeft] = strconv.FormatInt(max(left, 1), 10)
	}
	if e.hasEvent {
		own[headerLastEvent] = strconv.FormatInt(e.lastID, 10)
	}
	return &Request{
		Method:         e.method,
		Attempt:        e.attempt,
		Text:           encodeRequest(e.method, e.request.RequestURI, e.request.Host, e.header, own, e.body, e.hasLength),
		Deadline:       e.deadline,
		SilenceTimeout: grant.FirstEventTimeout(),
		ShouldGiveUp:   e.silencePolicy(grant),
		Retryable:      e.retryable(),
		RequireSeal:    true,
		OnConnection:   func(connection *workerconn.Connection) { e.connection.Store(connection) },
	}
}

// attemptAt runs the request at one worker.
func (e *exchange) attemptAt(grant *admission.Grant) (retry Retry, over bool) {
	sender := &e.proxyServer.Sender
	halt := e.closeOnDisconnect()
	defer halt()
	response, evidence, err := sender.RoundTrip(grant, e.outgoing(grant))
	if err != nil {
		result := e.resultOf(err)
		grant.End(result, clock.Now())
		e.proxyServer.Log.Debug("attempt failed", "worker", grant.Worker.ID, "err", err.Error())
		return e.decideRetry(evidence), false
	}
	if response.NotRun || response.HTTPResponse.StatusCode >= 300 {
		// Nothing was prefilled or decoded for it, so its time is not observed.
		grant.ObserveLoad(response.Load, clock.Now())
		if response.NotRun {
			return e.handleNotRun(grant, response)
		}
		return e.handleWorkerFailure(grant, response)
	}
	now := clock.Now()
	grant.FirstEvent(response.Load, now)
	e.traffic.firstEvent(response.Load, now)
	if e.kind() == messages.RouteStreaming {
		return e.relayStream(grant, response)
	}
	return e.relayPlain(grant, response)
}

// decideRetry turns evidence into a decision and counts the attempts.
func (e *exchange) decideRetry(evidence Evidence) Retry {
	evidence.Events, evidence.Head = e.hasEvent && e.headSent, e.headSent
	switch {
	case !evidence.Sent:
		e.undelivered++
	case evidence.NotRun && e.headSent:
		// The client has a part of a run, which nobody but a further worker can complete: one that
		// turned the request away has not used up a try.
	default:
		e.attempts++
		e.mayHaveRun = e.mayHaveRun || !evidence.NotRun
	}
	return DecideRetry(e.kind(), e.route.Resumable, evidence)
}

// closeOnDisconnect closes the connection once the client is gone: the worker then stops.
func (e *exchange) closeOnDisconnect() (halt func()) {
	return contexts.AfterFunc(e.request.Context(), func() {
		e.closeConnection()
	})
}

// closeConnection breaks the present attempt off from outside, unless its connection was given
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
		e.proxyServer.Sender.Discard(response)
		return
	}
	e.proxyServer.Sender.Release(response)
}

// giveUp ends the request with the one outcome that is true.
func (e *exchange) giveUp(resp admission.Decision) {
	proxy := e.proxyServer
	switch {
	case e.headSent:
		// The response has begun: a broken stream is passed on as one.
		proxy.Counts.CutOff.Add(1)
		panic(http.ErrAbortHandler)
	case e.lastFailure != nil && e.lastFailure.mayBeFinal(e.mayHaveRun):
		proxy.Counts.Failed.Add(1)
		copyHeader(e.writer.Header(), e.lastFailure.header)
		if e.lastFailure.header.Get(headerNotRun) != "" && e.lastFailure.header.Get("Retry-After") == "" {
			e.writer.Header().Set("Retry-After", strconv.FormatFloat(resp.Retry.Seconds(), 'f', 3, 64))
		}
		e.writer.Header().Set("Content-Length", strconv.Itoa(len(e.lastFailure.body)))
		e.writer.WriteHeader(e.lastFailure.status)
		_, _ = e.writer.Write(e.lastFailure.body)
	case e.mayHaveRun:
		proxy.Counts.Failed.Add(1)
		status := http.StatusBadGateway
		if clock.Now() >= e.deadline {
			status = http.StatusGatewayTimeout
		}
		httpreply.Text(e.writer, status, "no whole answer")
	default:
		proxy.Counts.Rejected.Add(1)
		e.traffic.outcome = trafficstats.OutcomeRejected
		httpreply.RetryAfter(e.writer, http.StatusServiceUnavailable, resp.Retry)
	}
}
