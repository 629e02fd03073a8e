package leader

import (
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// appendLatency tracks, for the leader, how long each store takes to handle an append request.
type appendLatency struct {
	// meansMs maps the identity of a store to its moving average in ms, and counts to the number of
	// observations.
	meansMs map[string]float64
	counts  map[string]int
}

func newAppendLatency() appendLatency {
	return appendLatency{meansMs: map[string]float64{}, counts: map[string]int{}}
}

// observe adds the duration of a store's append request.
func (l *appendLatency) observe(identity string, tookMs float64) {
	l.counts[identity]++
	if l.counts[identity] == 1 {
		l.meansMs[identity] = tookMs
		return
	}
	l.meansMs[identity] += constants.LagWeight * (tookMs - l.meansMs[identity])
}

// isSlow reports whether a store's mean duration is more than constants.LagFactor times the median of
// the others, and more than constants.LagFloorMs. It returns false if there are too few observations.
// The leader uses it for its own store: requests to that store do not cross a link, so a long
// duration is caused by the disk.
func (l *appendLatency) isSlow(identity string) bool {
	var others []float64
	for name, mean := range l.meansMs {
		if name != identity && l.counts[name] >= constants.LagSamplesMin {
			others = append(others, mean)
		}
	}
	if len(others) == 0 || l.counts[identity] < constants.LagSamplesMin {
		return false
	}
	slices.Sort(others)
	median := others[len(others)/2]
	return l.meansMs[identity] > constants.LagFactor*median && l.meansMs[identity] > constants.LagFloorMs
}

// observeAppendLatency records how long a store took to handle an append request.
func (t *Term) observeAppendLatency(identity string, took clock.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.health.appendLatency.observe(identity, clock.ToMilliseconds(took))
}

// tooSlow reports whether this process should leave the leadership to others: its machine or its
// disk is far slower than usual, and there are other members that can lead.
func (t *Term) tooSlow(now clock.Instant) bool {
	t.lock.Lock()
	diskSlow := t.health.appendLatency.isSlow(register.Identity(t.process.Election.Member()))
	alone := len(t.records.replicator.Members) < 2
	t.lock.Unlock()
	return !alone && t.process.Election.ShouldResign(diskSlow, now)
}
