package store

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// tendLag gives the duty up when our own disk lags what the other stores sync by
// far: reads of lots come from it, and a later takeover would have to wait for it.
// Records don't: they are durable with the fastest f+1.
func (term *term) tendLag() {
	own := register.Identity(term.server.member())
	clock.Every(constants.HoldRenewal, term.stop, func() {
		now := clock.Now()
		term.lock.Lock()
		behind := term.lag.Behind(term.press.MatchOf(own), term.press.Done(), now)
		alone := len(term.press.Members) < 2
		term.lock.Unlock()
		if behind < constants.LagLimit || alone {
			return
		}
		term.server.rest(now.Plus(constants.LagRest))
		term.end("own store lags the others")
		term.giveUp()
	})
}

// rest keeps this process from asking for the duty until a moment.
func (server *Server) rest(until clock.Moment) {
	server.lock.Lock()
	defer server.lock.Unlock()
	server.resting = until
}

// rests tells whether it stands back from the duty.
func (server *Server) rests() bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	return clock.Now() < server.resting
}
