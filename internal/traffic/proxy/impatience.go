package proxy

import (
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

// impatient gives the decision on a silence that is longer than usual. What may be
// repeated goes on elsewhere, while tries are left and the service as a whole has not
// grown slow. What may not waits on: silence gives no reason to end an answer sooner.
// Either way the silence is noted, so that others are not sent into it.
func (e *exchange) impatient(grant *admission.Grant) func(silence clock.Duration) bool {
	return func(silence clock.Duration) bool {
		now := clock.Now()
		if !e.repeatable() || e.sent+1 >= e.route.Tries {
			grant.Doubt(silence, now)
			return false
		}
		return grant.Leave(silence, now) || silence >= constants.StreamTimeout
	}
}

// resultOf tells what a try without an answer says of its worker.
func (e *exchange) resultOf(err error) admission.Result {
	switch {
	case e.request.Context().Err() != nil, errs.Is(err, ErrStaleConnection):
		return admission.ResultCalledOff
	case errs.Is(err, workerconn.ErrPoolExhausted):
		// Nothing is wrong with the worker; we have too many connections to it.
		return admission.ResultTurnedAway
	case errs.Is(err, workerconn.ErrNoConnection):
		return admission.ResultRefused
	case errs.Is(err, workerconn.ErrWorkerUnresponsive):
		return admission.ResultSilent
	}
	return admission.ResultFailed
}

// errored tells whether a failure that a worker answered with speaks against it: its
// 504 only says that the time was too short.
func errored(status int) admission.Result {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return admission.ResultErrored
	}
	return admission.ResultServed
}
