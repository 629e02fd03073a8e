package admission

import (
	"math"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/prefixindex"
)

// The set of requests at a worker is replaced in about the time that a request takes, so a load
// sample loses its value within that time. All nodes receive the same samples: if they followed old
// ones, all would place on the same worker, and a worker that all of them avoid would produce no
// new samples.

// isFull reports whether a request finds no slot at a worker. The observation that a worker is full
// is valid for about one mean request duration, but at least for constants.FullDurationMin; then a
// request must probe the worker, unless another request of this process still awaits its first event
// there. Items do not probe, and nothing probes an engine, whose batch stays full: there preemption
// under pressure frees slots.
func (s *Scheduler) isFull(req *Request, worker messages.Worker, engine bool, running int, now clock.Instant) bool {
	capacity := s.capacityFor(req, worker, now)
	if running < capacity {
		return false
	}
	health := s.Tracker.HealthOf(worker.ID)
	if req.Bulk || engine || health.OwnRequests() >= capacity || !health.Known(now) {
		return true
	}
	return health.PendingPrefills() > 0 || health.Age(now) <= max(constants.FullDurationMin, s.meanDuration(req.Service))
}

// meanDuration returns the mean duration of a request at a service's worker, as observed by this
// process; 0 if none was observed.
func (s *Scheduler) meanDuration(service string) clock.Duration {
	sums := s.gossip.flows[service]
	if sums == nil || sums.count == 0 {
		return 0
	}
	return clock.Milliseconds(sums.durationMs / sums.count)
}

// decayedLoad returns the estimated current load of a worker. The older the observation, the closer
// the estimate is to the mean load of all workers.
func (s *Scheduler) decayedLoad(service string, worker messages.Worker, running, mean int, now clock.Instant) float64 {
	health := s.Tracker.HealthOf(worker.ID)
	duration := s.meanDuration(service)
	if duration == 0 || !health.Known(now) {
		return float64(running)
	}
	weight := math.Exp(-float64(health.Age(now)) / float64(duration))
	return max(float64(health.OwnRequests()), float64(mean)+weight*float64(running-mean))
}

// jitter returns a small random part of the score, in ms, less than the cost of another zone, so that
// nodes do not all select the first of several equal workers. The sequence is deterministic for each
// node. The caller must hold the lock.
func (s *Scheduler) jitter() float64 {
	if s.jitterState == 0 {
		s.jitterState = rendezvousWeight(s.self, "")
	}
	s.jitterState = prefixindex.MixBits(s.jitterState + 0x9e3779b97f4a7c15)
	return constants.ScoreJitterMs * float64(s.jitterState>>11) / (1 << 53)
}
