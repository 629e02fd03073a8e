// Package leadership elects the store process that leads batch processing. A candidate first
// requests a lease from the acceptors. Only one candidate at a time can hold it while no acceptor
// restarts (package lease). The candidate then increments the leadership's epoch in the register
// by compare-and-set, so of several candidates with a lease only one leads the next epoch. The
// epoch is also what fences an earlier leader that continues after its lease has expired. The
// leader renews the lease and sends announcements; a store that receives no announcement for
// about the duration of a lease (leaderTimeout) campaigns.
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

// leaderTimeout is how long a store waits for a leader's announcement before it campaigns. A
// silent leader's lease expires at about the same time.
const leaderTimeout = constants.LeaseDuration - constants.LeaseSafetyMargin

// Term is the period of one epoch during which this process leads.
type Term interface {
	// Epoch returns the epoch of the term, which fences earlier terms.
	Epoch() uint64
	// TakeOver prepares the term to serve. It is called in its own goroutine.
	TakeOver()
	// Close ends the term: it no longer responds to requests, dispatches items or writes records.
	Close(reason string)
	// Closed reports whether the term has ended.
	Closed() bool
}

// Campaign takes part in the election on behalf of one store. It is safe for concurrent use.
type Campaign struct {
	node *agent.Agent
	// newTerm creates the term after this process was elected.
	newTerm  func(elected messages.Leadership, stores []messages.Member) Term
	draining atomic.Bool

	// lock guards the fields below. It is not held while a request is in flight.
	lock     sync.Mutex
	lease    lease.Lease
	sequence uint64
	term     Term
	register knownRegister
	leader   announcedLeader
	yielding yielding
}

// knownRegister is the most recently read value of the register, without its body.
type knownRegister struct {
	value messages.RegisterValue
	// readAt is when the value was read. Zero means that it has to be read again.
	readAt clock.Instant
}

// announcedLeader is the leader that was announced most recently.
type announcedLeader struct {
	leadership messages.Leadership
	// announcedAt is when the announcement arrived. It is zero once that leader has resigned.
	announcedAt clock.Instant
}

// New returns the campaign of a store process.
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

// Drain stops this process from campaigning.
func (c *Campaign) Drain() { c.draining.Store(true) }

// Member returns this process as a member of the store set.
func (c *Campaign) Member() messages.Member {
	self := c.node.Self
	return messages.Member{Name: self.Name, Disk: self.Disk, Address: self.Address, Zone: self.Zone}
}

// Current returns this process's open term, or nil if it has none.
func (c *Campaign) Current() Term {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.term == nil || c.term.Closed() {
		return nil
	}
	return c.term
}

// HoldsLease reports whether this process has a valid lease and may act as the leader.
func (c *Campaign) HoldsLease() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.lease.Valid(clock.Now())
}

// ObserveEpoch ends this process's term if the observed epoch is later than its own.
func (c *Campaign) ObserveEpoch(epoch uint64) {
	if current := c.Current(); current != nil && current.Epoch() < epoch {
		current.Close("a later epoch was observed")
	}
}

// HandleAnnouncement records the announced leader, or its resignation. It ignores an announcement
// of an earlier epoch than the last, and ends this process's term if the announced epoch is later.
func (c *Campaign) HandleAnnouncement(announcement *messages.LeaderAnnouncement) (*messages.Ack, error) {
	c.lock.Lock()
	if announcement.Leadership.Epoch >= c.leader.leadership.Epoch {
		c.leader = announcedLeader{leadership: announcement.Leadership, announcedAt: clock.Now()}
		if announcement.Resigned {
			c.leader.announcedAt, c.register.readAt = 0, 0
		}
	}
	c.lock.Unlock()
	c.ObserveEpoch(announcement.Leadership.Epoch)
	return &messages.Ack{Accepted: true}, nil
}

// Announced returns the most recently announced leadership, or the zero value if there was none.
func (c *Campaign) Announced() messages.Leadership {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.leader.leadership
}

// OtherLeader returns the address of another process that announced itself as the leader
// within the duration of a lease, or an empty string.
func (c *Campaign) OtherLeader() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.leader.announcedAt > 0 && clock.Now().Sub(c.leader.announcedAt) < constants.LeaseDuration && c.leader.leadership.Address != c.node.Self.Address {
		return c.leader.leadership.Address
	}
	return ""
}

// LeaderAddress returns the address of the leader, or an empty string if none is known.
func (c *Campaign) LeaderAddress() string {
	if c.Current() != nil {
		return c.node.Self.Address
	}
	return c.OtherLeader()
}

// LeaderEpoch returns the epoch of the last leader known to this process, or zero if there was none.
func (c *Campaign) LeaderEpoch() uint64 {
	if current := c.Current(); current != nil {
		return current.Epoch()
	}
	return c.Announced().Epoch
}
