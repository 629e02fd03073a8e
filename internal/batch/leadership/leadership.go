// Package leadership elects the store that decides on all batch jobs. A candidate asks the
// acceptors for a lease (package lease), which decides who may try; then it raises the
// leadership's epoch in the register, which is what fences an earlier leader that overslept
// its lease. The leader renews the lease and announces itself; a store that is told of no
// leader for the length of a lease campaigns.
package leadership

import (
	"sync"
	"sync/atomic"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/lease"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// leaderTimeout is how long a leader may say nothing before others campaign (ours): its
// lease ends about then anyway.
const leaderTimeout = constants.LeaseDuration - constants.LeaseSafetyMargin

// Term is the time of one epoch in which this process leads.
type Term interface {
	// Epoch is the epoch that fences the term.
	Epoch() uint64
	// TakeOver makes the term ready to serve; it runs in a goroutine of its own.
	TakeOver()
	// Close ends the term: nothing is answered, run or written under its epoch any more.
	Close(reason string)
	// Closed tells whether the term has ended.
	Closed() bool
}

// Campaign is one store's part in the election. It is safe for concurrent use.
type Campaign struct {
	node *agent.Agent
	// newTerm makes the term of this process once it was elected.
	newTerm  func(elected messages.Leadership, stores []messages.Member) Term
	draining atomic.Bool

	// lock guards the fields below. It is not held while a request is under way.
	lock     sync.Mutex
	lease    lease.Lease
	sequence uint64
	term     Term
	register knownRegister
	leader   announcedLeader
	yielding yielding
}

// knownRegister is the register's value as it was last read, without its body.
type knownRegister struct {
	value messages.RegisterValue
	// readAt is zero where it has to be read anew.
	readAt clock.Instant
}

// announcedLeader is who announced itself last.
type announcedLeader struct {
	leadership messages.Leadership
	// at is zero once that leader has resigned.
	at clock.Instant
}

// New makes the campaign of a store process.
func New(node *agent.Agent, newTerm func(elected messages.Leadership, stores []messages.Member) Term) *Campaign {
	return &Campaign{node: node, newTerm: newTerm}
}

// Run campaigns and renews the lease until the process stops.
func (c *Campaign) Run() {
	for {
		select {
		case <-c.node.Stop:
			return
		case <-clock.After(c.step()):
		}
	}
}

// Drain has this process campaign no more.
func (c *Campaign) Drain() { c.draining.Store(true) }

// Member is this process as one of the store set.
func (c *Campaign) Member() messages.Member {
	self := c.node.Self
	return messages.Member{Name: self.Name, Disk: self.Disk, Address: self.Address, Zone: self.Zone}
}

// Current gives the term of this process that has not ended, or nil.
func (c *Campaign) Current() Term {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.term == nil || c.term.Closed() {
		return nil
	}
	return c.term
}

// HoldsLease tells whether this process may act as the leader now.
func (c *Campaign) HoldsLease() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.lease.Valid(clock.Now())
}

// ObserveEpoch ends this process's term when a later epoch is seen at work.
func (c *Campaign) ObserveEpoch(epoch uint64) {
	if current := c.Current(); current != nil && current.Epoch() < epoch {
		current.Close("a later epoch is at work")
	}
}

// HandleAnnouncement notes who leads, or that the leader has resigned.
func (c *Campaign) HandleAnnouncement(announcement *messages.LeaderAnnouncement) (*messages.Ack, error) {
	c.lock.Lock()
	if announcement.Leadership.Epoch >= c.leader.leadership.Epoch {
		c.leader = announcedLeader{leadership: announcement.Leadership, at: clock.Now()}
		if announcement.Resigned {
			c.leader.at, c.register.readAt = 0, 0
		}
	}
	c.lock.Unlock()
	c.ObserveEpoch(announcement.Leadership.Epoch)
	return &messages.Ack{Accepted: true}, nil
}

// Announced gives the leadership that was announced last.
func (c *Campaign) Announced() messages.Leadership {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.leader.leadership
}

// OtherLeader is the address of another process that announced itself as the leader lately,
// or nothing.
func (c *Campaign) OtherLeader() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.leader.at > 0 && clock.Now().Sub(c.leader.at) < constants.LeaseDuration && c.leader.leadership.Address != c.node.Self.Address {
		return c.leader.leadership.Address
	}
	return ""
}

// LeaderAddress is the address of the leader, or nothing.
func (c *Campaign) LeaderAddress() string {
	if c.Current() != nil {
		return c.node.Self.Address
	}
	return c.OtherLeader()
}

// LeaderEpoch is the epoch of the leader, as far as this process knows.
func (c *Campaign) LeaderEpoch() uint64 {
	if current := c.Current(); current != nil {
		return current.Epoch()
	}
	return c.Announced().Epoch
}
