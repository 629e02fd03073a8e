package health

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// addressHistory is what is remembered of an address: the incarnation that answers there now, and how
// many before it ended without draining.
type addressHistory struct {
	worker, service string
	crashes         int
	startedAt       clock.Instant
}

// ObserveIncarnation notes a new incarnation at an address. One that follows some which ended without
// draining is on trial, and from the second such end on ejected for
// a growing time: it may be going down and up by turns.
func (t *Tracker) ObserveIncarnation(worker, service, address string, orderly bool, now clock.Instant) (duration clock.Duration) {
	outcomes := t.OutcomesOf(worker, service)
	known, found := t.outcomes.incarnations[address]
	if found && known.worker == worker {
		return 0
	}
	next := addressHistory{worker: worker, service: service, startedAt: now}
	// An address may be given to another service: its past is another's. Incarnations learnt of
	// in one update, as when a process starts, tell nothing of who ended.
	if found && known.service == service && !orderly && now > known.startedAt && now.Sub(known.startedAt) < constants.FlapWindow {
		next.crashes = known.crashes + 1
	}
	t.outcomes.incarnations[address] = next
	if next.crashes < constants.FlapDeaths {
		return 0
	}
	outcomes.level = min(next.crashes-constants.FlapDeaths, constants.EjectLevels)
	outcomes.failedAt = now
	return t.eject(worker, outcomes, now)
}

// WorkerAt names the worker that answers at an address, if one is known.
func (t *Tracker) WorkerAt(address string) string { return t.outcomes.incarnations[address].worker }

// ForgetOutcomes drops what is known of a worker's outcomes; its address stays known for a while.
func (t *Tracker) ForgetOutcomes(worker string) {
	delete(t.outcomes.byWorker, worker)
	delete(t.outcomes.ejected, worker)
}

// Sweep forgets addresses whose last incarnation began long ago.
func (t *Tracker) Sweep(now clock.Instant) {
	for address, known := range t.outcomes.incarnations {
		if now.Sub(known.startedAt) > constants.ForgetAfter && t.outcomes.byWorker[known.worker] == nil {
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

// AnyEjected tells whether any worker is ejected or on trial.
func (t *Tracker) AnyEjected() bool { return len(t.outcomes.ejected) > 0 }

// Ejected gives the workers that get no ordinary request now, of those named. Never more
// than EjectShare of them: of too many, those that fail most. idle tells whether we
// have nothing running at a worker; repeatable tells whether the request may be a trial.
func (t *Tracker) Ejected(workerList []string, repeatable bool, idle func(worker string) bool, now clock.Instant) map[string]bool {
	type one struct {
		worker string
		rate   float64
	}
	var candidates []one
	for _, worker := range workerList {
		outcomes := t.outcomes.ejected[worker]
		if outcomes == nil {
			continue
		}
		if outcomes.IsEjected(now) || (outcomes.OnTrial(now) && (!repeatable || !idle(worker))) {
			candidates = append(candidates, one{worker, outcomes.FailureRate(0, now)})
		}
	}
	most := int(constants.EjectShare * float64(len(workerList)))
	if most == 0 && len(workerList) > 1 {
		most = 1
	}
	if len(candidates) > most {
		sort.Slice(candidates, func(left, right int) bool {
			if candidates[left].rate != candidates[right].rate {
				return candidates[left].rate > candidates[right].rate
			}
			return candidates[left].worker < candidates[right].worker
		})
		candidates = candidates[:most]
	}
	ejected := make(map[string]bool, len(candidates))
	for _, each := range candidates {
		ejected[each.worker] = true
	}
	return ejected
}
