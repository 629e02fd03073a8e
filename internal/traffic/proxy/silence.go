package proxy

import (
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

// silencePolicy gives the decision on a silence that is longer than usual. What may be
// repeated goes on elsewhere, while attempts are left and the service as a whole has not
// grown slow. What may not waits on: silence gives no reason to end a response sooner.
// Either way the silence is noted, so that others are not sent into it.
func (e *exchange) silencePolicy(grant *admission.Grant) func(elapsed clock.Duration) bool {
	return func(elapsed clock.Duration) bool {
		now := clock.Now()
		if !e.retryable() || e.attempts+1 >= e.route.Tries {
			grant.NoteSilence(elapsed, now)
			return false
		}
		return grant.TryRetryElsewhere(elapsed, now) || elapsed >= constants.StreamTimeout
	}
}

// resultOf tells what an attempt without a response says of its worker.
func (e *exchange) resultOf(err error) admission.Result {
	switch {
	case e.request.Context().Err() != nil, errs.Is(err, ErrStaleConnection):
		return admission.ResultCanceled
	case errs.Is(err, workerconn.ErrPoolExhausted):
		// Nothing is wrong with the worker; we have too many connections to it.
		return admission.ResultRejected
	case errs.Is(err, workerconn.ErrNoConnection):
		return admission.ResultUnreachable
	case errs.Is(err, workerconn.ErrWorkerUnresponsive):
		return admission.ResultTimeout
	}
	return admission.ResultFailed
}

// resultOfStatus tells whether a failure that a worker answered with counts against it: its
// 504 only says that the time was too short.
func resultOfStatus(status int) admission.Result {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return admission.ResultServerError
	}
	return admission.ResultServed
}
