package admission

import (
	"math"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/prefixindex"
)

// How many requests a worker has is forgotten by the worker itself in about the time
// that a request stays there. All nodes get the same samples, so whoever follows an old
// one goes where all others go, and where all stay away no new sample comes from.

// isFull tells whether a request finds no slot at a worker. That a worker was full holds
// for about one stay; then somebody must look. Items take no such chance, and nobody does
// at an engine, whose batch stays full: there pressure frees slots.
func (s *Scheduler) isFull(req *Request, worker messages.Worker, engine bool, running int, now clock.Instant) bool {
	capacity := s.capacityFor(req, worker, now)
	if running < capacity {
		return false
	}
	health := s.Tracker.Of(worker.ID)
	if req.Bulk || engine || health.Own() >= capacity || !health.Known(now) {
		return true
	}
	return health.PendingPrefills() > 0 || health.Age(now) <= max(constants.FullFor, s.meanDuration(req.Service))
}

// meanStay is the usual time of a request at a service's worker, as seen from here; zero
// while nothing is known.
func (s *Scheduler) meanDuration(service string) clock.Duration {
	entry := s.gossip.flows[service]
	if entry == nil || entry.count == 0 {
		return 0
	}
	return clock.Milliseconds(entry.durationMs / entry.count)
}

// decayedLoad is a load as it may be by now: an old observation says little more than the
// mean of all does.
func (s *Scheduler) decayedLoad(service string, worker messages.Worker, running, mean int, now clock.Instant) float64 {
	health := s.Tracker.Of(worker.ID)
	stay := s.meanDuration(service)
	if stay == 0 || !health.Known(now) {
		return float64(running)
	}
	weight := math.Exp(-float64(health.Age(now)) / float64(stay))
	return max(float64(health.Own()), float64(mean)+weight*float64(running-mean))
}

// jitter is a small random part of the score, in ms, less than the way to another
// zone: among equals not all nodes must choose the first. It repeats with the node.
func (s *Scheduler) jitter() float64 {
	if s.jitterState == 0 {
		s.jitterState = rendezvousWeight(s.self, "")
	}
	s.jitterState = prefixindex.MixBits(s.jitterState + 0x9e3779b97f4a7c15)
	return constants.SpreadMs * float64(s.jitterState>>11) / (1 << 53)
}
