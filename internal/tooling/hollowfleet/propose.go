package hollowfleet

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// propose runs a change at the register until it is in force (then gets its value) or
// its time is over (then gets nil).
func (c *configuration) propose(node *Node, change register.Change, end clock.Instant, then func(*messages.RegisterValue)) {
	own := c.stateOf(node)
	own.counter++
	var proposal *register.Proposal
	var sends []register.Send
	node.step(CoreRegister, func() {
		ballot := register.NewBallot(own.counter, node.own.Name, firstDisk, node.own.Incarnation)
		proposal, sends = register.NewProposal(ballot, own.known, change)
	})
	completed := false
	check := func() {
		if completed || proposal.Stage() != register.StageDone {
			return
		}
		completed = true
		value := proposal.Value()
		own.known = value
		then(&value)
	}
	var carry func(sends []register.Send)
	carry = func(sends []register.Send) {
		for _, send := range sends {
			c.carry(node, send, func(promise *messages.PrepareResponse, accepted *messages.AcceptResponse) {
				var more []register.Send
				node.step(CoreRegister, func() {
					if promise != nil {
						more = proposal.HandlePrepareResponse(send.Member, *promise)
					} else {
						proposal.HandleAcceptResponse(send.Member, *accepted)
					}
				})
				carry(more)
				check()
			})
		}
	}
	carry(sends)
	node.after(constants.RoundTimeout, func() {
		if completed {
			return
		}
		completed = true
		own.counter = max(own.counter, proposal.Highest().Counter)
		if node.now() >= end {
			then(nil)
			return
		}
		backoff := constants.BackoffBase + clock.Duration(node.random.Int63n(int64(constants.BackoffSpread)))
		node.after(backoff, func() { c.propose(node, change, end, then) })
	})
}

// carry takes one message of a proposal to its member.
func (c *configuration) carry(node *Node, send register.Send, then func(*messages.PrepareResponse, *messages.AcceptResponse)) {
	own := c.stateOf(node)
	if send.Member.Address == node.own.Address {
		if send.Prepare != nil {
			var resp messages.PrepareResponse
			node.step(CoreRegister, func() { resp, _ = own.acceptor.Prepare(send.Prepare) })
			then(&resp, nil)
			return
		}
		var resp messages.AcceptResponse
		node.step(CoreRegister, func() { resp, _ = own.acceptor.Accept(send.Accept) })
		then(nil, &resp)
		return
	}
	kind, message := messages.KindAccept, transport.Marshaler(send.Accept)
	if send.Prepare != nil {
		kind, message = messages.KindPrepare, send.Prepare
	}
	promise, accepted := &messages.PrepareResponse{}, &messages.AcceptResponse{}
	var resp transport.Unmarshaler = accepted
	if send.Prepare != nil {
		resp, accepted = promise, nil
	} else {
		promise = nil
	}
	node.ask(CoreRegister, send.Member.Address, kind, message, resp, constants.RoundTimeout, func(reached bool) {
		if reached {
			then(promise, accepted)
		}
	})
}
