package gateway

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// outcomeTracker follows the requests that were made for one call, and keeps a rejection from
// being returned while any of them may still have an effect: 429, 503, 408 and 421 promise
// that nothing of a job runs, now or later.
type outcomeTracker struct {
	// unknown says that a request may have arrived and got no response.
	unknown bool
}

// observe notes how a request ended.
func (p *outcomeTracker) observe(err error) {
	p.unknown = p.unknown || (err != nil && !errs.Is(err, transport.ErrUnreachable))
}

// response gives what the caller may be told of what one process answered.
func (p *outcomeTracker) response(call *messages.JobCallRequest, resp *messages.JobCallResponse) *messages.JobCallResponse {
	if call.Method == http.MethodPost && p.unknown && promisesNotRun(resp.Status) {
		return outcomeUnknown()
	}
	return resp
}

// promisesNotRun tells whether a status says that nothing ran and nothing will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// outcomeUnknown promises nothing: the caller may submit the same job again.
func outcomeUnknown() *messages.JobCallResponse {
	return &messages.JobCallResponse{Status: http.StatusGatewayTimeout, Body: []byte(`{"error":"outcome unknown"}`)}
}

// requestFor makes the copy of a call that goes to one process. It has a name of its
// own, and a submission says for how long it may be taken.
func (g *jobForwarder) requestFor(call *messages.JobCallRequest, left clock.Duration) *messages.JobCallRequest {
	copied := *call
	if call.Method == http.MethodPost {
		own := g.runtime.Self
		copied.RequestID = own.Name + "#" + strconv.FormatInt(own.Incarnation, 36) + "#" + strconv.FormatUint(g.requests.Add(1), 36)
		copied.TTLMs = max(left.Milliseconds(), 1)
	}
	return &copied
}
