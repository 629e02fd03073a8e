package proxy

import (
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/traffic/admission"
)

// workerFailure is a response of a worker's own that may be given when no other
// worker can be asked.
type workerFailure struct {
	status int
	header http.Header
	body   []byte
}

// mayBeFinal tells whether the worker's response may be the outcome of the whole request. A
// status that promises that nothing ran must not follow a run.
func (w *workerFailure) mayBeFinal(mayRun bool) bool {
	if w.header.Get(headerNotRun) != "" {
		return !mayRun
	}
	switch w.status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return true
}

// handleNotRun handles a worker that did not run the request.
func (e *exchange) handleNotRun(grant *admission.Grant, response *Response) (Retry, bool) {
	body, complete, err := e.proxyServer.Sender.ReadBody(response, constants.BufferedResponseMax)
	result := admission.ResultRejected
	if grant.IsShedding(response.Load) {
		result = admission.ResultShed
	}
	if response.HTTPResponse.StatusCode == http.StatusMisdirectedRequest {
		// Somebody else answers at this address now.
		result = admission.ResultMisdirected
		e.proxyServer.Sender.Discard(response)
	} else if err != nil || !complete {
		e.proxyServer.Sender.Discard(response)
	} else {
		e.finish(response)
		if !e.mayHaveRun {
			// After a run it could not be the outcome any more.
			e.lastFailure = &workerFailure{response.HTTPResponse.StatusCode, response.HTTPResponse.Header, body}
		}
	}
	grant.End(result, clock.Now())
	return e.decideRetry(Evidence{Sent: true, NotRun: true}), false
}

// handleWorkerFailure handles a worker's own failure: it has run.
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
		// A worker's 4xx is about the request: another would answer the same.
		retry = RetryNever
	}
	return retry, false
}
