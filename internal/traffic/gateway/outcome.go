package gateway

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// outcomeTracker tracks the requests that were made for one call. It prevents a rejection from being
// returned while any of them may still have an effect, since 429, 503, 408 and 421 promise that no part
// of a job runs, now or later.
type outcomeTracker struct {
	// unknown means that a request may have arrived although there was no response.
	unknown bool
}

// observe records the error of a request, or nil.
func (p *outcomeTracker) observe(err error) {
	p.unknown = p.unknown || (err != nil && !errs.Is(err, transport.ErrUnreachable))
}

// response returns the response for the caller after one process sent resp. That is resp itself, unless
// resp promises that a submission does not run while an earlier request for it may still have an effect.
func (p *outcomeTracker) response(call *messages.JobCallRequest, resp *messages.JobCallResponse) *messages.JobCallResponse {
	if call.Method == http.MethodPost && p.unknown && promisesNotRun(resp.Status) {
		return outcomeUnknown()
	}
	return resp
}

// promisesNotRun reports whether a status promises that nothing has run and nothing will run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// outcomeUnknown returns a response that promises nothing: the caller may submit the same job again.
func outcomeUnknown() *messages.JobCallResponse {
	return &messages.JobCallResponse{Status: http.StatusGatewayTimeout, Body: []byte(`{"error":"outcome unknown"}`)}
}

// requestFor returns a copy of a call to send to one process. A submission gets a request ID of its
// own and the time for which it may be accepted.
func (g *jobForwarder) requestFor(call *messages.JobCallRequest, left clock.Duration) *messages.JobCallRequest {
	copied := *call
	if call.Method == http.MethodPost {
		self := g.runtime.Self
		copied.RequestID = self.Name + "#" + strconv.FormatInt(self.Incarnation, 36) + "#" + strconv.FormatUint(g.requests.Add(1), 36)
		copied.TTLMs = max(left.Milliseconds(), 1)
	}
	return &copied
}
