// Package lease grants the lease of the leadership over batch jobs: a majority of acceptors
// grants it for a bounded time, and its holder stops acting before that ends. Step functions
// without I/O; package registerserver serves requests for it, and package leadership asks.
//
// The lease decides only who may campaign, so that there is one leader most of the time.
// What fences a holder that overslept its lease is the epoch in the register.
//
// At most one candidate holds the grants of a majority at a time: an acceptor grants nobody
// else anything before its grant has ended by its own steady clock, the holder counts its
// lease from before it asked and ends it constants.LeaseSafetyMargin early, and an acceptor
// that was restarted, and has forgotten its grants, grants nothing until they must have
// ended.
package lease

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Grantor is an acceptor's side of the lease: whom it granted it last, and until when.
type Grantor struct {
	grantee     string
	incarnation int64
	// sequence is that of the newest request that was granted to this incarnation.
	sequence uint64
	until    clock.Instant
	// quietUntil is when grants of an earlier incarnation of this acceptor have ended.
	quietUntil clock.Instant
}

// NewGrantor makes the side of an acceptor that starts now. One that may have granted a
// lease before it was restarted grants nothing until that must have ended; first says that
// it can't have.
func NewGrantor(now clock.Instant, first bool) *Grantor {
	g := &Grantor{}
	if !first {
		g.quietUntil = now.Add(constants.LeaseDuration)
	}
	return g
}

// Grant decides on a candidate's request for the lease, or for its renewal or release.
// current is the leadership in the register as this acceptor knows it. A refusal says after
// how many ms to ask again.
func (g *Grantor) Grant(req messages.LeaseRequest, current messages.Leadership, now clock.Instant) messages.LeaseResponse {
	resp := messages.LeaseResponse{Epoch: current.Epoch}
	switch {
	case req.Release:
		g.Release(req.Candidate, req.Incarnation, req.Sequence)
		resp.Granted = true
	case current.Epoch > req.Epoch:
		// Another led since: the candidate has to learn of that first.
		resp.WaitMs = 1
	case g.available(now) || g.isGrantee(req) || g.isLeaderOfForgottenGrant(req, current):
		g.grant(req, now)
		resp.Granted = true
	default:
		resp.WaitMs = max(g.until.Sub(now), g.quietUntil.Sub(now)).Milliseconds() + 1
	}
	return resp
}

// available tells whether no grant of this acceptor, or of its earlier incarnation, can be
// valid any more.
func (g *Grantor) available(now clock.Instant) bool {
	return now >= g.until && now >= g.quietUntil
}

// isGrantee tells whether the request comes from whom the lease was granted to last. A new
// incarnation of the same process shows that the old one is over; an old one that woke up
// gets nothing back.
func (g *Grantor) isGrantee(req messages.LeaseRequest) bool {
	return g.grantee == req.Candidate && req.Incarnation >= g.incarnation
}

// isLeaderOfForgottenGrant tells whether the request comes from the leader in the register,
// whose grant this acceptor may have forgotten in a restart.
func (g *Grantor) isLeaderOfForgottenGrant(req messages.LeaseRequest, current messages.Leadership) bool {
	return g.grantee == "" && current.Holder == req.Candidate && req.Incarnation >= current.Incarnation
}

func (g *Grantor) grant(req messages.LeaseRequest, now clock.Instant) {
	if g.grantee != req.Candidate || g.incarnation != req.Incarnation {
		g.sequence = 0
	}
	g.grantee, g.incarnation = req.Candidate, req.Incarnation
	g.sequence = max(g.sequence, req.Sequence)
	g.until = now.Add(constants.LeaseDuration)
}

// Release ends a lease early, when its holder resigns in order. A release that was sent
// before the newest request that was granted came too late, and changes nothing.
func (g *Grantor) Release(holder string, incarnation int64, sequence uint64) {
	if g.grantee == holder && g.incarnation == incarnation && sequence >= g.sequence {
		g.until = 0
	}
}

// Lease is the holder's side of the lease. Its zero value is not valid.
type Lease struct {
	until clock.Instant
}

// Renewed notes that a majority granted what was requested at sentAt. The lease counts from
// the request, and ends a margin early.
func (l *Lease) Renewed(sentAt clock.Instant) {
	end := sentAt.Add(constants.LeaseDuration - constants.LeaseSafetyMargin)
	if end > l.until {
		l.until = end
	}
}

// Valid tells whether the holder may act.
func (l *Lease) Valid(now clock.Instant) bool { return now < l.until }

// Revoke gives the lease up.
func (l *Lease) Revoke() { l.until = 0 }
