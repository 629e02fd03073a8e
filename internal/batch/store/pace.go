package store

import (
	"hash/fnv"
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// pace follows how quickly this machine works: the time of a fixed piece of work,
// against the shortest that it ever took here. A step function without a clock.
type pace struct {
	best   clock.Span
	recent []clock.Span
}

// note takes a new time. A single long one says nothing: the collector may have run.
func (one *pace) note(took clock.Span) {
	if took <= 0 {
		return
	}
	if one.best == 0 || took < one.best {
		one.best = took
	}
	one.recent = append(one.recent, took)
	if len(one.recent) > constants.PaceWindow {
		one.recent = one.recent[len(one.recent)-constants.PaceWindow:]
	}
}

// slow tells whether even the shortest of the latest times is far above the best.
func (one *pace) slow() bool {
	return len(one.recent) >= constants.PaceWindow && slices.Min(one.recent) > constants.PaceFactor*one.best
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
	one.means[identity] += constants.LagWeight * (took - one.means[identity])
}

// behind tells whether a store's disk is far slower than the usual one of the
// others. Its own disk answers a holder without a link in between, so a long time
// is the disk's.
func (one *lags) behind(identity string) bool {
	var others []float64
	for name, mean := range one.means {
		if name != identity && one.count[name] >= constants.LagLeast {
			others = append(others, mean)
		}
	}
	if len(others) == 0 || one.count[identity] < constants.LagLeast {
		return false
	}
	slices.Sort(others)
	usual := others[len(others)/2]
	return one.means[identity] > constants.LagFactor*usual && one.means[identity] > constants.LagFloorMs
}

// workload is the fixed piece of work, a few tens of microseconds long.
var workload [32 << 10]byte

func measure() clock.Span {
	begun := clock.Now()
	sum := fnv.New64a()
	_, _ = sum.Write(workload[:])
	return clock.Now().Since(begun)
}

// pacing measures this machine now and then.
func (server *Server) pacing() {
	clock.Every(constants.PacePeriod, server.Node.Stop, func() {
		took := measure()
		server.lock.Lock()
		server.pace.note(took)
		server.lock.Unlock()
	})
}

// reportPace says whether this machine is slow now: whoever looks for a store to
// copy everything to asks it first.
func (server *Server) reportPace() *messages.Status {
	server.lock.Lock()
	defer server.lock.Unlock()
	word := "usual"
	if server.pace.slow() {
		word = "slow"
	}
	return &messages.Status{Columns: []string{"pace", "best-us"}, Rows: [][]string{{word, number(server.pace.best.Microseconds())}}}
}

// sluggish asks a machine that stands by; silence counts as slow.
func (server *Server) sluggish(member messages.Member) bool {
	answer := &messages.Status{}
	err := transport.Ask(server.Node.Wire, member.Address, messages.KindStatus, &messages.StatusAsk{Query: "pace"}, answer, constants.RoundTime)
	if err != nil {
		return true
	}
	return len(answer.Rows) == 1 && len(answer.Rows[0]) > 0 && answer.Rows[0][0] == "slow"
}

// lagged notes how long a store took over an order.
func (term *term) lagged(identity string, took clock.Span) {
	term.lock.Lock()
	defer term.lock.Unlock()
	term.lags.note(identity, clock.ToMilliseconds(took))
}

// tooSlow tells whether the holder should give its duty up: its machine or its disk
// is far slower than usual, others are there to take it, and it has not done so
// only just, so that a duty that is slow everywhere does not wander.
func (term *term) tooSlow(now clock.Moment) bool {
	server := term.server
	term.lock.Lock()
	disk := term.lags.behind(register.Identity(server.member()))
	alone := len(term.press.Members) < 2
	term.lock.Unlock()
	server.lock.Lock()
	defer server.lock.Unlock()
	if alone || !(disk || server.pace.slow()) || (server.gaveUp > 0 && now.Since(server.gaveUp) < constants.GiveUpPause) {
		return false
	}
	server.gaveUp = now
	return true
}

// defers tells whether this process leaves the duty to others for now: it has just
// given it up, or its machine is slow and it has not held back for long.
func (server *Server) defers(now clock.Moment) bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	if server.pace.slow() && (server.gaveUp == 0 || now.Since(server.gaveUp) >= constants.GiveUpPause) {
		server.gaveUp = now
	}
	return server.gaveUp > 0 && now.Since(server.gaveUp) < constants.DeferTime
}
