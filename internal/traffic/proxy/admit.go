package proxy

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/traffic/admission"
)

// admit gets a grant, waiting in the queue where that is still worth it.
func (e *exchange) admit() admission.Decision {
	now := clock.Now()
	left := e.deadline.Sub(now)
	if e.attempts == 0 {
		// A rejection within a quarter of the latency target still leaves the client time.
		timeout := clock.Duration(float64(e.admission.Setpoint) * constants.QueueShare)
		e.admission.QueueUntil = min(e.arrivedAt.Add(timeout), e.deadline)
	} else {
		// It has run in part: nobody can be told to come back, so wait longer.
		e.admission.QueueUntil = now.Add(left / 2)
	}
	resumed := make(chan admission.Decision, 1)
	resp, handle := e.proxyServer.Scheduler.Admit(&e.admission, func(late admission.Decision) { resumed <- late }, now)
	if resp.Verdict != admission.VerdictQueued {
		return resp
	}
	select {
	case resp = <-resumed:
	case <-e.request.Context().Done():
		if !e.proxyServer.Scheduler.Withdraw(handle) {
			resp = <-resumed
		} else {
			resp = admission.Decision{Verdict: admission.VerdictNoCapacity}
		}
	}
	return resp
}

// awaitCapacity waits a little where a response that has begun finds no worker to go on at, and
// tells whether to look once more. Its client has a part of it, so it is not refused any more:
// only its deadline ends it, or its client. Workers that were tried before may be asked again.
func (e *exchange) awaitCapacity() bool {
	left := e.deadline.Sub(clock.Now())
	if !e.headSent || left <= 0 {
		return false
	}
	e.admission.Excluded = nil
	select {
	case <-e.request.Context().Done():
		return false
	case <-clock.After(min(constants.TickPeriod, left)):
		return true
	}
}
