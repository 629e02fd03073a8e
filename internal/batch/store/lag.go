package store

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// watchOwnLag gives the duty up when our own disk lags what the other stores sync by
// far: reads of lots come from it, and a later takeover would have to wait for it.
// Records don't: they are durable with the fastest f+1.
func (t *term) watchOwnLag() {
	own := register.Identity(t.server.member())
	clock.Every(constants.LeaseRenewPeriod, t.stop, func() {
		now := clock.Now()
		t.lock.Lock()
		behind := t.replicaLag.Behind(t.replicator.MatchIndex(own), t.replicator.CommitIndex(), now)
		alone := len(t.replicator.Members) < 2
		t.lock.Unlock()
		if behind < constants.LagLimit || alone {
			return
		}
		t.server.yieldUntilInstant(now.Add(constants.LagYieldTime))
		t.close("own store lags the others")
		t.resign()
	})
}

// yieldUntilInstant keeps this process from asking for the duty until a moment.
func (s *Server) yieldUntilInstant(until clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.yieldUntil = until
}

// isYielding tells whether it stands back from the duty.
func (s *Server) isYielding() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return clock.Now() < s.yieldUntil
}
