package store

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// tendLag gives the duty up when our own disk lags what the other stores sync by
// far: reads of lots come from it, and a later takeover would have to wait for it.
// Records don't: they are durable with the fastest f+1.
func (t *term) tendLag() {
	own := register.Identity(t.server.member())
	clock.Every(constants.LeaseRenewPeriod, t.stop, func() {
		now := clock.Now()
		t.lock.Lock()
		behind := t.lag.Behind(t.press.MatchOf(own), t.press.Done(), now)
		alone := len(t.press.Members) < 2
		t.lock.Unlock()
		if behind < constants.LagLimit || alone {
			return
		}
		t.server.rest(now.Add(constants.LagYieldTime))
		t.end("own store lags the others")
		t.giveUp()
	})
}

// rest keeps this process from asking for the duty until a moment.
func (s *Server) rest(until clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.resting = until
}

// rests tells whether it stands back from the duty.
func (s *Server) rests() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return clock.Now() < s.resting
}
