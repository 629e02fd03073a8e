package health

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Freshest observation wins. A worker tells in each response how many requests of all
// callers it has, so one such count needs no adding up over nodes and no origin: of
// two, the younger is the better, whoever made it. It is passed on with its age.

// ownSteps is how many changes of our own count are remembered, to correct an
// observation by what we have begun and ended since (ours).
const ownHistorySize = 8

// suspectsLimit bounds whose suspicions are remembered (ours): the neighbours'.
const suspectsLimit = 16

type observation struct {
	known bool
	count int
	at    clock.Instant
	// own is how many of these requests were ours.
	own int
}

type ownCountChange struct {
	at  clock.Instant
	own int
}

// observe takes a count as of an instant, unless a younger one is known.
func (h *Health) observe(count int, at clock.Instant) {
	if h.observed.known && at < h.observed.at {
		return
	}
	h.observed = observation{known: true, count: count, at: at, own: h.ownAt(at)}
}

// step remembers a change of our own count.
func (h *Health) recordOwnCount(now clock.Instant) {
	h.ownHistory[h.ownChanges%ownHistorySize] = ownCountChange{at: now, own: h.Own()}
	h.ownChanges++
}

// ownAt is how many requests of ours were there at an instant, as far as remembered.
func (h *Health) ownAt(at clock.Instant) int {
	oldest := max(0, h.ownChanges-ownHistorySize)
	for i := h.ownChanges - 1; i >= oldest; i-- {
		if step := h.ownHistory[i%ownHistorySize]; step.at <= at {
			return step.own
		}
	}
	if oldest == 0 {
		return 0
	}
	return h.ownHistory[oldest%ownHistorySize].own
}

// fresh tells whether the observation still counts: the age limit holds for the
// age of the evidence, over however many nodes it came.
func (h *Health) fresh(now clock.Instant) bool {
	return h.observed.known && now.Sub(h.observed.at) < constants.GossipStale
}

// Running estimates how many requests of all nodes are at the worker: the freshest
// observation, corrected by what we ourselves have begun and ended since.
func (h *Health) Running(now clock.Instant) int {
	own := h.Own()
	count := own
	if h.fresh(now) {
		count = max(count, h.observed.count+own-h.observed.own)
	}
	if h.full.known && now.Sub(h.full.at) < constants.FullFor {
		count = max(count, h.full.count+own-h.full.own)
	}
	return count
}

// Known tells whether there is evidence of the worker's load.
func (h *Health) Known(now clock.Instant) bool { return h.fresh(now) }

// Age is how old that evidence is.
func (h *Health) Age(now clock.Instant) clock.Duration { return now.Sub(h.observed.at) }

// Sample is what peers are sent of the worker: the freshest observation, whoever made
// it, and whether it is ejected here. known is false when there is nothing to send.
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

// Observed is the instant of the freshest observation and its count.
func (h *Health) Observed() (count int, at clock.Instant) {
	return h.observed.count, h.observed.at
}

// ObservePeer takes a neighbour's sample. Its suspicion is its own evidence and counts as that.
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

// suspectedByPeers tells whether several neighbours have just met failures of the worker;
// one alone may have a fault of its own.
func (h *Health) suspectedByPeers(now clock.Instant) bool {
	const several = 2
	count := 0
	for _, at := range h.suspects {
		if now.Sub(at) < constants.GossipPeriod+constants.GossipPeriod/2 {
			count++
		}
	}
	return count >= several
}
