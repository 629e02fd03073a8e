package gateway

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// promise follows the questions that one call was put in, and keeps a refusal from
// being told while any of them may still have an effect: 429, 503, 408 and 421 say
// that nothing of a lot runs, now or later.
type promise struct {
	// unclear says that a question may have arrived and got no answer.
	unclear bool
}

// heard notes how a question ended.
func (p *promise) heard(err error) {
	p.unclear = p.unclear || (err != nil && !errs.Is(err, transport.ErrUnreachable))
}

// tell gives what may be said to the asker of what one process answered.
func (p *promise) tell(call *messages.JobCallRequest, answer *messages.JobCallResponse) *messages.JobCallResponse {
	if call.Method == http.MethodPost && p.unclear && promises(answer.Status) {
		return unknownResult()
	}
	return answer
}

// promises tells whether a status says that nothing ran and nothing will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// unknownResult promises nothing: the asker may hand the same lot in again.
func unknownResult() *messages.JobCallResponse {
	return &messages.JobCallResponse{Status: http.StatusGatewayTimeout, Body: []byte(`{"error":"outcome unknown"}`)}
}

// question makes the copy of a call that goes to one process. It has a name of its
// own, and a hand-in says for how long it may be taken.
func (g *gate) question(call *messages.JobCallRequest, left clock.Duration) *messages.JobCallRequest {
	copied := *call
	if call.Method == http.MethodPost {
		own := g.runtime.Self
		copied.RequestID = own.Name + "#" + strconv.FormatInt(own.Incarnation, 36) + "#" + strconv.FormatUint(g.asks.Add(1), 36)
		copied.TTLMs = max(left.Milliseconds(), 1)
	}
	return &copied
}
