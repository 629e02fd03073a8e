package carriage

import (
	"net/http"

	"lemonarch/internal/almanac"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// turnedAway handles a worker that did not run the request.
func (one *journey) turnedAway(grant *workbench.Grant, delivery *Delivery) (Repeat, bool) {
	body, whole, failure := one.carriage.Courier.ReadBody(delivery, almanac.BufferedAnswer)
	outcome := workbench.OutcomeTurnedAway
	if grant.Shed(delivery.Load) {
		outcome = workbench.OutcomeShed
	}
	if delivery.Answer.StatusCode == http.StatusMisdirectedRequest {
		// Somebody else answers at this address now.
		outcome = workbench.OutcomeGoneAway
		one.carriage.Courier.Abandon(delivery)
	} else if failure != nil || !whole {
		one.carriage.Courier.Abandon(delivery)
	} else {
		one.finish(delivery)
		one.last = &workerAnswer{delivery.Answer.StatusCode, delivery.Answer.Header, body}
	}
	grant.End(outcome, watch.Now())
	return one.judge(Evidence{Sent: true, NotRun: true}), false
}

// refusedByWorker handles a worker's own failure: it has run.
func (one *journey) refusedByWorker(grant *workbench.Grant, delivery *Delivery) (Repeat, bool) {
	body, whole, failure := one.carriage.Courier.ReadBody(delivery, almanac.BufferedAnswer)
	if failure != nil || !whole {
		one.carriage.Courier.Abandon(delivery)
		grant.End(workbench.OutcomeFailed, watch.Now())
		return one.judge(Evidence{Sent: true}), false
	}
	one.finish(delivery)
	grant.End(errored(delivery.Answer.StatusCode), watch.Now())
	one.last = &workerAnswer{delivery.Answer.StatusCode, delivery.Answer.Header, body}
	repeat := one.judge(Evidence{Sent: true})
	if delivery.Answer.StatusCode < 500 {
		// A worker's 4xx is its word on the request: another would say the same.
		repeat = RepeatNever
	}
	return repeat, false
}
