package health

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Fault is a kind of failure of a worker, as an outcome shows it. Responses to health
// probes are none: they may be false either way.
type Fault int

// The kinds.
const (
	// FaultRefused: no connection came up.
	FaultRefused Fault = iota
	// FaultReset: reset, cut off or corrupt on a fresh connection or after the first byte.
	FaultReset
	// FaultTimeout: silence for a multiple of what the service usually takes.
	FaultTimeout
	// FaultError: the worker's own 5xx.
	FaultError
	// FaultShed: rejected although the load that it states leaves capacity.
	FaultShed
	// FaultSlow: a first event well after the usual time.
	FaultSlow
	faultKinds
)

var faultNames = [faultKinds]string{"refused", "reset", "silent", "error", "shed", "slow"}

// String names the kind for logs and the shell.
func (t Fault) String() string { return faultNames[t] }

// weight is how much one failure of a kind counts: shedding and slowness are also
// what a busy worker that is healthy does.
func (t Fault) weight() float64 {
	if t == FaultShed || t == FaultSlow {
		return constants.MildFaultWeight
	}
	return 1
}

// Outcomes are the outcomes of this process's requests at one incarnation of a worker.
type Outcomes struct {
	service string
	// successes and failures are decayed counts of outcomes.
	successes, failures float64
	at                  clock.Instant
	level               int
	failedAt            clock.Instant
	ejectedUntil        clock.Instant
	// trial holds from the end of an ejection until requests have gone well.
	trial    bool
	trialEnd clock.Instant
	// trialsLeft is how many trials must still go well: as many as there were ejections.
	trialsLeft int
	counts     [faultKinds]int64
}

// outcomeTable is the part of the tracker that keeps outcomes.
type outcomeTable struct {
	byWorker map[string]*Outcomes
	// ejected are those ejected or on trial: few, so that placing costs nothing while all
	// are healthy.
	ejected      map[string]*Outcomes
	medians      map[string]medianRate
	incarnations map[string]addressHistory
}

// medianRate is the median rate of failure of a service, kept for a moment.
type medianRate struct {
	rate float64
	at   clock.Instant
}

// OutcomesOf gives what is known of a worker's outcomes.
func (t *Tracker) OutcomesOf(worker, service string) *Outcomes {
	if t.outcomes.byWorker == nil {
		t.outcomes = outcomeTable{byWorker: map[string]*Outcomes{}, ejected: map[string]*Outcomes{}, medians: map[string]medianRate{}, incarnations: map[string]addressHistory{}}
	}
	outcomes := t.outcomes.byWorker[worker]
	if outcomes == nil {
		outcomes = &Outcomes{service: service}
		t.outcomes.byWorker[worker] = outcomes
	}
	return outcomes
}

// decay lets old outcomes count less: a half each HealthHalfLife.
func (t *Outcomes) decay(now clock.Instant) {
	duration := now.Sub(t.at)
	t.at = now
	if duration >= 8*constants.HealthHalfLife {
		t.successes, t.failures = 0, 0
		return
	}
	for ; duration >= constants.HealthHalfLife; duration -= constants.HealthHalfLife {
		t.successes, t.failures = t.successes/2, t.failures/2
	}
	// Linear within one half is near enough and needs no powers.
	part := 1 - float64(duration)/float64(2*constants.HealthHalfLife)
	t.successes, t.failures = t.successes*part, t.failures*part
}

// FailureRate is the rate of failure in [0, 1]; a few outcomes are drawn to what is usual.
func (t *Outcomes) FailureRate(median float64, now clock.Instant) float64 {
	t.decay(now)
	return (t.failures + constants.HealthPrior*median) / (t.successes + t.failures + constants.HealthPrior)
}

// ProvenHealthy tells that the outcomes here lately speak for the worker: then reports of peers do
// not count, since a fault may show to some callers only.
func (t *Outcomes) ProvenHealthy(now clock.Instant) bool {
	t.decay(now)
	return t.successes >= constants.HealthProven && t.failures < t.successes*constants.EjectRate
}

// Counts gives the failures by kind, in the order of Kinds.
func (t *Outcomes) Counts() []int64 { return t.counts[:] }

// Kinds names the kinds of failure.
func Kinds() []string { return faultNames[:] }

// IsEjected tells whether the worker is ejected here.
func (t *Outcomes) IsEjected(now clock.Instant) bool { return now < t.ejectedUntil }

// OnTrial tells whether only one repeatable request at a time may go there.
func (t *Outcomes) OnTrial(now clock.Instant) bool {
	return t.trial && now >= t.ejectedUntil && now < t.trialEnd
}

// MedianFailureRate is the median rate of failure over a service's workers.
func (t *Tracker) MedianFailureRate(service string, now clock.Instant) float64 {
	if known, found := t.outcomes.medians[service]; found && now.Sub(known.at) < constants.UsualPeriod {
		return known.rate
	}
	var rates []float64
	for _, outcomes := range t.outcomes.byWorker {
		if outcomes.service == service {
			rates = append(rates, outcomes.FailureRate(0, now))
		}
	}
	median := 0.0
	if len(rates) > 0 {
		sort.Float64s(rates)
		median = rates[(len(rates)-1)/2]
	}
	if t.outcomes.medians != nil {
		t.outcomes.medians[service] = medianRate{rate: median, at: now}
	}
	return median
}

// RecordSuccess notes a complete response. It returns true when that ends a trial.
func (t *Tracker) RecordSuccess(worker, service string, now clock.Instant) (returned bool) {
	outcomes := t.OutcomesOf(worker, service)
	outcomes.decay(now)
	outcomes.successes++
	if outcomes.trial && now >= outcomes.ejectedUntil {
		if outcomes.trialsLeft--; outcomes.trialsLeft > 0 {
			return false
		}
		outcomes.trial = false
		delete(t.outcomes.ejected, worker)
		return true
	}
	return false
}

// RecordFault notes a failure. A worker whose rate stands out from its service's median
// is ejected, each time for longer; span is 0 when it is not.
func (t *Tracker) RecordFault(worker, service string, fault Fault, now clock.Instant) (duration clock.Duration) {
	outcomes := t.OutcomesOf(worker, service)
	median := t.MedianFailureRate(service, now)
	if now.Sub(outcomes.failedAt) > constants.EjectForget {
		outcomes.level = 0
	}
	outcomes.decay(now)
	outcomes.failures += fault.weight()
	outcomes.counts[fault]++
	outcomes.failedAt = now
	if outcomes.IsEjected(now) || outcomes.FailureRate(median, now) <= max(constants.EjectRate, constants.EjectOver*median) {
		return 0
	}
	return t.eject(worker, outcomes, now)
}

func (t *Tracker) eject(worker string, outcomes *Outcomes, now clock.Instant) clock.Duration {
	duration := constants.EjectFor << outcomes.level
	outcomes.level = min(outcomes.level+1, constants.EjectLevels)
	outcomes.ejectedUntil, outcomes.trial, outcomes.trialsLeft = now.Add(duration), true, outcomes.level
	// A service that gets no repeatable requests has no trials: time alone ends them.
	outcomes.trialEnd = outcomes.ejectedUntil.Add(2 * duration)
	t.outcomes.ejected[worker] = outcomes
	return duration
}
