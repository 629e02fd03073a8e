package maquette

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// propose runs a change at the register until it is in force (then gets its value) or
// its time is over (then gets nil).
func (register *register) propose(node *Node, change vise.Change, end watch.Moment, then func(*pattern.Register)) {
	own := register.office(node)
	own.counter++
	var proposal *vise.Proposal
	var sends []vise.Send
	node.step(CoreRegister, func() {
		ballot := vise.NewBallot(own.counter, node.own.Name, firstDisk, node.own.Life)
		proposal, sends = vise.Begin(ballot, own.known, change)
	})
	settled := false
	look := func() {
		if settled || proposal.Stage() != vise.StageDone {
			return
		}
		settled = true
		value := proposal.Value()
		own.known = value
		then(&value)
	}
	var carry func(sends []vise.Send)
	carry = func(sends []vise.Send) {
		for _, send := range sends {
			register.carry(node, send, func(promise *pattern.Promise, accepted *pattern.Accepted) {
				var more []vise.Send
				node.step(CoreRegister, func() {
					if promise != nil {
						more = proposal.Promised(send.Member, *promise)
					} else {
						proposal.Taken(send.Member, *accepted)
					}
				})
				carry(more)
				look()
			})
		}
	}
	carry(sends)
	node.after(almanac.RoundTime, func() {
		if settled {
			return
		}
		settled = true
		own.counter = max(own.counter, proposal.Highest().Counter)
		if node.now() >= end {
			then(nil)
			return
		}
		pause := almanac.BackoffBase + watch.Span(node.random.Int63n(int64(almanac.BackoffSpread)))
		node.after(pause, func() { register.propose(node, change, end, then) })
	})
}

// carry takes one message of a proposal to its member.
func (register *register) carry(node *Node, send vise.Send, then func(*pattern.Promise, *pattern.Accepted)) {
	own := register.office(node)
	if send.Member.Address == node.own.Address {
		if send.Prepare != nil {
			var answer pattern.Promise
			node.step(CoreRegister, func() { answer, _ = own.acceptor.Prepare(send.Prepare) })
			then(&answer, nil)
			return
		}
		var answer pattern.Accepted
		node.step(CoreRegister, func() { answer, _ = own.acceptor.Accept(send.Accept) })
		then(nil, &answer)
		return
	}
	kind, message := pattern.KindAccept, tongs.Writable(send.Accept)
	if send.Prepare != nil {
		kind, message = pattern.KindPrepare, send.Prepare
	}
	promise, accepted := &pattern.Promise{}, &pattern.Accepted{}
	var answer tongs.Readable = accepted
	if send.Prepare != nil {
		answer, accepted = promise, nil
	} else {
		promise = nil
	}
	node.ask(CoreRegister, send.Member.Address, kind, message, answer, almanac.RoundTime, func(reached bool) {
		if reached {
			then(promise, accepted)
		}
	})
}
