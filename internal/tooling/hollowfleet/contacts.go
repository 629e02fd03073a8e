package hollowfleet

import (
	"lemonarch/internal/control/contact"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// contacts drives the contact leases of controllers: each asks all acceptors once a
// period. What an acceptor is ahead in is pulled from another controller; the product
// reads it from the register.
type contacts struct{ fleet *Fleet }

// contactState is what a controller keeps of its lease.
type contactState struct {
	lease *contact.Lease
	// catching is set while a newer value is being looked for.
	catching bool
}

// Name names it.
func (*contacts) Name() string { return "contact" }

// stateOf gives a controller's lease, or nil for any other process.
func (c *contacts) stateOf(node *Node) *contactState {
	own, _ := node.state[contactsPlace].(*contactState)
	return own
}

// Begin starts the rounds of a controller.
func (c *contacts) Begin(node *Node) any {
	if node.places() {
		return nil
	}
	node.answerers[messages.KindContact] = reads(node, CoreContact, func(*messages.ContactRequest) transport.Marshaler {
		return c.accepted(node)
	})
	node.every(constants.ContactPeriod, func() { c.round(node) })
	return &contactState{lease: contact.New()}
}

// Drop lets go of the lease.
func (c *contacts) Drop(node *Node) { node.state[contactsPlace] = nil }

// accepted is what this controller's acceptor tells of itself.
func (c *contacts) accepted(node *Node) *messages.ContactResponse {
	record := c.fleet.configuration.stateOf(node).acceptor.Record()
	return &messages.ContactResponse{Disk: record.Disk, SetEpoch: record.Value.SetEpoch, Generation: record.Value.Current.Generation}
}

// sets gives the acceptor sets that a controller knows.
func (c *contacts) sets(node *Node) messages.RegisterValue {
	known := c.fleet.configuration.stateOf(node).known
	known.Body, known.History = nil, nil
	return known
}

// attached tells whether a controller's lease is valid.
func (c *contacts) attached(node *Node) (valid bool) {
	own, sets := c.stateOf(node), c.sets(node)
	node.step(CoreContact, func() { valid = own.lease.Valid(&sets, node.now()) })
	return valid
}

// round asks all acceptors, this process's own among them.
func (c *contacts) round(node *Node) {
	own, sets, requested := c.stateOf(node), c.sets(node), node.now()
	node.step(CoreContact, func() { own.lease.Trim(&sets) })
	for _, member := range register.Targets(&sets) {
		if member.Address == node.own.Address {
			c.answered(node, member, requested, c.accepted(node))
			continue
		}
		received := &messages.ContactResponse{}
		node.ask(CoreContact, member.Address, messages.KindContact, &messages.ContactRequest{From: node.own.Address}, received, constants.ContactTimeout, func(reached bool) {
			if reached {
				c.answered(node, member, requested, received)
			}
		})
	}
}

// answered takes one answer; the lease is not renewed by an acceptor that is ahead.
func (c *contacts) answered(node *Node, member messages.Member, requested clock.Instant, received *messages.ContactResponse) {
	own := c.stateOf(node)
	member.Disk = received.Disk
	accepted := contact.Versions{SetEpoch: received.SetEpoch, Generation: received.Generation}
	followed := contact.Versions{SetEpoch: c.sets(node).SetEpoch, Generation: node.generation}
	ahead := false
	node.step(CoreContact, func() { ahead = own.lease.Observe(member, requested, accepted, followed) })
	if !ahead || own.catching {
		return
	}
	own.catching = true
	node.after(constants.PushTimeout/2, func() {
		own.catching = false
		c.fleet.configuration.saw(node, accepted.Generation)
	})
}
