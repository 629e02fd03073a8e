package admission

import (
	"strconv"

	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/health"
)

// Ejection is the event that a worker is ejected from ordinary placement or returns to it.
type Ejection struct {
	Worker, Service string
	// Reason is the kind of the last failure, or "flapping".
	Reason string
	// Duration is the length of the ejection; 0 means that the worker has returned.
	Duration clock.Duration
}

// faultOf maps the results that count against a worker to the kind of fault.
var faultOf = map[Result]health.Fault{
	ResultFailed:      health.FaultReset,
	ResultUnreachable: health.FaultRefused,
	ResultTimeout:     health.FaultTimeout,
	ResultServerError: health.FaultError,
	ResultShed:        health.FaultShed,
	// Another worker or a later incarnation responds at the address, so this incarnation no longer
	// runs there.
	ResultMisdirected: health.FaultRefused,
}

// OnEjection registers the function that is called on ejections and returns. The function must not
// block.
func (s *Scheduler) OnEjection(notify func(Ejection)) { s.onEjection = notify }

// recordOutcome applies the result of a grant to the worker's health. The caller must hold the
// lock.
func (s *Scheduler) recordOutcome(grant *Grant, result Result, now clock.Instant) {
	worker := grant.Worker
	if fault, isFault := faultOf[result]; isFault {
		switch {
		case result == ResultTimeout && grant.silenceLevel == silenceTimeout:
			// RecordSilence recorded this timeout while the request was pending.
			return
		case result == ResultTimeout && grant.silence > 0 && grant.silence < constants.SilenceFaultTimeout:
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
	ejectedFor := s.Tracker.RecordFault(worker.ID, worker.Backend, fault, now)
	s.Tracker.HealthOf(worker.ID).RecordFailure(ejectedFor, now)
	if ejectedFor > 0 && s.onEjection != nil {
		s.onEjection(Ejection{Worker: worker.ID, Service: worker.Backend, Reason: fault.String(), Duration: ejectedFor})
	}
}

// observeIncarnation records a worker incarnation that is new to this process. The caller must hold
// the lock.
func (s *Scheduler) observeIncarnation(worker messages.Worker, now clock.Instant) {
	if _, known := s.Registry.Get(worker.ID); known || worker.Phase != messages.PhaseSteady {
		return
	}
	// A previous incarnation that was draining ended in an orderly way. If none was known here,
	// nothing can be concluded about its end, so it is treated as orderly.
	orderly := true
	if previous, found := s.Registry.Get(s.Tracker.WorkerAt(worker.Address)); found {
		orderly = previous.Phase != messages.PhaseSteady
	}
	ejectedFor := s.Tracker.ObserveIncarnation(worker.ID, worker.Backend, worker.Address, orderly, now)
	if ejectedFor > 0 && s.onEjection != nil {
		s.onEjection(Ejection{Worker: worker.ID, Service: worker.Backend, Reason: "flapping", Duration: ejectedFor})
	}
}

// ejectedWorkers returns the workers of a service that receive no ordinary requests, according to the
// outcomes observed by this process. These take precedence over suspicions by peers or because of
// missing heartbeats, which are considered in isSuspect.
func (s *Scheduler) ejectedWorkers(req *Request, workerList []messages.Worker, now clock.Instant) map[string]bool {
	if !s.Tracker.AnyEjected() {
		return nil
	}
	names := make([]string, len(workerList))
	for i := range workerList {
		names[i] = workerList[i].ID
	}
	idle := func(worker string) bool { return s.Tracker.HealthOf(worker).OwnRequests() == 0 }
	return s.Tracker.Ejected(names, req.Retryable || req.Bulk, idle, now)
}

// isSuspect reports whether a worker is skipped in the first pass of selectAmong and penalized in the
// second: it is ejected here, or it is suspected by peers or because of missing heartbeats while this
// process's own outcomes do not prove it healthy. A worker that is suspected because of missing
// heartbeats is skipped in the first pass whatever its outcomes.
func (s *Scheduler) isSuspect(worker messages.Worker, status workers.Status, ejected map[string]bool, now clock.Instant) bool {
	if ejected[worker.ID] {
		return true
	}
	outcomes := s.Tracker.OutcomesOf(worker.ID, worker.Backend)
	if status != workers.StatusSuspect && !s.Tracker.HealthOf(worker.ID).SuspectedByPeers(now) {
		return false
	}
	return !outcomes.ProvenHealthy(now)
}

// riskMs returns the cost of a worker's failure rate above the service's median plus
// constants.RiskFloor, in ms of score.
func (s *Scheduler) riskMs(req *Request, worker messages.Worker, now clock.Instant) float64 {
	median := s.Tracker.MedianFailureRate(worker.Backend, now)
	cost := constants.FailureCostNotRetryableMs
	if req.Retryable || req.Bulk {
		cost = constants.FailureCostMs
	}
	return cost * max(0, s.Tracker.OutcomesOf(worker.ID, worker.Backend).FailureRate(median, now)-median-constants.RiskFloor)
}

// OutcomeSummary returns a summary of a worker's outcomes for the shell: its failure rate, whether
// it is ejected ("held") or on trial, and the failures by kind. The caller must hold the lock.
func (s *Scheduler) OutcomeSummary(worker messages.Worker, now clock.Instant) string {
	outcomes := s.Tracker.OutcomesOf(worker.ID, worker.Backend)
	summary := "rate=" + strconv.FormatFloat(outcomes.FailureRate(s.Tracker.MedianFailureRate(worker.Backend, now), now), 'f', 2, 64)
	switch {
	case outcomes.IsEjected(now):
		summary += " held"
	case outcomes.OnTrial(now):
		summary += " trial"
	}
	for i, count := range outcomes.Counts() {
		if count > 0 {
			summary += " " + health.Kinds()[i] + "=" + strconv.FormatInt(count, 10)
		}
	}
	return summary
}
