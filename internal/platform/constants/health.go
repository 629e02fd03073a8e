package constants

import "time"

// Vitals of workers.
const (
	// HealthHalfLife is the time in which an outcome comes to count half (ours): with many
	// gateways each sees a worker every few seconds, and an illness lasts for seconds.
	HealthHalfLife = 6 * time.Second
	// HealthPrior is how many outcomes the service's usual rate stands for (ours): few,
	// as the evidence is thin.
	HealthPrior = 1.5
	// HealthProven is how many complete responses of late make reports of others count for nothing
	// (ours): an illness may hold for some callers only.
	HealthProven = 1.5
	// MildFaultWeight is the weight of what a busy worker that is well does too (ours).
	MildFaultWeight = 0.3
	// SureTimeout is the silence that is surely none of a busy worker (ours): what other
	// nodes have it read takes up to half a second. Shorter ones count as slowness.
	SureTimeout = 500 * time.Millisecond
	// ErrCost is what a failure costs, in ms of score, where the request can go on
	// elsewhere, and ErrCostOnce where it can't (ours).
	ErrCost     = 300.0
	ErrCostOnce = 1200.0
	// RiskFloor is the rate of failure, over the usual, that costs nothing (ours): one
	// short silence must not send a long prompt away from the worker that holds it.
	RiskFloor = 0.12
	// EjectRate is the rate of failure above which a worker may be ejected, and
	// EjectOver how many times its service's median it must be (ours).
	EjectRate = 0.2
	EjectOver = 3.0
	// EjectFor is the time of a first ejection; each further one lasts twice as long,
	// EjectLevels times at most (ours): 1.2 s up to 9.6 s.
	EjectFor    = 1200 * time.Millisecond
	EjectLevels = 3
	// EjectForget is the time without failure after which the next ejection is a first
	// one again (ours).
	EjectForget = 20 * time.Second
	// EjectShare is the part of a service that may be ejected at once (ours): if more
	// fail, the cause lies elsewhere, perhaps with us.
	EjectShare = 0.34
	// UsualPeriod is how long a service's median is kept before it is made anew.
	UsualPeriod = 250 * time.Millisecond
	// FlapWindow is the time within which an incarnation that follows a dead one at an address
	// counts as a flap, and FlapDeaths from how many deaths on it is held back (ours):
	// one crash is no flapping.
	FlapWindow = 12 * time.Second
	FlapDeaths = 2
	// PaceLeast is how many times must have been seen before silence is judged by them,
	// and PaceSpread how many mean deviations above the mean are out of the ordinary
	// (RFC 6298 takes four; too few here, where one in fifty went elsewhere on a quiet day).
	PaceLeast  = 6
	PaceSpread = 6.0
	// HedgeEarned is what each answer adds to the budget of leaves from silence, and
	// HedgeBudget its most (ours): at most a fifth of the requests leave.
	HedgeEarned = 0.2
	HedgeBudget = 4.0
	// HedgeShare is the least part of a first event's aim, or of the longest pause in
	// time, that silence must last (ours): gone on elsewhere from there, it can still be
	// in time.
	HedgeShare = 0.6
	// SafeIdle is the first guess of how long a connection may be idle and still carry what
	// must not run twice; SafeIdleLeast and SafeIdleMost bound what is learnt (ours).
	SafeIdle      = 400 * time.Millisecond
	SafeIdleLeast = 20 * time.Millisecond
	SafeIdleMost  = 2 * time.Second
)
