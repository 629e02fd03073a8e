package proxy

import (
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/traffic/admission"
)

// workerAnswer is an answer of a worker's own that may be given when no other
// worker can be asked.
type workerAnswer struct {
	status int
	header http.Header
	body   []byte
}

// truthful tells whether the worker's answer may be the outcome of the whole request. A
// status that promises that nothing ran must not follow a run.
func (w *workerAnswer) truthful(mayRun bool) bool {
	if w.header.Get(headerNotRun) != "" {
		return !mayRun
	}
	switch w.status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return true
}

// turnedAway handles a worker that did not run the request.
func (e *exchange) turnedAway(grant *admission.Grant, response *Response) (Repeat, bool) {
	body, whole, err := e.proxyServer.Sender.ReadBody(response, constants.BufferedResponseMax)
	result := admission.ResultTurnedAway
	if grant.Shed(response.Load) {
		result = admission.ResultShed
	}
	if response.Answer.StatusCode == http.StatusMisdirectedRequest {
		// Somebody else answers at this address now.
		result = admission.ResultGoneAway
		e.proxyServer.Sender.Abandon(response)
	} else if err != nil || !whole {
		e.proxyServer.Sender.Abandon(response)
	} else {
		e.finish(response)
		if !e.mayRun {
			// After a run it could not be the outcome any more.
			e.last = &workerAnswer{response.Answer.StatusCode, response.Answer.Header, body}
		}
	}
	grant.End(result, clock.Now())
	return e.judge(Evidence{Sent: true, NotRun: true}), false
}

// refusedByWorker handles a worker's own failure: it has run.
func (e *exchange) refusedByWorker(grant *admission.Grant, response *Response) (Repeat, bool) {
	body, whole, err := e.proxyServer.Sender.ReadBody(response, constants.BufferedResponseMax)
	if err != nil || !whole {
		e.proxyServer.Sender.Abandon(response)
		grant.End(admission.ResultFailed, clock.Now())
		return e.judge(Evidence{Sent: true}), false
	}
	e.finish(response)
	grant.End(errored(response.Answer.StatusCode), clock.Now())
	e.last = &workerAnswer{response.Answer.StatusCode, response.Answer.Header, body}
	repeat := e.judge(Evidence{Sent: true})
	if response.Answer.StatusCode < 500 {
		// A worker's 4xx is its word on the request: another would say the same.
		repeat = RepeatNever
	}
	return repeat, false
}
