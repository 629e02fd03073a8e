// Package lease grants the lease of the lots: a majority of acceptors grants it for a
// bounded time, and its holder stops before that ends. A step function without I/O;
// what fences a holder that overslept is the epoch in the register, the lease only
// decides who may try.
package lease

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Grantor is an acceptor's side.
type Grantor struct {
	holder      string
	incarnation int64
	sequence    uint64
	until       clock.Instant
	quietUntil  clock.Instant
}

// NewGrantor starts a side. One that may have granted a lease before it restarted
// grants nothing until that has run out.
func NewGrantor(now clock.Instant, first bool) *Grantor {
	grants := &Grantor{}
	if !first {
		grants.quietUntil = now.Add(constants.LeaseDuration)
	}
	return grants
}

// Grant answers a candidate or a holder that renews.
func (g *Grantor) Grant(req messages.LeaseRequest, inForce messages.Leadership, now clock.Instant) messages.LeaseResponse {
	resp := messages.LeaseResponse{Epoch: inForce.Epoch}
	if req.Release {
		g.Release(req.Candidate, req.Incarnation, req.Sequence)
		resp.Granted = true
		return resp
	}
	renews := inForce.Epoch > 0 && inForce.Holder == req.Candidate && req.Epoch == inForce.Epoch && inForce.Incarnation == req.Incarnation
	if inForce.Epoch > req.Epoch && !renews {
		// Somebody took the lots since: the asker has to learn of it first.
		resp.WaitMs = 1
		return resp
	}
	free := now >= g.until && now >= g.quietUntil
	// A new incarnation of the same process shows that the old one is over; an old incarnation
	// that woke up gets nothing back.
	same := g.holder == req.Candidate && req.Incarnation >= g.incarnation
	restarted := inForce.Holder == req.Candidate && req.Incarnation >= inForce.Incarnation && g.holder == ""
	if !free && !same && !restarted {
		resp.WaitMs = max(g.until.Sub(now), g.quietUntil.Sub(now)).Milliseconds() + 1
		return resp
	}
	if g.holder != req.Candidate || g.incarnation != req.Incarnation {
		g.sequence = 0
	}
	g.holder, g.incarnation = req.Candidate, req.Incarnation
	g.sequence = max(g.sequence, req.Sequence)
	g.until = now.Add(constants.LeaseDuration)
	resp.Granted = true
	return resp
}

// Release ends a lease early, when its holder leaves in order. One that was sent before
// the newest question granted came too late.
func (g *Grantor) Release(holder string, incarnation int64, turn uint64) {
	if g.holder == holder && g.incarnation == incarnation && turn >= g.sequence {
		g.until = 0
	}
}

// Lease is the holder's side.
type Lease struct {
	until clock.Instant
}

// Hold is the earlier name of Lease.
type Hold = Lease

// Renewed notes that a majority granted what was asked at an instant. The lease counts
// from the asking, and ends a margin early.
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
