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
	best   clock.Duration
	recent []clock.Duration
}

// note takes a new time. A single long one says nothing: the collector may have run.
func (p *pace) note(took clock.Duration) {
	if took <= 0 {
		return
	}
	if p.best == 0 || took < p.best {
		p.best = took
	}
	p.recent = append(p.recent, took)
	if len(p.recent) > constants.SlownessWindow {
		p.recent = p.recent[len(p.recent)-constants.SlownessWindow:]
	}
}

// slow tells whether even the shortest of the latest times is far above the best.
func (p *pace) slow() bool {
	return len(p.recent) >= constants.SlownessWindow && slices.Min(p.recent) > constants.SlownessFactor*p.best
}

// lags follows, for the holder, how long each store takes over an order to append.
type lags struct {
	means map[string]float64
	count map[string]int
}

func newLags() lags { return lags{means: map[string]float64{}, count: map[string]int{}} }

// note takes a new time of a store, in ms.
func (l *lags) note(identity string, took float64) {
	l.count[identity]++
	if l.count[identity] == 1 {
		l.means[identity] = took
		return
	}
	l.means[identity] += constants.LagWeight * (took - l.means[identity])
}

// behind tells whether a store's disk is far slower than the usual one of the
// others. Its own disk answers a holder without a link in between, so a long time
// is the disk's.
func (l *lags) behind(identity string) bool {
	var others []float64
	for name, mean := range l.means {
		if name != identity && l.count[name] >= constants.LagLeast {
			others = append(others, mean)
		}
	}
	if len(others) == 0 || l.count[identity] < constants.LagLeast {
		return false
	}
	slices.Sort(others)
	usual := others[len(others)/2]
	return l.means[identity] > constants.LagFactor*usual && l.means[identity] > constants.LagFloorMs
}

// workload is the fixed piece of work, a few tens of microseconds long.
var workload [32 << 10]byte

func measure() clock.Duration {
	start := clock.Now()
	sum := fnv.New64a()
	_, _ = sum.Write(workload[:])
	return clock.Now().Sub(start)
}

// pacing measures this machine now and then.
func (s *Server) pacing() {
	clock.Every(constants.SlownessPeriod, s.Node.Stop, func() {
		took := measure()
		s.lock.Lock()
		s.pace.note(took)
		s.lock.Unlock()
	})
}

// reportPace says whether this machine is slow now: whoever looks for a store to
// copy everything to asks it first.
func (s *Server) reportPace() *messages.StatusResponse {
	s.lock.Lock()
	defer s.lock.Unlock()
	word := "usual"
	if s.pace.slow() {
		word = "slow"
	}
	return &messages.StatusResponse{Columns: []string{"pace", "best-us"}, Rows: [][]string{{word, number(s.pace.best.Microseconds())}}}
}

// sluggish asks a machine that stands by; silence counts as slow.
func (s *Server) sluggish(member messages.Member) bool {
	resp := &messages.StatusResponse{}
	err := transport.Call(s.Node.Transport, member.Address, messages.KindStatus, &messages.StatusRequest{Query: "pace"}, resp, constants.RoundTimeout)
	if err != nil {
		return true
	}
	return len(resp.Rows) == 1 && len(resp.Rows[0]) > 0 && resp.Rows[0][0] == "slow"
}

// lagged notes how long a store took over an order.
func (t *term) lagged(identity string, took clock.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.lags.note(identity, clock.ToMilliseconds(took))
}

// tooSlow tells whether the holder should give its duty up: its machine or its disk
// is far slower than usual, others are there to take it, and it has not done so
// only just, so that a duty that is slow everywhere does not wander.
func (t *term) tooSlow(now clock.Instant) bool {
	server := t.server
	t.lock.Lock()
	disk := t.lags.behind(register.Identity(server.member()))
	alone := len(t.press.Members) < 2
	t.lock.Unlock()
	server.lock.Lock()
	defer server.lock.Unlock()
	if alone || !(disk || server.pace.slow()) || (server.gaveUp > 0 && now.Sub(server.gaveUp) < constants.ResignBackoff) {
		return false
	}
	server.gaveUp = now
	return true
}

// defers tells whether this process leaves the duty to others for now: it has just
// given it up, or its machine is slow and it has not held back for long.
func (s *Server) defers(now clock.Instant) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.pace.slow() && (s.gaveUp == 0 || now.Sub(s.gaveUp) >= constants.ResignBackoff) {
		s.gaveUp = now
	}
	return s.gaveUp > 0 && now.Sub(s.gaveUp) < constants.YieldTime
}
