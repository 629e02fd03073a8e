package proxy

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/traffic/admission"
)

// admit requests a grant from the scheduler and waits in its queue, if queued, up to QueueUntil or
// the client's disconnect.
func (e *exchange) admit() admission.Decision {
	now := clock.Now()
	left := e.deadline.Sub(now)
	if e.attempts == 0 {
		// A rejection within a quarter of the latency target (QueueShare is below it) leaves the client time to retry.
		timeout := clock.Duration(float64(e.admission.Setpoint) * constants.QueueShare)
		e.admission.QueueUntil = min(e.arrivedAt.Add(timeout), e.deadline)
	} else {
		// The request may have run in part, so the client can't be sent a 503 with Retry-After: wait longer.
		e.admission.QueueUntil = now.Add(left / 2)
	}
	decided := make(chan admission.Decision, 1)
	decision, handle := e.proxyServer.Scheduler.Admit(&e.admission, func(queuedDecision admission.Decision) { decided <- queuedDecision }, now)
	if decision.Verdict != admission.VerdictQueued {
		return decision
	}
	select {
	case decision = <-decided:
	case <-e.request.Context().Done():
		if !e.proxyServer.Scheduler.Withdraw(handle) {
			decision = <-decided
		} else {
			decision = admission.Decision{Verdict: admission.VerdictNoCapacity}
		}
	}
	return decision
}

// awaitCapacity waits briefly if a response has begun and no worker can continue it, and reports
// whether to request admission again. Since the client has received part of the response, the
// request can no longer be rejected: only its deadline or the client's disconnect ends it. Workers
// that were tried before may be tried again.
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
