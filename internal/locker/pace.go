package locker

import (
	"hash/fnv"
	"slices"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// pace follows how quickly this machine works: the time of a fixed piece of work,
// against the shortest that it ever took here. A step function without a clock.
type pace struct {
	best   watch.Span
	recent []watch.Span
}

// note takes a new time. A single long one says nothing: the collector may have run.
func (one *pace) note(took watch.Span) {
	if took <= 0 {
		return
	}
	if one.best == 0 || took < one.best {
		one.best = took
	}
	one.recent = append(one.recent, took)
	if len(one.recent) > almanac.PaceWindow {
		one.recent = one.recent[len(one.recent)-almanac.PaceWindow:]
	}
}

// slow tells whether even the shortest of the latest times is far above the best.
func (one *pace) slow() bool {
	return len(one.recent) >= almanac.PaceWindow && slices.Min(one.recent) > almanac.PaceFactor*one.best
}

// lags follows, for the holder, how long each store takes over an order to append.
type lags struct {
	means map[string]float64
	count map[string]int
}

func newLags() lags { return lags{means: map[string]float64{}, count: map[string]int{}} }

// note takes a new time of a store, in ms.
func (one *lags) note(identity string, took float64) {
	one.count[identity]++
	if one.count[identity] == 1 {
		one.means[identity] = took
		return
	}
	one.means[identity] += almanac.LagWeight * (took - one.means[identity])
}

// behind tells whether a store's disk is far slower than the usual one of the
// others. Its own disk answers a holder without a link in between, so a long time
// is the disk's.
func (one *lags) behind(identity string) bool {
	var others []float64
	for name, mean := range one.means {
		if name != identity && one.count[name] >= almanac.LagLeast {
			others = append(others, mean)
		}
	}
	if len(others) == 0 || one.count[identity] < almanac.LagLeast {
		return false
	}
	slices.Sort(others)
	usual := others[len(others)/2]
	return one.means[identity] > almanac.LagFactor*usual && one.means[identity] > almanac.LagFloorMs
}

// workload is the fixed piece of work, a few tens of microseconds long.
var workload [32 << 10]byte

func measure() watch.Span {
	begun := watch.Now()
	sum := fnv.New64a()
	_, _ = sum.Write(workload[:])
	return watch.Now().Since(begun)
}

// pacing measures this machine now and then.
func (locker *Locker) pacing() {
	watch.Every(almanac.PacePeriod, locker.Stand.Stop, func() {
		took := measure()
		locker.lock.Lock()
		locker.pace.note(took)
		locker.lock.Unlock()
	})
}

// reportPace says whether this machine is slow now: whoever looks for a store to
// copy everything to asks it first.
func (locker *Locker) reportPace() *pattern.Status {
	locker.lock.Lock()
	defer locker.lock.Unlock()
	word := "usual"
	if locker.pace.slow() {
		word = "slow"
	}
	return &pattern.Status{Columns: []string{"pace", "best-us"}, Rows: [][]string{{word, number(locker.pace.best.Microseconds())}}}
}

// sluggish asks a machine that stands by; silence counts as slow.
func (locker *Locker) sluggish(member pattern.Member) bool {
	answer := &pattern.Status{}
	failure := tongs.Ask(locker.Stand.Wire, member.Address, pattern.KindStatus, &pattern.StatusAsk{Query: "pace"}, answer, almanac.RoundTime)
	if failure != nil {
		return true
	}
	return len(answer.Rows) == 1 && len(answer.Rows[0]) > 0 && answer.Rows[0][0] == "slow"
}

// lagged notes how long a store took over an order.
func (reign *reign) lagged(identity string, took watch.Span) {
	reign.lock.Lock()
	defer reign.lock.Unlock()
	reign.lags.note(identity, watch.ToMilliseconds(took))
}

// tooSlow tells whether the holder should give its duty up: its machine or its disk
// is far slower than usual, others are there to take it, and it has not done so
// only just, so that a duty that is slow everywhere does not wander.
func (reign *reign) tooSlow(now watch.Moment) bool {
	locker := reign.locker
	reign.lock.Lock()
	disk := reign.lags.behind(vise.Identity(locker.member()))
	alone := len(reign.press.Members) < 2
	reign.lock.Unlock()
	locker.lock.Lock()
	defer locker.lock.Unlock()
	if alone || !(disk || locker.pace.slow()) || (locker.gaveUp > 0 && now.Since(locker.gaveUp) < almanac.GiveUpPause) {
		return false
	}
	locker.gaveUp = now
	return true
}

// defers tells whether this process leaves the duty to others for now: it has just
// given it up, or its machine is slow and it has not held back for long.
func (locker *Locker) defers(now watch.Moment) bool {
	locker.lock.Lock()
	defer locker.lock.Unlock()
	if locker.pace.slow() && (locker.gaveUp == 0 || now.Since(locker.gaveUp) >= almanac.GiveUpPause) {
		locker.gaveUp = now
	}
	return locker.gaveUp > 0 && now.Since(locker.gaveUp) < almanac.DeferTime
}
