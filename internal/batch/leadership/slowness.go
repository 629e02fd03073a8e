package leadership

import (
	"hash/fnv"
	"slices"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// slowness detects a slow machine: it compares the recent run times of a fixed workload with
// the shortest run time on this machine so far. It has no clock of its own.
type slowness struct {
	// fastest is the shortest run time so far.
	fastest clock.Duration
	// recent contains the last constants.SlownessWindow run times.
	recent []clock.Duration
}

// observe adds a run time. A single long one is no evidence of a slow machine, since a garbage
// collection may have run.
func (s *slowness) observe(took clock.Duration) {
	if took <= 0 {
		return
	}
	if s.fastest == 0 || took < s.fastest {
		s.fastest = took
	}
	s.recent = append(s.recent, took)
	if len(s.recent) > constants.SlownessWindow {
		s.recent = s.recent[len(s.recent)-constants.SlownessWindow:]
	}
}

// isSlow reports whether constants.SlownessWindow run times were observed and even the shortest of
// them is more than constants.SlownessFactor times the fastest run time.
func (s *slowness) isSlow() bool {
	return len(s.recent) >= constants.SlownessWindow && slices.Min(s.recent) > constants.SlownessFactor*s.fastest
}

// workload is the input of the measured work. Hashing it takes a few tens of microseconds.
var workload [32 << 10]byte

func measureWorkload() clock.Duration {
	start := clock.Now()
	sum := fnv.New64a()
	_, _ = sum.Write(workload[:])
	return clock.Now().Sub(start)
}

// yielding is the state that decides whether this process leaves the leadership to others.
type yielding struct {
	slowness slowness
	// until is when this process may lead again after its own store lagged.
	until clock.Instant
	// resignedAt is when this process last resigned, or last started to yield without leading,
	// because it was slow.
	resignedAt clock.Instant
}

// recentlyResigned reports whether resignedAt is within the given duration before now.
func (y *yielding) recentlyResigned(now clock.Instant, within clock.Duration) bool {
	return y.resignedAt > 0 && now.Sub(y.resignedAt) < within
}

// MeasureSlowness runs the workload every constants.SlownessPeriod until the process stops.
func (c *Campaign) MeasureSlowness() {
	clock.Every(constants.SlownessPeriod, c.node.Stop, func() {
		took := measureWorkload()
		c.lock.Lock()
		c.yielding.slowness.observe(took)
		c.lock.Unlock()
	})
}

// SlownessSlow is the value of the first column of ReportSlowness on a slow machine. It must
// not change, since earlier versions read it.
const SlownessSlow = "slow"

// ReportSlowness returns whether this machine is currently slow, and the shortest run time of the
// workload in microseconds. The leader requests this report from a store before it selects that store
// as a joiner.
func (c *Campaign) ReportSlowness() *messages.StatusResponse {
	c.lock.Lock()
	defer c.lock.Unlock()
	state := "usual"
	if c.yielding.slowness.isSlow() {
		state = SlownessSlow
	}
	fastest := strconv.FormatInt(c.yielding.slowness.fastest.Microseconds(), 10)
	return &messages.StatusResponse{Columns: []string{"pace", "best-us"}, Rows: [][]string{{state, fastest}}}
}

// YieldUntil keeps this process from leading until an instant.
func (c *Campaign) YieldUntil(until clock.Instant) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.yielding.until = until
}

// yieldsForLag reports whether the instant set by YieldUntil is still in the future.
func (c *Campaign) yieldsForLag() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return clock.Now() < c.yielding.until
}

// ShouldResign reports whether the leader should leave the leadership to others because its
// machine is slow or, as determined by the caller, its disk is. It returns false if this process
// has resigned within constants.ResignBackoff, so that the leadership does not keep moving when
// all machines are slow. If it returns true, it records the resignation.
func (c *Campaign) ShouldResign(diskSlow bool, now clock.Instant) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	slow := diskSlow || c.yielding.slowness.isSlow()
	if !slow || c.yielding.recentlyResigned(now, constants.ResignBackoff) {
		return false
	}
	c.yielding.resignedAt = now
	return true
}

// yieldsForSlowness reports whether this process currently leaves the leadership to others: it has
// resigned within constants.YieldTime, or its machine is slow and it has not resigned within
// constants.ResignBackoff. The latter counts as a resignation from then on.
func (c *Campaign) yieldsForSlowness(now clock.Instant) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.yielding.slowness.isSlow() && !c.yielding.recentlyResigned(now, constants.ResignBackoff) {
		c.yielding.resignedAt = now
	}
	return c.yielding.recentlyResigned(now, constants.YieldTime)
}
