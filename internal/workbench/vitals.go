package workbench

import (
	"strconv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/gauge"
	"lemonarch/internal/pattern"
	"lemonarch/internal/roster"
	"lemonarch/internal/watch"
)

// Ejection is told when a worker is ejected from ordinary placement or returns.
type Ejection struct {
	Worker, Service string
	// Why is the kind of the last failure, or "flapping".
	Why string
	// For is how long; 0 means that it is back.
	For watch.Span
}

// troubleOf maps outcomes that say something against a worker.
var troubleOf = map[Outcome]gauge.Trouble{
	OutcomeFailed:  gauge.TroubleReset,
	OutcomeRefused: gauge.TroubleRefused,
	OutcomeSilent:  gauge.TroubleSilent,
	OutcomeErrored: gauge.TroubleError,
	OutcomeShed:    gauge.TroubleShed,
	// Another service answers there: this life is gone from the address.
	OutcomeGoneAway: gauge.TroubleRefused,
}

// OnEjection names who is told of ejections and returns; it must not block.
func (bench *Workbench) OnEjection(tell func(Ejection)) { bench.tellEjection = tell }

// judge takes an outcome into the vitals. The lock is held.
func (bench *Workbench) judge(grant *Grant, outcome Outcome, now watch.Moment) {
	worker := grant.Worker
	if trouble, against := troubleOf[outcome]; against {
		switch {
		case outcome == OutcomeSilent && grant.doubt == doubtSure:
			// Noted while it lasted.
			return
		case outcome == OutcomeSilent && grant.silence > 0 && grant.silence < almanac.SureSilence:
			trouble = gauge.TroubleSlow
		}
		bench.troubled(worker, trouble, now)
		return
	}
	if outcome == OutcomeServed && bench.Gauge.Went(worker.ID, worker.Backend, now) && bench.tellEjection != nil {
		bench.tellEjection(Ejection{Worker: worker.ID, Service: worker.Backend})
	}
}

func (bench *Workbench) troubled(worker pattern.Worker, trouble gauge.Trouble, now watch.Moment) {
	span := bench.Gauge.Troubled(worker.ID, worker.Backend, trouble, now)
	bench.Gauge.Of(worker.ID).Failed(span, now)
	if span > 0 && bench.tellEjection != nil {
		bench.tellEjection(Ejection{Worker: worker.ID, Service: worker.Backend, Why: trouble.String(), For: span})
	}
}

// born has the gauge look at a life that is new to us. The lock is held.
func (bench *Workbench) born(worker pattern.Worker, now watch.Moment) {
	if _, known := bench.Roster.Get(worker.ID); known || worker.Phase != pattern.PhaseSteady {
		return
	}
	// A life that said that it leaves made room in order. Of one that we never heard
	// of we can't tell.
	orderly := true
	if before, found := bench.Roster.Get(bench.Gauge.Lives(worker.Address)); found {
		orderly = before.Phase != pattern.PhaseSteady
	}
	span := bench.Gauge.Born(worker.ID, worker.Backend, worker.Address, orderly, now)
	if span > 0 && bench.tellEjection != nil {
		bench.tellEjection(Ejection{Worker: worker.ID, Service: worker.Backend, Why: "flapping", For: span})
	}
}

// standings sorts out which workers of a service get no ordinary request. Our own
// outcomes go before hearsay and before missing heartbeats.
func (bench *Workbench) apart(ask *Ask, workers []pattern.Worker, now watch.Moment) map[string]bool {
	if !bench.Gauge.SomeApart() {
		return nil
	}
	names := make([]string, len(workers))
	for place := range workers {
		names[place] = workers[place].ID
	}
	idle := func(worker string) bool { return bench.Gauge.Of(worker).Own() == 0 }
	return bench.Gauge.Apart(names, ask.Repeatable || ask.Bulk, idle, now)
}

// suspect tells whether a worker is only asked where nobody else can be: ejected here,
// or told of by peers or by missing heartbeats while nothing of ours speaks for it.
func (bench *Workbench) suspect(worker pattern.Worker, standing roster.Standing, apart map[string]bool, now watch.Moment) bool {
	if apart[worker.ID] {
		return true
	}
	trust := bench.Gauge.Trust(worker.ID, worker.Backend)
	if standing != roster.StandingSuspect && !bench.Gauge.Of(worker.ID).Told(now) {
		return false
	}
	return !trust.Proven(now)
}

// risk is what a worker's failures cost in ms of score, beyond what is usual.
func (bench *Workbench) risk(ask *Ask, worker pattern.Worker, now watch.Moment) float64 {
	usual := bench.Gauge.Usual(worker.Backend, now)
	cost := almanac.FailureCostOnce
	if ask.Repeatable || ask.Bulk {
		cost = almanac.FailureCost
	}
	return cost * max(0, bench.Gauge.Trust(worker.ID, worker.Backend).Rate(usual, now)-usual-almanac.RiskFloor)
}

// TrustWord says in a word for the shell how a worker is trusted here: its rate of
// failure, whether it is held or on trial, and the failures by kind. The lock is held.
func (bench *Workbench) TrustWord(worker pattern.Worker, now watch.Moment) string {
	trust := bench.Gauge.Trust(worker.ID, worker.Backend)
	word := "rate=" + strconv.FormatFloat(trust.Rate(bench.Gauge.Usual(worker.Backend, now), now), 'f', 2, 64)
	switch {
	case trust.Held(now):
		word += " held"
	case trust.Trial(now):
		word += " trial"
	}
	for place, count := range trust.Counts() {
		if count > 0 {
			word += " " + gauge.Kinds()[place] + "=" + strconv.FormatInt(count, 10)
		}
	}
	return word
}
