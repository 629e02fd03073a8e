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

// exchange is the state of one client request over all its attempts at workers.
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

	// attempts counts the attempts that count towards the route's MaxAttempts, and undelivered those
	// in which no byte of the request reached a worker; see decideRetry.
	attempts    int
	undelivered int
	mayHaveRun  bool
	headSent    bool
	lastID      int64
	hasEvent    bool
	connection  atomic.Pointer[workerconn.Connection]
	lastFailure *workerFailure
	// preempted is set by the scheduler when it preempts the running attempt. requeued is set from the
	// end of that attempt to the start of the next, and wasPreempted to the end of the request.
	preempted    atomic.Bool
	wasPreempted bool
	requeued     bool
	model        string
	traffic      trafficObservation
}

// undeliveredLimit is the maximum number of attempts in which no byte of the request reached the worker.
const undeliveredLimit = 4

func (e *exchange) kind() messages.RouteKind { return e.route.Kind() }

func (e *exchange) retryable() bool {
	return e.kind() == messages.RouteIdempotent || (e.kind() == messages.RouteStreaming && e.route.Resumable)
}

// serve makes attempts at workers until the request has an outcome. Every path ends in exactly one outcome.
func (e *exchange) serve() {
	for {
		decision := e.admit()
		if decision.Verdict != admission.VerdictGranted {
			if e.awaitCapacity() {
				continue
			}
			e.giveUp(decision)
			return
		}
		e.traffic.placed(decision.Grant, clock.Now())
		retry, done := e.attemptAt(decision.Grant)
		if done {
			return
		}
		if retry == RetryNever || e.exhausted() {
			e.giveUp(admission.Decision{Verdict: admission.VerdictNoCapacity, Retry: e.admission.Setpoint / 2})
			return
		}
		if e.requeued {
			// The worker did not fail, so it is not excluded from the next attempt.
			e.requeued = false
			e.proxyServer.Scheduler.Counters(e.route.Name).Resumed.Add(1)
			continue
		}
		e.admission.Excluded = append(e.admission.Excluded, decision.Grant.Worker.ID)
	}
}

// exhausted reports whether no further attempt may be made. Once a response has begun, only the
// route's MaxAttempts, the deadline or the client's disconnect ends it: its client can no longer
// be sent a 503 with Retry-After.
func (e *exchange) exhausted() bool {
	if clock.Now() >= e.deadline || e.request.Context().Err() != nil || e.attempts >= e.route.MaxAttempts {
		return true
	}
	return e.undelivered >= undeliveredLimit && !e.headSent
}

// newRequest builds the request for the worker of a grant.
func (e *exchange) newRequest(grant *admission.Grant) *Request {
	overrides := map[string]string{headerTarget: grant.Worker.ID}
	if e.hasTimeLeft {
		left := e.deadline.Sub(clock.Now()).Milliseconds()
		overrides[headerTimeLeft] = strconv.FormatInt(max(left, 1), 10)
	}
	if e.hasEvent {
		overrides[headerLastEvent] = strconv.FormatInt(e.lastID, 10)
	}
	return &Request{
		Method:         e.method,
		Attempt:        e.attempt,
		Text:           encodeRequest(e.method, e.request.RequestURI, e.request.Host, e.header, overrides, e.body, e.hasLength),
		Deadline:       e.deadline,
		SilenceTimeout: grant.FirstEventTimeout(),
		ShouldGiveUp:   e.silencePolicy(grant),
		Retryable:      e.retryable(),
		RequireSeal:    true,
		OnConnection:   func(connection *workerconn.Connection) { e.connection.Store(connection) },
	}
}

// attemptAt makes one attempt at the worker of a grant. done reports that the request has its outcome.
func (e *exchange) attemptAt(grant *admission.Grant) (retry Retry, done bool) {
	sender := &e.proxyServer.Sender
	stop := e.closeOnDisconnect()
	defer stop()
	response, evidence, err := sender.RoundTrip(grant, e.newRequest(grant))
	if err != nil {
		result := e.resultOfError(err)
		grant.End(result, clock.Now())
		e.proxyServer.Log.Debug("failed to complete request attempt", "worker", grant.Worker.ID, "err", err.Error())
		return e.decideRetry(evidence), false
	}
	if response.NotRun || response.HTTPResponse.StatusCode >= 300 {
		// The response is a rejection or an error, whose latency says nothing about prefill or decode,
		// so it is not recorded.
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

// decideRetry counts the attempt and decides from the evidence whether the request may be sent again.
func (e *exchange) decideRetry(evidence Evidence) Retry {
	evidence.Events, evidence.Head = e.hasEvent && e.headSent, e.headSent
	switch {
	case !evidence.Sent:
		e.undelivered++
	case evidence.NotRun && e.headSent:
		// The client has received part of the response, which only a further attempt can complete. An
		// attempt that a worker rejected without running the request does not count.
	default:
		e.attempts++
		e.mayHaveRun = e.mayHaveRun || !evidence.NotRun
	}
	return DecideRetry(e.kind(), e.route.Resumable, evidence)
}

// closeOnDisconnect closes the worker's connection when the client disconnects, so that the worker
// stops. The caller must call stop when the attempt ends.
func (e *exchange) closeOnDisconnect() (stop func()) {
	return contexts.AfterFunc(e.request.Context(), func() {
		e.closeConnection()
	})
}

// closeConnection aborts the current attempt. It does nothing if the connection has already been
// returned to the pool, where it may carry another request.
func (e *exchange) closeConnection() {
	connection := e.connection.Swap(nil)
	if connection != nil {
		connection.Close()
	}
}

// finish returns the connection to the pool. It first detaches the connection from the exchange, so
// that a concurrent client disconnect cannot close it while it carries another request.
func (e *exchange) finish(response *Response) {
	if e.connection.Swap(nil) == nil {
		e.proxyServer.Sender.Discard(response)
		return
	}
	e.proxyServer.Sender.Release(response)
}

// giveUp ends the request without a success. It chooses the response by what is known: a status that
// promises that nothing ran is sent only if the request has not run.
func (e *exchange) giveUp(decision admission.Decision) {
	proxy := e.proxyServer
	switch {
	case e.headSent:
		// The response has begun: abort it, so that the client sees it as truncated.
		proxy.Counts.Aborted.Add(1)
		panic(http.ErrAbortHandler)
	case e.lastFailure != nil && e.lastFailure.mayBeFinal(e.mayHaveRun):
		proxy.Counts.Failed.Add(1)
		copyHeader(e.writer.Header(), e.lastFailure.header)
		if e.lastFailure.header.Get(headerNotRun) != "" && e.lastFailure.header.Get("Retry-After") == "" {
			e.writer.Header().Set("Retry-After", strconv.FormatFloat(decision.Retry.Seconds(), 'f', 3, 64))
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
		httpreply.RetryAfter(e.writer, http.StatusServiceUnavailable, decision.Retry)
	}
}
