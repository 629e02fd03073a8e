// Package lease implements the lease that backs the leadership over batch jobs: a majority of
// acceptors grants it for a bounded time, and its holder stops acting before that time ends. The
// package consists of step functions without I/O; package registerserver serves the lease requests,
// and package leadership sends them.
//
// The lease only decides who may campaign, so that there is one leader most of the time. A leader
// that keeps acting after its lease has expired is fenced by the epoch in the register.
//
// While no acceptor restarts, at most one candidate has the grants of a majority at a time. An
// acceptor grants the lease to no other candidate before its previous grant has expired by its own
// monotonic clock. The holder counts its lease from before it sent the request and ends it
// constants.LeaseSafetyMargin early.
//
// An acceptor that was restarted has lost its grants. Until they must have expired, it grants the
// lease only to the leader in the register as it knows it; see isLeaderOfForgottenGrant. If it had
// granted the lease to another candidate that is not the leader there yet, both may have the grants
// of a majority; the epoch in the register then decides which of them leads.
package lease

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Grantor is the acceptor side of the lease. It records the candidate that the lease was last
// granted to, and until when.
type Grantor struct {
	grantee     string
	incarnation int64
	// sequence is the sequence number of the newest request that was granted to this incarnation of
	// the grantee.
	sequence uint64
	until    clock.Instant
	// quietUntil is the time by which grants of an earlier incarnation of this acceptor have
	// expired.
	quietUntil clock.Instant
}

// NewGrantor returns the Grantor of an acceptor that starts now. An acceptor that may have granted
// a lease before it was restarted grants none until that lease must have expired, except to the
// leader in the register. first is set for an acceptor that cannot have granted one.
func NewGrantor(now clock.Instant, first bool) *Grantor {
	g := &Grantor{}
	if !first {
		g.quietUntil = now.Add(constants.LeaseDuration)
	}
	return g
}

// Grant decides on a candidate's request to acquire, renew or release the lease. current is the
// leadership in the register as this acceptor knows it. If the request is rejected, WaitMs in the
// response is the time in ms after which to retry.
func (g *Grantor) Grant(req messages.LeaseRequest, current messages.Leadership, now clock.Instant) messages.LeaseResponse {
	resp := messages.LeaseResponse{Epoch: current.Epoch}
	switch {
	case req.Release:
		g.Release(req.Candidate, req.Incarnation, req.Sequence)
		resp.Granted = true
	case current.Epoch > req.Epoch:
		// There has been another leader since: the candidate has to read the new epoch first.
		resp.WaitMs = 1
	case g.available(now) || g.isGrantee(req) || g.isLeaderOfForgottenGrant(req, current):
		g.grant(req, now)
		resp.Granted = true
	default:
		resp.WaitMs = max(g.until.Sub(now), g.quietUntil.Sub(now)).Milliseconds() + 1
	}
	return resp
}

// available reports whether every grant of this acceptor and of its earlier incarnation has
// expired.
func (g *Grantor) available(now clock.Instant) bool {
	return now >= g.until && now >= g.quietUntil
}

// isGrantee reports whether the request comes from the candidate that the lease was last granted
// to. A new incarnation of the same process proves that the old one has ended; a request of an
// older incarnation is not treated as the grantee's.
func (g *Grantor) isGrantee(req messages.LeaseRequest) bool {
	return g.grantee == req.Candidate && req.Incarnation >= g.incarnation
}

// isLeaderOfForgottenGrant reports whether the request comes from the leader in the register, whose
// grant this acceptor may have lost in a restart. That leader can renew its lease at once. The lost
// grant may also have been to another candidate; see the package comment.
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

// Release ends a lease early, when its holder resigns. A release that was sent before the newest
// granted request has been overtaken by it, and has no effect.
func (g *Grantor) Release(holder string, incarnation int64, sequence uint64) {
	if g.grantee == holder && g.incarnation == incarnation && sequence >= g.sequence {
		g.until = 0
	}
}

// Lease is the holder side of the lease. The zero Lease was never granted: Valid returns false.
type Lease struct {
	until clock.Instant
}

// Renewed records that a majority granted a request that was sent at sentAt. The lease counts from
// that time, and ends constants.LeaseSafetyMargin early.
func (l *Lease) Renewed(sentAt clock.Instant) {
	end := sentAt.Add(constants.LeaseDuration - constants.LeaseSafetyMargin)
	if end > l.until {
		l.until = end
	}
}

// Valid reports whether the lease is valid at now, so that its holder may act.
func (l *Lease) Valid(now clock.Instant) bool { return now < l.until }

// Revoke ends the lease immediately.
func (l *Lease) Revoke() { l.until = 0 }
