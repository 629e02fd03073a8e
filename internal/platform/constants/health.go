package constants

import "time"

// Health of workers.
const (
	// HealthHalfLife is the half-life of an outcome's weight. With many gateways each one uses a
	// worker only every few seconds, and a fault lasts for seconds.
	HealthHalfLife = 6 * time.Second
	// HealthPrior is the number of outcomes as which the service's median failure rate counts.
	// It is small because there are few outcomes per worker.
	HealthPrior = 1.5
	// HealthProven is the weight of recent complete responses from which peers' reports about
	// a worker are ignored: a fault may affect only some callers.
	HealthProven = 1.5
	// MildFaultWeight is the weight of a fault that a healthy but busy worker also shows.
	MildFaultWeight = 0.3
	// SilenceFaultTimeout is the silence that load alone can't explain: the prefills that other nodes
	// place on a worker take up to half a second. A shorter silence counts as slowness.
	SilenceFaultTimeout = 500 * time.Millisecond
	// FailureCostMs is what a failure costs, in ms of score, if the request can be retried at another
	// worker, and FailureCostNotRetryableMs if it can't.
	FailureCostMs             = 300.0
	FailureCostNotRetryableMs = 1200.0
	// RiskFloor is the failure rate above the median that costs nothing: one short silence must
	// not send a long prompt away from the worker that has its prefix.
	RiskFloor = 0.12
	// EjectRate is the failure rate above which a worker may be ejected, and EjectMedianFactor the
	// multiple of its service's median that the rate must also exceed.
	EjectRate         = 0.2
	EjectMedianFactor = 3.0
	// EjectFor is the duration of a first ejection. Each further one lasts twice as long, with
	// at most EjectLevels doublings: 1.2 s up to 9.6 s.
	EjectFor    = 1200 * time.Millisecond
	EjectLevels = 3
	// EjectForget is the time without failure after which the next ejection counts as a first
	// one again.
	EjectForget = 20 * time.Second
	// EjectShare is the share of a service's workers that may be ejected at once. If more fail,
	// the cause is elsewhere, perhaps in this process.
	EjectShare = 0.34
	// MedianPeriod is how long a service's median failure rate is cached.
	MedianPeriod = 250 * time.Millisecond
	// FlapWindow is the time within which an incarnation that follows a crashed one at the same
	// address counts as a flap, and FlapCrashes the number of crashes from which the new incarnation
	// is ejected. One crash is not flapping.
	FlapWindow  = 12 * time.Second
	FlapCrashes = 2
	// LatencySamplesMin is the minimum number of observed latencies for a timeout to be derived from
	// them, and LatencyDeviations the number of mean deviations above the mean at which it is set.
	// RFC 6298 uses four, which is too few here: with it one request in fifty was retried
	// elsewhere without any fault.
	LatencySamplesMin = 6
	LatencyDeviations = 6.0
	// HedgeBudgetPerResponse is what each response adds to the budget of retries after a silence, and
	// HedgeBudget the maximum of the budget: at most a fifth of the requests are retried.
	HedgeBudgetPerResponse = 0.2
	HedgeBudget            = 4.0
	// HedgeShare is the minimum silence before a retry, as a share of the latency target of the
	// first event, or of the longest pause that keeps a stream in time. A request that is
	// retried at that point can still be in time.
	HedgeShare = 0.6
	// SafeIdle is the initial estimate of how long a connection may be idle and still carry a
	// request that must not run twice. SafeIdleMin and SafeIdleMax bound the learned value.
	SafeIdle    = 400 * time.Millisecond
	SafeIdleMin = 20 * time.Millisecond
	SafeIdleMax = 2 * time.Second
)
