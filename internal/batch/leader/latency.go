package leader

import (
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// appendLatency follows, for the leader, how long each store takes over an order to append.
type appendLatency struct {
	means  map[string]float64
	counts map[string]int
}

func newAppendLatency() appendLatency {
	return appendLatency{means: map[string]float64{}, counts: map[string]int{}}
}

// note takes a new time of a store, in ms.
func (l *appendLatency) observe(identity string, took float64) {
	l.counts[identity]++
	if l.counts[identity] == 1 {
		l.means[identity] = took
		return
	}
	l.means[identity] += constants.LagWeight * (took - l.means[identity])
}

// behind tells whether a store's disk is far slower than the usual one of the
// others. Its own disk answers a leader without a link in between, so a long time
// is the disk's.
func (l *appendLatency) isSlow(identity string) bool {
	var others []float64
	for name, mean := range l.means {
		if name != identity && l.counts[name] >= constants.LagLeast {
			others = append(others, mean)
		}
	}
	if len(others) == 0 || l.counts[identity] < constants.LagLeast {
		return false
	}
	slices.Sort(others)
	usual := others[len(others)/2]
	return l.means[identity] > constants.LagFactor*usual && l.means[identity] > constants.LagFloorMs
}

// noteAppendLatency notes how long a store took over an order.
func (t *Term) observeAppendLatency(identity string, took clock.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.health.appendLatency.observe(identity, clock.ToMilliseconds(took))
}

// tooSlow tells whether this process should leave the leadership to others: its machine or
// its disk is far slower than usual, and others are there to take it.
func (t *Term) tooSlow(now clock.Instant) bool {
	t.lock.Lock()
	diskSlow := t.health.appendLatency.isSlow(register.Identity(t.process.Election.Member()))
	alone := len(t.records.replicator.Members) < 2
	t.lock.Unlock()
	return !alone && t.process.Election.ShouldResign(diskSlow, now)
}
