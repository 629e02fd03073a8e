package leadership

import (
	"hash/fnv"
	"slices"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// slowness follows how quickly this machine works: the time of a fixed piece of work,
// against the shortest that it ever took here. A step function without a clock.
type slowness struct {
	best   clock.Duration
	recent []clock.Duration
}

// note takes a new time. A single long one says nothing: the collector may have run.
func (s *slowness) note(took clock.Duration) {
	if took <= 0 {
		return
	}
	if s.best == 0 || took < s.best {
		s.best = took
	}
	s.recent = append(s.recent, took)
	if len(s.recent) > constants.SlownessWindow {
		s.recent = s.recent[len(s.recent)-constants.SlownessWindow:]
	}
}

// slow tells whether even the shortest of the latest times is far above the best.
func (s *slowness) slow() bool {
	return len(s.recent) >= constants.SlownessWindow && slices.Min(s.recent) > constants.SlownessFactor*s.best
}

// workload is the fixed piece of work, a few tens of microseconds long.
var workload [32 << 10]byte

func measureWorkload() clock.Duration {
	start := clock.Now()
	sum := fnv.New64a()
	_, _ = sum.Write(workload[:])
	return clock.Now().Sub(start)
}

// yielding is whether this process leaves the leadership to others for now.
type yielding struct {
	slowness slowness
	// until is when a process whose own store lagged may lead again.
	until clock.Instant
	// resignedAt is when it last left the leadership to others for being slow.
	resignedAt clock.Instant
}

// recentlyResigned tells whether it left the leadership within a duration.
func (y *yielding) recentlyResigned(now clock.Instant, within clock.Duration) bool {
	return y.resignedAt > 0 && now.Sub(y.resignedAt) < within
}

// MeasureSlowness measures this machine now and then, until the process stops.
func (c *Campaign) MeasureSlowness() {
	clock.Every(constants.SlownessPeriod, c.node.Stop, func() {
		took := measureWorkload()
		c.lock.Lock()
		c.yielding.slowness.note(took)
		c.lock.Unlock()
	})
}

// SlownessSlow is the word in the first column of ReportSlowness where a machine is slow;
// earlier versions read it.
const SlownessSlow = "slow"

// ReportSlowness says whether this machine is slow now: whoever looks for a store to copy
// everything to asks it first.
func (c *Campaign) ReportSlowness() *messages.StatusResponse {
	c.lock.Lock()
	defer c.lock.Unlock()
	word := "usual"
	if c.yielding.slowness.slow() {
		word = SlownessSlow
	}
	best := strconv.FormatInt(c.yielding.slowness.best.Microseconds(), 10)
	return &messages.StatusResponse{Columns: []string{"pace", "best-us"}, Rows: [][]string{{word, best}}}
}

// YieldUntil keeps this process from leading until an instant.
func (c *Campaign) YieldUntil(until clock.Instant) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.yielding.until = until
}

// isYielding tells whether YieldUntil holds now.
func (c *Campaign) isYielding() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return clock.Now() < c.yielding.until
}

// ShouldResign tells whether the leader should leave the leadership to others: its machine
// or, as the caller found, its disk is far slower than usual, and it has not done so only
// just, so that a leadership that is slow everywhere does not wander.
func (c *Campaign) ShouldResign(diskSlow bool, now clock.Instant) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	slow := diskSlow || c.yielding.slowness.slow()
	if !slow || c.yielding.recentlyResigned(now, constants.ResignBackoff) {
		return false
	}
	c.yielding.resignedAt = now
	return true
}

// yields tells whether this process leaves the leadership to others for now: it has just
// resigned, or its machine is slow and it has not yielded for long.
func (c *Campaign) yields(now clock.Instant) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.yielding.slowness.slow() && !c.yielding.recentlyResigned(now, constants.ResignBackoff) {
		c.yielding.resignedAt = now
	}
	return c.yielding.recentlyResigned(now, constants.YieldTime)
}
