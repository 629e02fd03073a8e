package admission

import (
	"strconv"

	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/health"
)

// Ejection is told when a worker is ejected from ordinary placement or returns.
type Ejection struct {
	Worker, Service string
	// Why is the kind of the last failure, or "flapping".
	Why string
	// For is how long; 0 means that it is back.
	For clock.Duration
}

// troubleOf maps outcomes that say something against a worker.
var troubleOf = map[Result]health.Fault{
	ResultFailed:  health.FaultReset,
	ResultRefused: health.FaultRefused,
	ResultSilent:  health.FaultTimeout,
	ResultErrored: health.FaultError,
	ResultShed:    health.FaultShed,
	// Another service answers there: this life is gone from the address.
	ResultGoneAway: health.FaultRefused,
}

// OnEjection names who is told of ejections and returns; it must not block.
func (s *Scheduler) OnEjection(tell func(Ejection)) { s.tellEjection = tell }

// judge takes an outcome into the health. The lock is held.
func (s *Scheduler) judge(grant *Grant, result Result, now clock.Instant) {
	worker := grant.Worker
	if trouble, against := troubleOf[result]; against {
		switch {
		case result == ResultSilent && grant.doubt == doubtSure:
			// Noted while it lasted.
			return
		case result == ResultSilent && grant.silence > 0 && grant.silence < constants.SureTimeout:
			trouble = health.FaultSlow
		}
		s.troubled(worker, trouble, now)
		return
	}
	if result == ResultServed && s.Tracker.RecordSuccess(worker.ID, worker.Backend, now) && s.tellEjection != nil {
		s.tellEjection(Ejection{Worker: worker.ID, Service: worker.Backend})
	}
}

func (s *Scheduler) troubled(worker messages.Worker, trouble health.Fault, now clock.Instant) {
	span := s.Tracker.RecordFault(worker.ID, worker.Backend, trouble, now)
	s.Tracker.Of(worker.ID).RecordFailure(span, now)
	if span > 0 && s.tellEjection != nil {
		s.tellEjection(Ejection{Worker: worker.ID, Service: worker.Backend, Why: trouble.String(), For: span})
	}
}

// born has the health look at a life that is new to us. The lock is held.
func (s *Scheduler) born(worker messages.Worker, now clock.Instant) {
	if _, known := s.Registry.Get(worker.ID); known || worker.Phase != messages.PhaseSteady {
		return
	}
	// A life that said that it leaves made room in order. Of one that we never heard
	// of we can't tell.
	orderly := true
	if before, found := s.Registry.Get(s.Tracker.WorkerAt(worker.Address)); found {
		orderly = before.Phase != messages.PhaseSteady
	}
	span := s.Tracker.ObserveIncarnation(worker.ID, worker.Backend, worker.Address, orderly, now)
	if span > 0 && s.tellEjection != nil {
		s.tellEjection(Ejection{Worker: worker.ID, Service: worker.Backend, Why: "flapping", For: span})
	}
}

// standings sorts out which workers of a service get no ordinary request. Our own
// outcomes go before hearsay and before missing heartbeats.
func (s *Scheduler) apart(ask *Ask, workerList []messages.Worker, now clock.Instant) map[string]bool {
	if !s.Tracker.AnyEjected() {
		return nil
	}
	names := make([]string, len(workerList))
	for place := range workerList {
		names[place] = workerList[place].ID
	}
	idle := func(worker string) bool { return s.Tracker.Of(worker).Own() == 0 }
	return s.Tracker.Ejected(names, ask.Repeatable || ask.Bulk, idle, now)
}

// suspect tells whether a worker is only asked where nobody else can be: ejected here,
// or told of by peers or by missing heartbeats while nothing of ours speaks for it.
func (s *Scheduler) suspect(worker messages.Worker, standing workers.Status, apart map[string]bool, now clock.Instant) bool {
	if apart[worker.ID] {
		return true
	}
	trust := s.Tracker.OutcomesOf(worker.ID, worker.Backend)
	if standing != workers.StatusSuspect && !s.Tracker.Of(worker.ID).SuspectedByPeers(now) {
		return false
	}
	return !trust.ProvenHealthy(now)
}

// risk is what a worker's failures cost in ms of score, beyond what is usual.
func (s *Scheduler) risk(ask *Ask, worker messages.Worker, now clock.Instant) float64 {
	usual := s.Tracker.MedianFailureRate(worker.Backend, now)
	cost := constants.ErrCostOnce
	if ask.Repeatable || ask.Bulk {
		cost = constants.ErrCost
	}
	return cost * max(0, s.Tracker.OutcomesOf(worker.ID, worker.Backend).FailureRate(usual, now)-usual-constants.RiskFloor)
}

// TrustWord says in a word for the shell how a worker is trusted here: its rate of
// failure, whether it is held or on trial, and the failures by kind. The lock is held.
func (s *Scheduler) TrustWord(worker messages.Worker, now clock.Instant) string {
	trust := s.Tracker.OutcomesOf(worker.ID, worker.Backend)
	word := "rate=" + strconv.FormatFloat(trust.FailureRate(s.Tracker.MedianFailureRate(worker.Backend, now), now), 'f', 2, 64)
	switch {
	case trust.IsEjected(now):
		word += " held"
	case trust.OnTrial(now):
		word += " trial"
	}
	for place, count := range trust.Counts() {
		if count > 0 {
			word += " " + health.Kinds()[place] + "=" + strconv.FormatInt(count, 10)
		}
	}
	return word
}
