package proxy

import (
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/traffic/admission"
)

// workerFailure is an error response of a worker. It may be relayed to the client if the request can't
// be sent to another worker.
type workerFailure struct {
	status int
	header http.Header
	body   []byte
}

// mayBeFinal reports whether the worker's response may be the outcome of the whole request. A status
// that promises that nothing ran must not be sent if the request may have run.
func (w *workerFailure) mayBeFinal(mayHaveRun bool) bool {
	if w.header.Get(headerNotRun) != "" {
		return !mayHaveRun
	}
	switch w.status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return true
}

// handleNotRun handles a response by which the worker states that it did not run the request.
func (e *exchange) handleNotRun(grant *admission.Grant, response *Response) (Retry, bool) {
	body, complete, err := e.proxyServer.Sender.ReadBody(response, constants.BufferedResponseMax)
	result := admission.ResultRejected
	if grant.IsShedding(response.Load) {
		result = admission.ResultShed
	}
	if response.HTTPResponse.StatusCode == http.StatusMisdirectedRequest {
		// Another worker or a later incarnation now has this address.
		result = admission.ResultMisdirected
		e.proxyServer.Sender.Discard(response)
	} else if err != nil || !complete {
		e.proxyServer.Sender.Discard(response)
	} else {
		e.finish(response)
		if !e.mayHaveRun {
			// Kept only if no attempt may have run the request; otherwise it may not be the outcome.
			e.lastFailure = &workerFailure{response.HTTPResponse.StatusCode, response.HTTPResponse.Header, body}
		}
	}
	grant.End(result, clock.Now())
	return e.decideRetry(Evidence{Sent: true, NotRun: true}), false
}

// handleWorkerFailure handles an error response of a worker that may have run the request.
func (e *exchange) handleWorkerFailure(grant *admission.Grant, response *Response) (Retry, bool) {
	body, complete, err := e.proxyServer.Sender.ReadBody(response, constants.BufferedResponseMax)
	if err != nil || !complete {
		e.proxyServer.Sender.Discard(response)
		grant.End(admission.ResultFailed, clock.Now())
		return e.decideRetry(Evidence{Sent: true}), false
	}
	e.finish(response)
	grant.End(resultOfStatus(response.HTTPResponse.StatusCode), clock.Now())
	e.lastFailure = &workerFailure{response.HTTPResponse.StatusCode, response.HTTPResponse.Header, body}
	retry := e.decideRetry(Evidence{Sent: true})
	if response.HTTPResponse.StatusCode < 500 {
		// A status below 500 is caused by the request itself: another worker would return the same.
		retry = RetryNever
	}
	return retry, false
}
