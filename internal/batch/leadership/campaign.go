package leadership

import (
	"math/rand"
	"strings"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// step performs the next action of the campaign and returns the delay until the next step.
func (c *Campaign) step() clock.Duration {
	if current := c.Current(); current != nil {
		return c.renew(current)
	}
	c.lock.Lock()
	leader, readAt := c.leader, c.register.readAt
	c.lock.Unlock()
	now := clock.Now()
	if leader.announcedAt > 0 && now.Sub(leader.announcedAt) < leaderTimeout && leader.leadership.Address != c.node.Self.Address {
		return constants.TickPeriod * 2
	}
	if now.Sub(readAt) > constants.LeaseRenewPeriod || readAt == 0 {
		if !c.ReadRegister() {
			return constants.TickPeriod * 4
		}
	}
	if !c.eligible() || c.yieldsForSlowness(now) {
		return constants.TickPeriod * 4
	}
	return c.campaign()
}

// eligible reports whether this process may lead. Only members of the store set have all
// the records, and a member that is being retired should not begin a new term. While there is no
// set yet, every store that can propose one is eligible.
func (c *Campaign) eligible() bool {
	if c.draining.Load() || c.yieldsForLag() {
		return false
	}
	value := c.Register()
	for _, name := range value.Retired {
		if name == c.node.Self.Name {
			return false
		}
	}
	if len(value.Stores) == 0 {
		return len(c.firstStores()) > 0
	}
	for _, member := range value.Stores {
		if register.Identity(member) == register.Identity(c.Member()) {
			return true
		}
	}
	return false
}

// campaign requests the lease and, once a majority of the acceptors grants it, records the
// leadership in the register. It returns the delay until the next step.
func (c *Campaign) campaign() clock.Duration {
	value := c.Register()
	backoff := constants.TickPeriod*3 + clock.Duration(rand.Int63n(int64(constants.LeaseRenewPeriod)))
	sentAt, self := clock.Now(), c.node.Self
	granted, _ := c.requestLease(messages.LeaseRequest{Candidate: self.Name, Incarnation: self.Incarnation, Epoch: value.Leadership.Epoch}, constants.LeaseRenewPeriod)
	if !granted {
		// Release the partial grants: two candidates with half of the acceptors each would
		// block one another.
		c.ReleaseLease()
		return backoff
	}
	stores := value.Stores
	if len(stores) == 0 {
		stores = c.firstStores()
	}
	changed, known := c.ChangeRegister(&messages.RegisterChangeRequest{Campaign: true, ExpectEpoch: value.Leadership.Epoch, Stores: stores,
		Holder: messages.Leadership{Holder: self.Name, Incarnation: self.Incarnation, Address: self.Address}})
	if !known || !changed.Applied {
		c.ReleaseLease()
		return backoff
	}
	c.beginTerm(changed.Value, sentAt)
	return constants.TickPeriod
}

// beginTerm starts the term after a successful campaign. sentAt is when the lease was requested.
func (c *Campaign) beginTerm(value messages.RegisterValue, sentAt clock.Instant) {
	next := c.newTerm(value.Leadership, value.Stores)
	c.lock.Lock()
	c.register = knownRegister{value: value, readAt: clock.Now()}
	c.lease.Renewed(sentAt)
	c.term = next
	c.lock.Unlock()
	var names []string
	for _, member := range value.Stores {
		names = append(names, member.Name)
	}
	c.node.Log.Info("leadership acquired", "epoch", next.Epoch(), "stores", strings.Join(names, ","))
	go next.TakeOver()
}

// renew starts a round of lease renewal, or ends the term if its lease has expired. Rounds
// overlap: while this machine's link is saturated, a response takes longer than the renewal
// period. A late response is still valid, and extends the lease from the time of its request.
func (c *Campaign) renew(current Term) clock.Duration {
	if !c.HoldsLease() {
		current.Close("lease expired")
		return constants.TickPeriod
	}
	go c.renewRound(current)
	return constants.LeaseRenewPeriod
}

// renewRound sends the acceptors one request to extend the lease of a term. It ends the term if an
// acceptor reports a later epoch.
func (c *Campaign) renewRound(current Term) {
	sentAt := clock.Now()
	req := messages.LeaseRequest{Candidate: c.node.Self.Name, Incarnation: c.node.Self.Incarnation, Epoch: current.Epoch()}
	granted, latest := c.requestLease(req, constants.LeaseDuration-constants.LeaseSafetyMargin)
	if latest > current.Epoch() {
		current.Close("an acceptor reported a later epoch")
		return
	}
	if !granted || current.Closed() {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.term == current {
		c.lease.Renewed(sentAt)
	}
}

// ReleaseLease releases the lease at the acceptors, so that another candidate need not wait
// until it expires.
func (c *Campaign) ReleaseLease() {
	c.lock.Lock()
	c.lease.Revoke()
	epoch := c.register.value.Leadership.Epoch
	c.lock.Unlock()
	c.requestLease(messages.LeaseRequest{Candidate: c.node.Self.Name, Incarnation: c.node.Self.Incarnation, Epoch: epoch, Release: true}, constants.LeaseRenewPeriod)
}

// requestLease sends a request to every acceptor. It reports whether a majority granted it,
// and returns the latest epoch in the responses. It returns as soon as a majority has granted the
// request, without waiting for the remaining acceptors; each call is limited to timeout.
func (c *Campaign) requestLease(req messages.LeaseRequest, timeout clock.Duration) (granted bool, latest uint64) {
	c.lock.Lock()
	acceptors := c.register.value.Acceptors
	c.sequence++
	req.Sequence = c.sequence
	c.lock.Unlock()
	type result struct {
		identity string
		resp     messages.LeaseResponse
		err      error
	}
	results := make(chan result, len(acceptors))
	for _, member := range acceptors {
		go func() {
			r := result{identity: register.Identity(member)}
			r.err = transport.Call(c.node.Transport, member.Address, messages.KindLease, &req, &r.resp, timeout)
			results <- r
		}()
	}
	responded := map[string]bool{}
	for range acceptors {
		r := <-results
		if r.err != nil {
			continue
		}
		latest = max(latest, r.resp.Epoch)
		responded[r.identity] = r.resp.Granted
		if register.Majority(acceptors, responded) {
			return true, latest
		}
	}
	return false, latest
}
