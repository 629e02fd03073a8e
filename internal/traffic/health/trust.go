package health

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Trouble is a kind of failure of a worker, as an outcome shows it. Answers to health
// probes are none: they may be false either way.
type Trouble int

// The kinds.
const (
	// TroubleRefused: no connection came up.
	TroubleRefused Trouble = iota
	// TroubleReset: reset, cut or spoilt on a fresh connection or after the first byte.
	TroubleReset
	// TroubleSilent: silence for a multiple of what the service usually takes.
	TroubleSilent
	// TroubleError: the worker's own 5xx.
	TroubleError
	// TroubleShed: turned away although its own word leaves room.
	TroubleShed
	// TroubleSlow: a first event well after the usual time.
	TroubleSlow
	troubleKinds
)

var troubleNames = [troubleKinds]string{"refused", "reset", "silent", "error", "shed", "slow"}

// String names the kind for logs and the shell.
func (t Trouble) String() string { return troubleNames[t] }

// weight is how much one failure of a kind counts: shedding and slowness are also
// what a busy worker that is well does.
func (t Trouble) weight() float64 {
	if t == TroubleShed || t == TroubleSlow {
		return constants.MildFaultWeight
	}
	return 1
}

// Trust is what outcomes here say of one life of a worker.
type Trust struct {
	service string
	// good and bad are decayed counts of outcomes.
	good, bad float64
	at        clock.Instant
	level     int
	failedAt  clock.Instant
	heldUntil clock.Instant
	// trial holds from the end of an ejection until requests have gone well.
	trial    bool
	trialEnd clock.Instant
	// owed is how many trials must still go well: as many as there were ejections.
	owed   int
	counts [troubleKinds]int64
}

// trustBook is the part of the health that keeps trust.
type trustBook struct {
	of map[string]*Trust
	// apart are those held or on trial: few, so that placing costs nothing while all
	// are well.
	apart  map[string]*Trust
	usuals map[string]usual
	births map[string]birth
}

// usual is the median rate of failure of a service, kept for a moment.
type usual struct {
	rate float64
	at   clock.Instant
}

// Trust gives what is known of a worker's outcomes.
func (t *Tracker) Trust(worker, service string) *Trust {
	if t.trusts.of == nil {
		t.trusts = trustBook{of: map[string]*Trust{}, apart: map[string]*Trust{}, usuals: map[string]usual{}, births: map[string]birth{}}
	}
	trust := t.trusts.of[worker]
	if trust == nil {
		trust = &Trust{service: service}
		t.trusts.of[worker] = trust
	}
	return trust
}

// fade lets old outcomes count less: a half each HealthHalfLife.
func (t *Trust) fade(now clock.Instant) {
	span := now.Sub(t.at)
	t.at = now
	if span >= 8*constants.HealthHalfLife {
		t.good, t.bad = 0, 0
		return
	}
	for ; span >= constants.HealthHalfLife; span -= constants.HealthHalfLife {
		t.good, t.bad = t.good/2, t.bad/2
	}
	// Linear within one half is near enough and needs no powers.
	part := 1 - float64(span)/float64(2*constants.HealthHalfLife)
	t.good, t.bad = t.good*part, t.bad*part
}

// Rate is the rate of failure in [0, 1]; a few outcomes are drawn to what is usual.
func (t *Trust) Rate(usual float64, now clock.Instant) float64 {
	t.fade(now)
	return (t.bad + constants.HealthPrior*usual) / (t.good + t.bad + constants.HealthPrior)
}

// Proven tells that our own outcomes lately speak for the worker: then hearsay does
// not count, since an illness may hold for some callers only.
func (t *Trust) Proven(now clock.Instant) bool {
	t.fade(now)
	return t.good >= constants.HealthProven && t.bad < t.good*constants.EjectRate
}

// Counts gives the failures by kind, in the order of Kinds.
func (t *Trust) Counts() []int64 { return t.counts[:] }

// Kinds names the kinds of failure.
func Kinds() []string { return troubleNames[:] }

// Held tells until when the worker is ejected here, and Trial whether it is on trial.
func (t *Trust) Held(now clock.Instant) bool { return now < t.heldUntil }

// Trial tells whether only one repeatable request at a time may go there.
func (t *Trust) Trial(now clock.Instant) bool {
	return t.trial && now >= t.heldUntil && now < t.trialEnd
}

// Usual is the median rate of failure over a service's workers.
func (t *Tracker) Usual(service string, now clock.Instant) float64 {
	if known, found := t.trusts.usuals[service]; found && now.Sub(known.at) < constants.UsualPeriod {
		return known.rate
	}
	var rates []float64
	for _, trust := range t.trusts.of {
		if trust.service == service {
			rates = append(rates, trust.Rate(0, now))
		}
	}
	median := 0.0
	if len(rates) > 0 {
		sort.Float64s(rates)
		median = rates[(len(rates)-1)/2]
	}
	if t.trusts.usuals != nil {
		t.trusts.usuals[service] = usual{rate: median, at: now}
	}
	return median
}

// Went notes a whole answer. It returns true when that ends a trial.
func (t *Tracker) Went(worker, service string, now clock.Instant) (returned bool) {
	trust := t.Trust(worker, service)
	trust.fade(now)
	trust.good++
	if trust.trial && now >= trust.heldUntil {
		if trust.owed--; trust.owed > 0 {
			return false
		}
		trust.trial = false
		delete(t.trusts.apart, worker)
		return true
	}
	return false
}

// Troubled notes a failure. A worker whose rate stands out from its service's median
// is ejected, each time for longer; span is 0 when it is not.
func (t *Tracker) Troubled(worker, service string, trouble Trouble, now clock.Instant) (span clock.Duration) {
	trust := t.Trust(worker, service)
	usual := t.Usual(service, now)
	if now.Sub(trust.failedAt) > constants.EjectForget {
		trust.level = 0
	}
	trust.fade(now)
	trust.bad += trouble.weight()
	trust.counts[trouble]++
	trust.failedAt = now
	if trust.Held(now) || trust.Rate(usual, now) <= max(constants.EjectRate, constants.EjectOver*usual) {
		return 0
	}
	return t.eject(worker, trust, now)
}

func (t *Tracker) eject(worker string, trust *Trust, now clock.Instant) clock.Duration {
	span := constants.EjectFor << trust.level
	trust.level = min(trust.level+1, constants.EjectLevels)
	trust.heldUntil, trust.trial, trust.owed = now.Add(span), true, trust.level
	// A service that gets no repeatable requests has no trials: time alone ends them.
	trust.trialEnd = trust.heldUntil.Add(2 * span)
	t.trusts.apart[worker] = trust
	return span
}
