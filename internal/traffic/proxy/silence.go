package proxy

import (
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

// silencePolicy returns the function that decides whether to stop waiting for a worker that has sent
// nothing for longer than usual. A retryable request goes to another worker while attempts are left:
// at once if the retry budget permits it, that is unless the service as a whole has become slow, and
// otherwise after a silence of constants.StreamTimeout. Any other request keeps waiting, since silence alone is
// no reason to end a response before its deadline. In both cases the silence is recorded, so that other
// requests are not sent to the silent worker.
func (e *exchange) silencePolicy(grant *admission.Grant) func(elapsed clock.Duration) bool {
	return func(elapsed clock.Duration) bool {
		now := clock.Now()
		if !e.retryable() || e.attempts+1 >= e.route.MaxAttempts {
			grant.RecordSilence(elapsed, now)
			return false
		}
		return grant.TryRetryElsewhere(elapsed, now) || elapsed >= constants.StreamTimeout
	}
}

// resultOfError returns how an attempt without a complete response counts for its worker's health.
func (e *exchange) resultOfError(err error) admission.Result {
	switch {
	case e.request.Context().Err() != nil, errs.Is(err, ErrStaleConnection):
		return admission.ResultCanceled
	case errs.Is(err, workerconn.ErrPoolExhausted):
		// The worker did not fail: this process has no connection left in its budget for it.
		return admission.ResultRejected
	case errs.Is(err, workerconn.ErrNoConnection):
		return admission.ResultUnreachable
	case errs.Is(err, workerconn.ErrWorkerUnresponsive):
		return admission.ResultTimeout
	}
	return admission.ResultFailed
}

// resultOfStatus returns how an error status counts for the worker's health. A 504 does not count as
// a failure, since it only means that the time left was too short.
func resultOfStatus(status int) admission.Result {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return admission.ResultServerError
	}
	return admission.ResultServed
}
