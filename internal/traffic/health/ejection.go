package health

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// addressHistory is the history of an address: the incarnation that currently responds there, when
// it was first observed (startedAt), and the number of previous incarnations in a row that ended
// without draining, each within constants.FlapWindow of its start (crashes).
type addressHistory struct {
	worker, service string
	crashes         int
	startedAt       clock.Instant
}

// ObserveIncarnation records a new incarnation at an address. If at least two previous incarnations
// in a row ended without draining, each within constants.FlapWindow of its start, the new one is
// ejected for a growing time and then on trial, because the worker may be flapping (crashing and
// restarting in turn). orderly is true if the previous incarnation ended by draining, or if it is not
// known how it ended. It returns the duration of the ejection, or 0 if there is none.
func (t *Tracker) ObserveIncarnation(worker, service, address string, orderly bool, now clock.Instant) (duration clock.Duration) {
	outcomes := t.OutcomesOf(worker, service)
	previous, found := t.outcomes.incarnations[address]
	if found && previous.worker == worker {
		return 0
	}
	next := addressHistory{worker: worker, service: service, startedAt: now}
	// An address may be reassigned to another service, to which its history does not apply.
	// Incarnations received in one update, for example when a process starts, do not show which of
	// them ended.
	if found && previous.service == service && !orderly && now > previous.startedAt && now.Sub(previous.startedAt) < constants.FlapWindow {
		next.crashes = previous.crashes + 1
	}
	t.outcomes.incarnations[address] = next
	if next.crashes < constants.FlapCrashes {
		return 0
	}
	outcomes.level = min(next.crashes-constants.FlapCrashes, constants.EjectLevels)
	outcomes.failedAt = now
	return t.eject(worker, outcomes, now)
}

// WorkerAt returns the worker that responds at an address, or "" if none is known.
func (t *Tracker) WorkerAt(address string) string { return t.outcomes.incarnations[address].worker }

// ForgetOutcomes deletes a worker's outcomes. The history of its address is kept until Sweep
// deletes it.
func (t *Tracker) ForgetOutcomes(worker string) {
	delete(t.outcomes.byWorker, worker)
	delete(t.outcomes.ejected, worker)
}

// Sweep deletes the addresses whose last incarnation started more than constants.ForgetAfter ago and
// has no recorded outcomes, and ends the trials whose time has expired.
func (t *Tracker) Sweep(now clock.Instant) {
	for address, history := range t.outcomes.incarnations {
		if now.Sub(history.startedAt) > constants.ForgetAfter && t.outcomes.byWorker[history.worker] == nil {
			delete(t.outcomes.incarnations, address)
		}
	}
	for worker, outcomes := range t.outcomes.ejected {
		if now >= outcomes.trialEnd {
			outcomes.trial = false
			delete(t.outcomes.ejected, worker)
		}
	}
}

// AnyEjected reports whether any worker is ejected or on trial.
func (t *Tracker) AnyEjected() bool { return len(t.outcomes.ejected) > 0 }

// Ejected returns those of the given workers that receive no ordinary request now, but never more
// than constants.EjectShare of them (or one, if the share rounds down to none of several): if more
// qualify, those with the highest failure rates. idle reports whether this process has no request
// running at a worker. retryable is true if the request may be sent to another worker after a failure,
// and so may be used as a trial.
func (t *Tracker) Ejected(workerList []string, retryable bool, idle func(worker string) bool, now clock.Instant) map[string]bool {
	type ejectionCandidate struct {
		worker string
		rate   float64
	}
	var candidates []ejectionCandidate
	for _, worker := range workerList {
		outcomes := t.outcomes.ejected[worker]
		if outcomes == nil {
			continue
		}
		if outcomes.IsEjected(now) || (outcomes.OnTrial(now) && (!retryable || !idle(worker))) {
			candidates = append(candidates, ejectionCandidate{worker, outcomes.FailureRate(0, now)})
		}
	}
	maxEjected := int(constants.EjectShare * float64(len(workerList)))
	if maxEjected == 0 && len(workerList) > 1 {
		maxEjected = 1
	}
	if len(candidates) > maxEjected {
		sort.Slice(candidates, func(left, right int) bool {
			if candidates[left].rate != candidates[right].rate {
				return candidates[left].rate > candidates[right].rate
			}
			return candidates[left].worker < candidates[right].worker
		})
		candidates = candidates[:maxEjected]
	}
	ejected := make(map[string]bool, len(candidates))
	for _, candidate := range candidates {
		ejected[candidate.worker] = true
	}
	return ejected
}
