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
	settled := false
	look := func() {
		if settled || proposal.Stage() != register.StageDone {
			return
		}
		settled = true
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
				look()
			})
		}
	}
	carry(sends)
	node.after(constants.RoundTimeout, func() {
		if settled {
			return
		}
		settled = true
		own.counter = max(own.counter, proposal.Highest().Counter)
		if node.now() >= end {
			then(nil)
			return
		}
		pause := constants.BackoffBase + clock.Duration(node.random.Int63n(int64(constants.BackoffSpread)))
		node.after(pause, func() { c.propose(node, change, end, then) })
	})
}

// carry takes one message of a proposal to its member.
func (c *configuration) carry(node *Node, send register.Send, then func(*messages.PrepareResponse, *messages.AcceptResponse)) {
	own := c.stateOf(node)
	if send.Member.Address == node.own.Address {
		if send.Prepare != nil {
			var answer messages.PrepareResponse
			node.step(CoreRegister, func() { answer, _ = own.acceptor.Prepare(send.Prepare) })
			then(&answer, nil)
			return
		}
		var answer messages.AcceptResponse
		node.step(CoreRegister, func() { answer, _ = own.acceptor.Accept(send.Accept) })
		then(nil, &answer)
		return
	}
	kind, message := messages.KindAccept, transport.Marshaler(send.Accept)
	if send.Prepare != nil {
		kind, message = messages.KindPrepare, send.Prepare
	}
	promise, accepted := &messages.PrepareResponse{}, &messages.AcceptResponse{}
	var answer transport.Unmarshaler = accepted
	if send.Prepare != nil {
		answer, accepted = promise, nil
	} else {
		promise = nil
	}
	node.ask(CoreRegister, send.Member.Address, kind, message, answer, constants.RoundTimeout, func(reached bool) {
		if reached {
			then(promise, accepted)
		}
	})
}
