package health

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Fault is a kind of worker failure, derived from the outcome of a request. Responses to health
// probes are not considered, because they may be wrong in either direction.
type Fault int

// Kinds of fault.
const (
	// FaultRefused means that no connection was established.
	FaultRefused Fault = iota
	// FaultReset means that a fresh connection, or any connection after the first byte, was reset,
	// cut off or delivered corrupt bytes.
	FaultReset
	// FaultTimeout means that the worker sent nothing before the deadline, or for longer than is usual
	// for the service (see also FaultSlow).
	FaultTimeout
	// FaultError means that the worker itself returned a 5xx status.
	FaultError
	// FaultShed means that the worker rejected the request although its reported load leaves
	// capacity.
	FaultShed
	// FaultSlow means an unusually long silence, but one shorter than constants.SilenceFaultTimeout.
	FaultSlow
	faultKinds
)

var faultNames = [faultKinds]string{"refused", "reset", "silent", "error", "shed", "slow"}

// String returns the name of the kind for logs and the shell.
func (f Fault) String() string { return faultNames[f] }

// weight returns how much one failure of this kind counts. Shedding and slowness count less,
// because a healthy but busy worker shows them too.
func (f Fault) weight() float64 {
	if f == FaultShed || f == FaultSlow {
		return constants.MildFaultWeight
	}
	return 1
}

// Outcomes contains the outcomes of this process's requests at one incarnation of a worker.
type Outcomes struct {
	service string
	// successes and failures are exponentially decayed counts of outcomes, as of the time at. Failures
	// are weighted by their kind (Fault.weight).
	successes, failures float64
	at                  clock.Instant
	// level is the number of recent ejections, at most constants.EjectLevels; each level doubles the
	// duration of the next ejection.
	level        int
	failedAt     clock.Instant
	ejectedUntil clock.Instant
	// trial is true from the start of an ejection until enough requests have succeeded or trialEnd
	// has passed. It takes effect when the ejection ends.
	trial    bool
	trialEnd clock.Instant
	// trialsLeft is the number of trials that must still succeed, initially the number of recent
	// ejections.
	trialsLeft int
	counts     [faultKinds]int64
}

// outcomeTable is the part of the tracker that stores outcomes.
type outcomeTable struct {
	byWorker map[string]*Outcomes
	// ejected contains the workers that are ejected or on trial. There are few, so placement has no
	// extra cost while all workers are healthy.
	ejected      map[string]*Outcomes
	medians      map[string]medianRate
	incarnations map[string]addressHistory
}

// medianRate is the median failure rate of a service, cached for constants.MedianPeriod.
type medianRate struct {
	rate float64
	at   clock.Instant
}

// OutcomesOf returns the outcomes of a worker and creates them if necessary.
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

// decay reduces the weight of old outcomes by half per constants.HealthHalfLife.
func (o *Outcomes) decay(now clock.Instant) {
	duration := now.Sub(o.at)
	o.at = now
	if duration >= 8*constants.HealthHalfLife {
		o.successes, o.failures = 0, 0
		return
	}
	for ; duration >= constants.HealthHalfLife; duration -= constants.HealthHalfLife {
		o.successes, o.failures = o.successes/2, o.failures/2
	}
	// Within one half-life, a linear approximation is accurate enough and avoids computing powers.
	factor := 1 - float64(duration)/float64(2*constants.HealthHalfLife)
	o.successes, o.failures = o.successes*factor, o.failures*factor
}

// FailureRate returns the failure rate in [0, 1]. With few outcomes it is drawn towards the median.
func (o *Outcomes) FailureRate(median float64, now clock.Instant) float64 {
	o.decay(now)
	return (o.failures + constants.HealthPrior*median) / (o.successes + o.failures + constants.HealthPrior)
}

// ProvenHealthy reports whether recent outcomes in this process show that the worker is healthy.
// Suspicions by peers or because of missing heartbeats are then ignored, since a fault may affect only
// some callers.
func (o *Outcomes) ProvenHealthy(now clock.Instant) bool {
	o.decay(now)
	return o.successes >= constants.HealthProven && o.failures < o.successes*constants.EjectRate
}

// Counts returns the number of failures by kind, in the order of Kinds.
func (o *Outcomes) Counts() []int64 { return o.counts[:] }

// Kinds returns the names of the kinds of fault.
func Kinds() []string { return faultNames[:] }

// IsEjected reports whether the worker is ejected here.
func (o *Outcomes) IsEjected(now clock.Instant) bool { return now < o.ejectedUntil }

// OnTrial reports whether the worker may receive only one retryable request at a time.
func (o *Outcomes) OnTrial(now clock.Instant) bool {
	return o.trial && now >= o.ejectedUntil && now < o.trialEnd
}

// MedianFailureRate returns the median failure rate of a service's workers.
func (t *Tracker) MedianFailureRate(service string, now clock.Instant) float64 {
	if cached, found := t.outcomes.medians[service]; found && now.Sub(cached.at) < constants.MedianPeriod {
		return cached.rate
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

// RecordSuccess records a complete response. It returns true if this ends the worker's trial.
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

// RecordFault records a failure. A worker whose failure rate clearly exceeds its service's median
// is ejected, each time for longer. It returns the duration of the ejection, or 0 if the worker is
// not ejected by this failure.
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
	if outcomes.IsEjected(now) || outcomes.FailureRate(median, now) <= max(constants.EjectRate, constants.EjectMedianFactor*median) {
		return 0
	}
	return t.eject(worker, outcomes, now)
}

// eject ejects a worker for constants.EjectFor, doubled per level, and then puts it on trial. It
// returns the duration of the ejection.
func (t *Tracker) eject(worker string, outcomes *Outcomes, now clock.Instant) clock.Duration {
	duration := constants.EjectFor << outcomes.level
	outcomes.level = min(outcomes.level+1, constants.EjectLevels)
	outcomes.ejectedUntil, outcomes.trial, outcomes.trialsLeft = now.Add(duration), true, outcomes.level
	// A service that receives no retryable requests has no trials, so a trial also ends by time.
	outcomes.trialEnd = outcomes.ejectedUntil.Add(2 * duration)
	t.outcomes.ejected[worker] = outcomes
	return duration
}
