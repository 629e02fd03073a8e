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

// slowness follows how quickly this machine works: the time of a fixed piece of work,
// against the shortest that it ever took here. A step function without a clock.
type slowness struct {
	best   clock.Duration
	recent []clock.Duration
}

// note takes a new time. A single long one says nothing: the collector may have run.
func (p *slowness) note(took clock.Duration) {
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
func (p *slowness) slow() bool {
	return len(p.recent) >= constants.SlownessWindow && slices.Min(p.recent) > constants.SlownessFactor*p.best
}

// appendLatency follows, for the holder, how long each store takes over an order to append.
type appendLatency struct {
	means map[string]float64
	count map[string]int
}

func newAppendLatency() appendLatency {
	return appendLatency{means: map[string]float64{}, count: map[string]int{}}
}

// note takes a new time of a store, in ms.
func (l *appendLatency) note(identity string, took float64) {
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
func (l *appendLatency) behind(identity string) bool {
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

// measureSlowness measures this machine now and then.
func (s *Server) measureSlowness() {
	clock.Every(constants.SlownessPeriod, s.Node.Stop, func() {
		took := measure()
		s.lock.Lock()
		s.slowness.note(took)
		s.lock.Unlock()
	})
}

// reportSlowness says whether this machine is slow now: whoever looks for a store to
// copy everything to asks it first.
func (s *Server) reportSlowness() *messages.StatusResponse {
	s.lock.Lock()
	defer s.lock.Unlock()
	word := "usual"
	if s.slowness.slow() {
		word = "slow"
	}
	return &messages.StatusResponse{Columns: []string{"pace", "best-us"}, Rows: [][]string{{word, number(s.slowness.best.Microseconds())}}}
}

// isSlow asks a machine that stands by; silence counts as slow.
func (s *Server) isSlow(member messages.Member) bool {
	resp := &messages.StatusResponse{}
	err := transport.Call(s.Node.Transport, member.Address, messages.KindStatus, &messages.StatusRequest{Query: "pace"}, resp, constants.RoundTimeout)
	if err != nil {
		return true
	}
	return len(resp.Rows) == 1 && len(resp.Rows[0]) > 0 && resp.Rows[0][0] == "slow"
}

// noteAppendLatency notes how long a store took over an order.
func (t *term) noteAppendLatency(identity string, took clock.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.appendLatency.note(identity, clock.ToMilliseconds(took))
}

// tooSlow tells whether the holder should give its duty up: its machine or its disk
// is far slower than usual, others are there to take it, and it has not done so
// only just, so that a duty that is slow everywhere does not wander.
func (t *term) tooSlow(now clock.Instant) bool {
	server := t.server
	t.lock.Lock()
	disk := t.appendLatency.behind(register.Identity(server.member()))
	alone := len(t.replicator.Members) < 2
	t.lock.Unlock()
	server.lock.Lock()
	defer server.lock.Unlock()
	if alone || !(disk || server.slowness.slow()) || (server.resignedAt > 0 && now.Sub(server.resignedAt) < constants.ResignBackoff) {
		return false
	}
	server.resignedAt = now
	return true
}

// yields tells whether this process leaves the duty to others for now: it has just
// given it up, or its machine is slow and it has not held back for long.
func (s *Server) yields(now clock.Instant) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.slowness.slow() && (s.resignedAt == 0 || now.Sub(s.resignedAt) >= constants.ResignBackoff) {
		s.resignedAt = now
	}
	return s.resignedAt > 0 && now.Sub(s.resignedAt) < constants.YieldTime
}
