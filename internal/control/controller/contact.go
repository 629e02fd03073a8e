package controller

import (
	"sync"

	"lemonarch/internal/control/contact"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// ErrNoContact is the error of a controller that is not in contact with a majority of the
// acceptors: it can neither confirm nor refuse anything.
var ErrNoContact = errs.Define("no contact with a majority")

// contactState is the contact lease with the sets that it was last checked against. It
// has a lock of its own: a disk that hangs must not hang the answers.
type contactState struct {
	lock        sync.Mutex
	lease       *contact.Lease
	sets        messages.RegisterValue
	requestedAt clock.Instant
	// catchingUp is set while a newer value is being looked for.
	catchingUp bool
}

// registerContact registers the answer to other controllers' rounds.
func (c *Controller) registerContact() {
	c.Node.Handle(messages.KindContact, handle(func(_ *messages.ContactRequest) (transport.Marshaler, error) {
		record := c.Register.Record()
		return &messages.ContactResponse{Disk: record.Disk, SetEpoch: record.Value.SetEpoch, Generation: record.Value.Current.Generation}, nil
	}))
}

// hasContact tells whether the contact lease is valid. It never waits.
func (c *Controller) hasContact() bool {
	state := &c.contact
	state.lock.Lock()
	defer state.lock.Unlock()
	return state.lease.Valid(&state.sets, clock.Now())
}

// awaitContact is attached for those who may wait a little: after a start or a freeze one
// round decides whether the process is cut off at all.
func (c *Controller) awaitContact() bool {
	if c.hasContact() {
		return true
	}
	state := &c.contact
	state.lock.Lock()
	overdue := state.requestedAt == 0 || clock.Now().Sub(state.requestedAt) > constants.ContactPeriod+constants.ContactTimeout
	state.lock.Unlock()
	if overdue {
		c.contactRound()
	}
	state.lock.Lock()
	end := state.requestedAt.Add(constants.ContactTimeout / 2)
	state.lock.Unlock()
	for !c.hasContact() {
		if clock.Now() > end {
			return false
		}
		clock.Sleep(constants.TickPeriod / 10)
	}
	return true
}

// followed is what this process follows of the register.
func (c *Controller) followed() contact.Versions {
	return contact.Versions{SetEpoch: c.Register.Known().SetEpoch, Generation: c.Node.Generation()}
}

// contactRound asks all acceptors, this process's own among them.
func (c *Controller) contactRound() {
	known := c.Register.Known()
	known.Body, known.History = nil, nil
	now, state := clock.Now(), &c.contact
	state.lock.Lock()
	state.requestedAt, state.sets = now, known
	state.lease.Trim(&known)
	state.lock.Unlock()
	for _, member := range register.Targets(&known) {
		if member.Address == c.Node.Self.Address {
			record := c.Register.Record()
			c.handleContactResponse(member, now, &messages.ContactResponse{Disk: record.Disk, SetEpoch: record.Value.SetEpoch, Generation: record.Value.Current.Generation})
			continue
		}
		go func() {
			resp := &messages.ContactResponse{}
			if transport.Call(c.Node.Transport, member.Address, messages.KindContact, &messages.ContactRequest{From: c.Node.Self.Address}, resp, constants.ContactTimeout) == nil {
				c.handleContactResponse(member, now, resp)
			}
		}()
	}
}

// handleContactResponse takes one answer. Where the acceptor is ahead, the newer value is
// looked for; until it is followed, that acceptor does not renew the lease.
func (c *Controller) handleContactResponse(member messages.Member, sentAt clock.Instant, resp *messages.ContactResponse) {
	// The answer counts for the disk that gave it: an emptied machine is another acceptor.
	member.Disk = resp.Disk
	accepted, followed, state := contact.Versions{SetEpoch: resp.SetEpoch, Generation: resp.Generation}, c.followed(), &c.contact
	state.lock.Lock()
	ahead := state.lease.Observe(member, sentAt, accepted, followed)
	look := ahead && !state.catchingUp
	state.catchingUp = state.catchingUp || look
	state.lock.Unlock()
	if look {
		go c.catchUp(accepted)
	}
}

// catchUp looks for a value that an acceptor has accepted and this process does not
// follow. Its proposer is given the time to spread it first.
func (c *Controller) catchUp(accepted contact.Versions) {
	clock.Sleep(constants.PushTimeout / 2)
	if accepted.SetEpoch > c.followed().SetEpoch {
		if _, err := c.Register.ReadSets(); err != nil {
			c.syncSets()
		}
	}
	if accepted.Generation > c.followed().Generation {
		if value, err := c.shared.Read(c.Register.Read); err == nil {
			c.applyChosen(value, false)
		}
	}
	c.contact.lock.Lock()
	c.contact.catchingUp = false
	c.contact.lock.Unlock()
	c.contactRound()
}

// whileInContact runs work that may end in an unclear result, and gives it up once the
// contact lease has run out: the work goes on, and its caller asks elsewhere.
func whileInContact[Result any](controller *Controller, work func() Result) (Result, bool) {
	results := make(chan Result, 1)
	go func() { results <- work() }()
	for {
		select {
		case result := <-results:
			return result, true
		case <-clock.After(constants.TickPeriod):
			if !controller.hasContact() {
				var none Result
				return none, false
			}
		}
	}
}

// noClearAnswer is what a caller is told that this process can't answer clearly. It comes
// without Retry-After: the caller is to ask another controller, not this one again.
const noClearAnswer = "no clear answer here: ask another controller"
