package admission

import (
	"strconv"

	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/health"
)

// Ejection is the event that a worker is ejected from ordinary placement or returns.
type Ejection struct {
	Worker, Service string
	// Reason is the kind of the last failure, or "flapping".
	Reason string
	// Duration is how long; 0 means that it is back.
	Duration clock.Duration
}

// faultOf maps outcomes that count against a worker.
var faultOf = map[Result]health.Fault{
	ResultFailed:      health.FaultReset,
	ResultUnreachable: health.FaultRefused,
	ResultTimeout:     health.FaultTimeout,
	ResultServerError: health.FaultError,
	ResultShed:        health.FaultShed,
	// Another service answers there: this incarnation is gone from the address.
	ResultMisdirected: health.FaultRefused,
}

// OnEjection registers who is notified of ejections and returns; it must not block.
func (s *Scheduler) OnEjection(notify func(Ejection)) { s.onEjection = notify }

// recordOutcome takes an outcome into the health. The lock is held.
func (s *Scheduler) recordOutcome(grant *Grant, result Result, now clock.Instant) {
	worker := grant.Worker
	if fault, against := faultOf[result]; against {
		switch {
		case result == ResultTimeout && grant.silenceLevel == silenceSure:
			// Noted while it lasted.
			return
		case result == ResultTimeout && grant.silence > 0 && grant.silence < constants.SureTimeout:
			fault = health.FaultSlow
		}
		s.recordFault(worker, fault, now)
		return
	}
	if result == ResultServed && s.Tracker.RecordSuccess(worker.ID, worker.Backend, now) && s.onEjection != nil {
		s.onEjection(Ejection{Worker: worker.ID, Service: worker.Backend})
	}
}

func (s *Scheduler) recordFault(worker messages.Worker, fault health.Fault, now clock.Instant) {
	elapsed := s.Tracker.RecordFault(worker.ID, worker.Backend, fault, now)
	s.Tracker.Of(worker.ID).RecordFailure(elapsed, now)
	if elapsed > 0 && s.onEjection != nil {
		s.onEjection(Ejection{Worker: worker.ID, Service: worker.Backend, Reason: fault.String(), Duration: elapsed})
	}
}

// observeIncarnation has the health look at an incarnation that is new here. The lock is held.
func (s *Scheduler) observeIncarnation(worker messages.Worker, now clock.Instant) {
	if _, known := s.Registry.Get(worker.ID); known || worker.Phase != messages.PhaseSteady {
		return
	}
	// An incarnation that drained ended in order. Of one that was never known here
	// nothing can be told.
	orderly := true
	if before, found := s.Registry.Get(s.Tracker.WorkerAt(worker.Address)); found {
		orderly = before.Phase != messages.PhaseSteady
	}
	elapsed := s.Tracker.ObserveIncarnation(worker.ID, worker.Backend, worker.Address, orderly, now)
	if elapsed > 0 && s.onEjection != nil {
		s.onEjection(Ejection{Worker: worker.ID, Service: worker.Backend, Reason: "flapping", Duration: elapsed})
	}
}

// ejectedWorkers gives the workers of a service that get no ordinary request. Own
// outcomes go before reports of peers and before missing heartbeats.
func (s *Scheduler) ejectedWorkers(req *Request, workerList []messages.Worker, now clock.Instant) map[string]bool {
	if !s.Tracker.AnyEjected() {
		return nil
	}
	names := make([]string, len(workerList))
	for i := range workerList {
		names[i] = workerList[i].ID
	}
	idle := func(worker string) bool { return s.Tracker.Of(worker).Own() == 0 }
	return s.Tracker.Ejected(names, req.Retryable || req.Bulk, idle, now)
}

// isSuspect tells whether a worker is only asked where nobody else can be: ejected here,
// or suspected by peers or by missing heartbeats while no own outcomes speak for it.
func (s *Scheduler) isSuspect(worker messages.Worker, status workers.Status, ejected map[string]bool, now clock.Instant) bool {
	if ejected[worker.ID] {
		return true
	}
	outcomes := s.Tracker.OutcomesOf(worker.ID, worker.Backend)
	if status != workers.StatusSuspect && !s.Tracker.Of(worker.ID).SuspectedByPeers(now) {
		return false
	}
	return !outcomes.ProvenHealthy(now)
}

// riskMs is what a worker's failures cost in ms of score, beyond what is usual.
func (s *Scheduler) riskMs(req *Request, worker messages.Worker, now clock.Instant) float64 {
	median := s.Tracker.MedianFailureRate(worker.Backend, now)
	cost := constants.ErrCostOnce
	if req.Retryable || req.Bulk {
		cost = constants.ErrCost
	}
	return cost * max(0, s.Tracker.OutcomesOf(worker.ID, worker.Backend).FailureRate(median, now)-median-constants.RiskFloor)
}

// OutcomeSummary describes a worker's outcomes for the shell: its rate of
// failure, whether it is ejected (held) or on trial, and the failures by kind. The lock is held.
func (s *Scheduler) OutcomeSummary(worker messages.Worker, now clock.Instant) string {
	outcomes := s.Tracker.OutcomesOf(worker.ID, worker.Backend)
	sample := "rate=" + strconv.FormatFloat(outcomes.FailureRate(s.Tracker.MedianFailureRate(worker.Backend, now), now), 'f', 2, 64)
	switch {
	case outcomes.IsEjected(now):
		sample += " held"
	case outcomes.OnTrial(now):
		sample += " trial"
	}
	for i, count := range outcomes.Counts() {
		if count > 0 {
			sample += " " + health.Kinds()[i] + "=" + strconv.FormatInt(count, 10)
		}
	}
	return sample
}
