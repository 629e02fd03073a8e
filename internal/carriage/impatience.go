package carriage

import (
	"net/http"

	"lemonarch/internal/almanac"
	"lemonarch/internal/chisel"
	"lemonarch/internal/mishap"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// impatient gives the decision on a silence that is longer than usual. What may be
// repeated goes on elsewhere, while tries are left and the service as a whole has not
// grown slow. What may not waits on: silence gives no reason to end an answer sooner.
// Either way the silence is noted, so that others are not sent into it.
func (one *journey) impatient(grant *workbench.Grant) func(silence watch.Span) bool {
	return func(silence watch.Span) bool {
		now := watch.Now()
		if !one.repeatable() || one.sent+1 >= one.route.Tries {
			grant.Doubt(silence, now)
			return false
		}
		return grant.Leave(silence, now) || silence >= almanac.SilentWorker
	}
}

// outcomeOf tells what a try without an answer says of its worker.
func (one *journey) outcomeOf(failure error) workbench.Outcome {
	switch {
	case one.request.Context().Err() != nil, mishap.Of(failure, Stale):
		return workbench.OutcomeCalledOff
	case mishap.Of(failure, chisel.Spent):
		// Nothing is wrong with the worker; we have too many pipes to it.
		return workbench.OutcomeTurnedAway
	case mishap.Of(failure, chisel.NoPipe):
		return workbench.OutcomeRefused
	case mishap.Of(failure, chisel.Silent):
		return workbench.OutcomeSilent
	}
	return workbench.OutcomeFailed
}

// errored tells whether a failure that a worker answered with speaks against it: its
// 504 only says that the time was too short.
func errored(status int) workbench.Outcome {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return workbench.OutcomeErrored
	}
	return workbench.OutcomeServed
}
