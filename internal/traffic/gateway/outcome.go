package gateway

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// outcomeTracker follows the questions that one call was put in, and keeps a refusal from
// being told while any of them may still have an effect: 429, 503, 408 and 421 say
// that nothing of a lot runs, now or later.
type outcomeTracker struct {
	// unknown says that a question may have arrived and got no answer.
	unknown bool
}

// observe notes how a question ended.
func (p *outcomeTracker) observe(err error) {
	p.unknown = p.unknown || (err != nil && !errs.Is(err, transport.ErrUnreachable))
}

// response gives what may be said to the asker of what one process answered.
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

// outcomeUnknown promises nothing: the asker may hand the same lot in again.
func outcomeUnknown() *messages.JobCallResponse {
	return &messages.JobCallResponse{Status: http.StatusGatewayTimeout, Body: []byte(`{"error":"outcome unknown"}`)}
}

// requestFor makes the copy of a call that goes to one process. It has a name of its
// own, and a hand-in says for how long it may be taken.
func (g *jobForwarder) requestFor(call *messages.JobCallRequest, left clock.Duration) *messages.JobCallRequest {
	copied := *call
	if call.Method == http.MethodPost {
		own := g.runtime.Self
		copied.RequestID = own.Name + "#" + strconv.FormatInt(own.Incarnation, 36) + "#" + strconv.FormatUint(g.requests.Add(1), 36)
		copied.TTLMs = max(left.Milliseconds(), 1)
	}
	return &copied
}
