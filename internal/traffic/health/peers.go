package health

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// The freshest observation wins. A worker reports in each response how many requests of all callers
// it has, so counts need not be summed over nodes, and it does not matter which node observed one: of
// two counts the later one is better. A count is sent to peers with its age.

// ownHistorySize is the number of changes of this process's own request count that are kept. They
// are used to correct an observation by the requests that this process has started and ended since.
const ownHistorySize = 8

// suspectsLimit bounds the number of peers whose suspicions are stored; it covers the gossip
// neighbours of a node.
const suspectsLimit = 16

type observation struct {
	known bool
	count int
	at    clock.Instant
	// own is how many of these requests were sent by this process.
	own int
}

type ownCountChange struct {
	at  clock.Instant
	own int
}

// observe stores a count observed at the given time, unless a later one is known.
func (h *Health) observe(count int, at clock.Instant) {
	if h.observed.known && at < h.observed.at {
		return
	}
	h.observed = observation{known: true, count: count, at: at, own: h.ownAt(at)}
}

// recordOwnCount stores a change of this process's own request count.
func (h *Health) recordOwnCount(now clock.Instant) {
	h.ownHistory[h.ownChanges%ownHistorySize] = ownCountChange{at: now, own: h.OwnRequests()}
	h.ownChanges++
}

// ownAt returns the number of this process's requests at the worker at a past time, as far as the
// history reaches back.
func (h *Health) ownAt(at clock.Instant) int {
	oldest := max(0, h.ownChanges-ownHistorySize)
	for i := h.ownChanges - 1; i >= oldest; i-- {
		if change := h.ownHistory[i%ownHistorySize]; change.at <= at {
			return change.own
		}
	}
	if oldest == 0 {
		return 0
	}
	return h.ownHistory[oldest%ownHistorySize].own
}

// fresh reports whether the observation is still valid. The limit applies to the age of the
// observation itself, regardless of how many nodes relayed it.
func (h *Health) fresh(now clock.Instant) bool {
	return h.observed.known && now.Sub(h.observed.at) < constants.GossipStale
}

// Running estimates how many requests of all nodes are at the worker: the freshest observation,
// corrected by the requests that this process has started and ended since.
func (h *Health) Running(now clock.Instant) int {
	own := h.OwnRequests()
	count := own
	if h.fresh(now) {
		count = max(count, h.observed.count+own-h.observed.own)
	}
	if h.full.known && now.Sub(h.full.at) < constants.FullDurationMin {
		count = max(count, h.full.count+own-h.full.own)
	}
	return count
}

// Known reports whether there is a valid observation of the worker's load.
func (h *Health) Known(now clock.Instant) bool { return h.fresh(now) }

// Age returns the age of the observation. It has no meaning if Known is false.
func (h *Health) Age(now clock.Instant) clock.Duration { return now.Sub(h.observed.at) }

// Sample returns the sample of the worker to send to peers: the freshest observation, whichever
// node made it, and whether the worker is ejected here. known is false if there is nothing to send.
func (h *Health) Sample(now clock.Instant) (sample messages.LoadSample, known bool) {
	sample = messages.LoadSample{Running: messages.RunningUnknown, Health: messages.HealthUnknown}
	if h.fresh(now) {
		sample.Running, sample.AgeMs, known = min(h.observed.count, messages.RunningUnknown-1), now.Sub(h.observed.at).Milliseconds(), true
	}
	if now < h.suspectUntil {
		sample.Health, known = messages.HealthSuspect, true
	}
	return sample, known
}

// Observed returns the count and the time of the freshest observation.
func (h *Health) Observed() (count int, at clock.Instant) {
	return h.observed.count, h.observed.at
}

// ObservePeer applies a peer's sample. A peer reports only suspicions of its own, so each counts as
// separate evidence.
func (h *Health) ObservePeer(from string, sample messages.LoadSample, now clock.Instant) {
	age := clock.Milliseconds(float64(sample.AgeMs))
	if sample.Running != messages.RunningUnknown {
		h.observe(sample.Running, now-clock.Instant(age))
	}
	if sample.Health != messages.HealthSuspect {
		delete(h.suspects, from)
		return
	}
	if h.suspects == nil {
		h.suspects = map[string]clock.Instant{}
	}
	if len(h.suspects) >= suspectsLimit {
		clear(h.suspects)
	}
	h.suspects[from] = now
}

// suspectedByPeers reports whether at least two peers have recently reported that they ejected the
// worker. A single peer may have a fault of its own.
func (h *Health) suspectedByPeers(now clock.Instant) bool {
	const minPeers = 2
	count := 0
	for _, at := range h.suspects {
		if now.Sub(at) < constants.GossipPeriod+constants.GossipPeriod/2 {
			count++
		}
	}
	return count >= minPeers
}
