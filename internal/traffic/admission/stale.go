package admission

import (
	"math"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/prefixindex"
)

// How many requests a worker has is forgotten by the worker itself in about the time
// that a request stays there. All nodes hear the same words, so whoever follows an old
// one goes where all others go, and where all stay away no new word comes from.

// full tells whether an ask finds no place at a worker. That a worker was full holds
// for about one stay; then somebody must look. Items take no such chance, and nobody does
// at an engine, whose batch stays full: there pressure makes room.
func (s *Scheduler) full(ask *Ask, worker messages.Worker, engine bool, running int, now clock.Instant) bool {
	room := s.room(ask, worker, now)
	if running < room {
		return false
	}
	health := s.Tracker.Of(worker.ID)
	if ask.Bulk || engine || health.Own() >= room || !health.Known(now) {
		return true
	}
	return health.PendingPrefills() > 0 || health.Age(now) <= max(constants.FullFor, s.stay(ask.Service))
}

// stay is the usual time of a request at a service's worker, as seen from here; zero
// while nothing is known.
func (s *Scheduler) stay(service string) clock.Duration {
	one := s.gossip.flows[service]
	if one == nil || one.count == 0 {
		return 0
	}
	return clock.Milliseconds(one.stayMs / one.count)
}

// faded is a load as it may be by now: an old observation says little more than the
// mean of all does.
func (s *Scheduler) faded(service string, worker messages.Worker, running, neutral int, now clock.Instant) float64 {
	health := s.Tracker.Of(worker.ID)
	stay := s.stay(service)
	if stay == 0 || !health.Known(now) {
		return float64(running)
	}
	weight := math.Exp(-float64(health.Age(now)) / float64(stay))
	return max(float64(health.Own()), float64(neutral)+weight*float64(running-neutral))
}

// spread is a small random part of the score, in ms, less than the way to another
// zone: among equals not all nodes must choose the first. It repeats with the node.
func (s *Scheduler) spread() float64 {
	if s.spreading == 0 {
		s.spreading = drawOf(s.own, "")
	}
	s.spreading = prefixindex.MixBits(s.spreading + 0x9e3779b97f4a7c15)
	return constants.SpreadMs * float64(s.spreading>>11) / (1 << 53)
}
