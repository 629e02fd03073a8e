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
func (answer *workerAnswer) truthful(mayRun bool) bool {
	if answer.header.Get(headerNotRun) != "" {
		return !mayRun
	}
	switch answer.status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return true
}

// turnedAway handles a worker that did not run the request.
func (one *exchange) turnedAway(grant *admission.Grant, response *Response) (Repeat, bool) {
	body, whole, err := one.proxyServer.Sender.ReadBody(response, constants.BufferedAnswer)
	result := admission.ResultTurnedAway
	if grant.Shed(response.Load) {
		result = admission.ResultShed
	}
	if response.Answer.StatusCode == http.StatusMisdirectedRequest {
		// Somebody else answers at this address now.
		result = admission.ResultGoneAway
		one.proxyServer.Sender.Abandon(response)
	} else if err != nil || !whole {
		one.proxyServer.Sender.Abandon(response)
	} else {
		one.finish(response)
		if !one.mayRun {
			// After a run it could not be the outcome any more.
			one.last = &workerAnswer{response.Answer.StatusCode, response.Answer.Header, body}
		}
	}
	grant.End(result, clock.Now())
	return one.judge(Evidence{Sent: true, NotRun: true}), false
}

// refusedByWorker handles a worker's own failure: it has run.
func (one *exchange) refusedByWorker(grant *admission.Grant, response *Response) (Repeat, bool) {
	body, whole, err := one.proxyServer.Sender.ReadBody(response, constants.BufferedAnswer)
	if err != nil || !whole {
		one.proxyServer.Sender.Abandon(response)
		grant.End(admission.ResultFailed, clock.Now())
		return one.judge(Evidence{Sent: true}), false
	}
	one.finish(response)
	grant.End(errored(response.Answer.StatusCode), clock.Now())
	one.last = &workerAnswer{response.Answer.StatusCode, response.Answer.Header, body}
	repeat := one.judge(Evidence{Sent: true})
	if response.Answer.StatusCode < 500 {
		// A worker's 4xx is its word on the request: another would say the same.
		repeat = RepeatNever
	}
	return repeat, false
}
