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

// Grants is an acceptor's side.
type Grants struct {
	holder  string
	life    int64
	turn    uint64
	until   clock.Moment
	silence clock.Moment
}

// NewGrants starts a side. One that may have granted a lease before it restarted
// grants nothing until that has run out.
func NewGrants(now clock.Moment, first bool) *Grants {
	grants := &Grants{}
	if !first {
		grants.silence = now.Plus(constants.HoldTime)
	}
	return grants
}

// Ask answers a candidate or a holder that renews.
func (g *Grants) Ask(question messages.HoldAsk, inForce messages.Duty, now clock.Moment) messages.HoldAnswer {
	answer := messages.HoldAnswer{Epoch: inForce.Epoch}
	if question.Release {
		g.Release(question.Candidate, question.Life, question.Turn)
		answer.Granted = true
		return answer
	}
	renews := inForce.Epoch > 0 && inForce.Holder == question.Candidate && question.Epoch == inForce.Epoch && inForce.Life == question.Life
	if inForce.Epoch > question.Epoch && !renews {
		// Somebody took the lots since: the asker has to learn of it first.
		answer.WaitMs = 1
		return answer
	}
	free := now >= g.until && now >= g.silence
	// A new life of the same process shows that the old one is over; an old life
	// that woke up gets nothing back.
	same := g.holder == question.Candidate && question.Life >= g.life
	restarted := inForce.Holder == question.Candidate && question.Life >= inForce.Life && g.holder == ""
	if !free && !same && !restarted {
		answer.WaitMs = max(g.until.Since(now), g.silence.Since(now)).Milliseconds() + 1
		return answer
	}
	if g.holder != question.Candidate || g.life != question.Life {
		g.turn = 0
	}
	g.holder, g.life = question.Candidate, question.Life
	g.turn = max(g.turn, question.Turn)
	g.until = now.Plus(constants.HoldTime)
	answer.Granted = true
	return answer
}

// Release ends a lease early, when its holder leaves in order. One that was sent before
// the newest question granted came too late.
func (g *Grants) Release(holder string, life int64, turn uint64) {
	if g.holder == holder && g.life == life && turn >= g.turn {
		g.until = 0
	}
}

// Lease is the holder's side.
type Lease struct {
	until clock.Moment
}

// Hold is the earlier name of Lease.
type Hold = Lease

// Renewed notes that a majority granted what was asked at a moment. The lease counts
// from the asking, and ends a margin early.
func (l *Lease) Renewed(asked clock.Moment) {
	end := asked.Plus(constants.HoldTime - constants.HoldMargin)
	if end > l.until {
		l.until = end
	}
}

// Stands tells whether the holder may act.
func (l *Lease) Stands(now clock.Moment) bool { return now < l.until }

// Drop gives the lease up.
func (l *Lease) Drop() { l.until = 0 }
