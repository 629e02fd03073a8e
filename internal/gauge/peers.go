package gauge

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Freshest observation wins. A worker tells in each answer how many requests of all
// callers it has, so one such count needs no adding up over nodes and no origin: of
// two, the younger is the better, whoever heard it. It is passed on with its age.

// ownSteps is how many changes of our own count are remembered, to correct an
// observation by what we have begun and ended since (ours).
const ownSteps = 8

// suspectsLimit bounds whose suspicions are remembered (ours): the neighbours'.
const suspectsLimit = 16

type observation struct {
	known bool
	count int
	at    watch.Moment
	// own is how many of these requests were ours.
	own int
}

type ownStep struct {
	at  watch.Moment
	own int
}

// observe takes a count as of a moment, unless a younger one is known.
func (vitals *Vitals) observe(count int, at watch.Moment) bool {
	if vitals.seen.known && at < vitals.seen.at {
		return false
	}
	vitals.seen = observation{known: true, count: count, at: at, own: vitals.ownAt(at)}
	return true
}

// step remembers a change of our own count.
func (vitals *Vitals) step(now watch.Moment) {
	vitals.steps[vitals.stepped%ownSteps] = ownStep{at: now, own: vitals.Own()}
	vitals.stepped++
}

// ownAt is how many requests of ours were there at a moment, as far as remembered.
func (vitals *Vitals) ownAt(at watch.Moment) int {
	oldest := max(0, vitals.stepped-ownSteps)
	for place := vitals.stepped - 1; place >= oldest; place-- {
		if one := vitals.steps[place%ownSteps]; one.at <= at {
			return one.own
		}
	}
	if oldest == 0 {
		return 0
	}
	return vitals.steps[oldest%ownSteps].own
}

// fresh tells whether the observation still counts: the age limit holds for the
// age of the evidence, over however many nodes it came.
func (vitals *Vitals) fresh(now watch.Moment) bool {
	return vitals.seen.known && now.Since(vitals.seen.at) < almanac.GossipStale
}

// Running estimates how many requests of all nodes are at the worker: the freshest
// observation, corrected by what we ourselves have begun and ended since.
func (vitals *Vitals) Running(now watch.Moment) int {
	own := vitals.Own()
	count := own
	if vitals.fresh(now) {
		count = max(count, vitals.seen.count+own-vitals.seen.own)
	}
	if vitals.full.known && now.Since(vitals.full.at) < almanac.FullFor {
		count = max(count, vitals.full.count+own-vitals.full.own)
	}
	return count
}

// Known tells whether there is evidence of the worker's load.
func (vitals *Vitals) Known(now watch.Moment) bool { return vitals.fresh(now) }

// Age is how old that evidence is.
func (vitals *Vitals) Age(now watch.Moment) watch.Span { return now.Since(vitals.seen.at) }

// Word is what we tell peers of the worker: the freshest observation, whoever made
// it, and our own trust. told is false when there is nothing to tell.
func (vitals *Vitals) Word(now watch.Moment) (word pattern.LoadWord, told bool) {
	word = pattern.LoadWord{Running: pattern.RunningUnknown, Trust: pattern.TrustNone}
	if vitals.fresh(now) {
		word.Running, word.AgeMs, told = min(vitals.seen.count, pattern.RunningUnknown-1), now.Since(vitals.seen.at).Milliseconds(), true
	}
	if now < vitals.suspectUntil {
		word.Trust, told = pattern.TrustSuspect, true
	}
	return word, told
}

// Observed is the moment of the freshest observation and its count.
func (vitals *Vitals) Observed() (count int, at watch.Moment) {
	return vitals.seen.count, vitals.seen.at
}

// Peer takes a neighbour's word. Its trust is its own evidence and counts as that.
func (vitals *Vitals) Peer(from string, word pattern.LoadWord, now watch.Moment) {
	age := watch.Milliseconds(float64(word.AgeMs))
	if word.Running != pattern.RunningUnknown {
		vitals.observe(word.Running, now-watch.Moment(age))
	}
	if word.Trust != pattern.TrustSuspect {
		delete(vitals.suspects, from)
		return
	}
	if vitals.suspects == nil {
		vitals.suspects = map[string]watch.Moment{}
	}
	if len(vitals.suspects) >= suspectsLimit {
		clear(vitals.suspects)
	}
	vitals.suspects[from] = now
}

// suspected tells whether several neighbours have just met failures of the worker;
// one alone may have a trouble of its own.
func (vitals *Vitals) suspected(now watch.Moment) bool {
	const several = 2
	count := 0
	for _, at := range vitals.suspects {
		if now.Since(at) < almanac.GossipPeriod+almanac.GossipPeriod/2 {
			count++
		}
	}
	return count >= several
}
