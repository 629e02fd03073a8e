package linearize

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// attempt is one proposal on its way.
type attempt struct {
	*Fleet
	node     *controller
	life     int64
	proposal *register.Proposal
	over     bool
	// again makes the next attempt, and ended takes the outcome.
	again func()
	ended func(value *messages.RegisterValue)
}

// propose drives a change from a node. Ended is called once, with nil where the
// outcome is unclear, or never where the process dies.
func (f *Fleet) propose(node *controller, change register.Change, attempts int, ended func(value *messages.RegisterValue)) {
	if node.down || attempts == 0 || len(node.known.Acceptors) == 0 {
		ended(nil)
		return
	}
	node.counter++
	ballot := register.NewBallot(node.counter, node.name, node.acceptor.Disk(), node.life)
	proposal, sends := register.NewProposal(ballot, node.known, change)
	entry := &attempt{Fleet: f, node: node, life: node.life, proposal: proposal, ended: ended}
	entry.again = func() {
		if !entry.dead() {
			f.propose(node, change, attempts-1, ended)
		}
	}
	entry.send(sends)
	f.world.After(clock.Milliseconds(attemptMs), func() {
		if !entry.over {
			entry.over = true
			entry.again()
		}
	})
}

// dead tells whether the incarnation that made the attempt is over.
func (a *attempt) dead() bool { return a.node.down || a.node.life != a.life }

func (a *attempt) send(list []register.Send) {
	if len(list) > 0 && list[0].Accept != nil && a.crash {
		// The worst moment: the second round is decided on, and some get it.
		a.crash = false
		list = list[:a.world.Random.Intn(len(list))]
		a.world.After(0, func() { a.bounce(a.node, a.world.Random.Intn(2) == 0) })
	}
	for _, message := range list {
		target := a.nodes[message.Member.Address]
		a.world.Send(a.node.name, target.name, func() {
			if target.down {
				return
			}
			if message.Prepare != nil {
				resp, keep := target.acceptor.Prepare(message.Prepare)
				a.answer(target, keep, func() { a.hear(a.proposal.HandlePrepareResponse(message.Member, resp)) })
				return
			}
			resp, keep := target.acceptor.Accept(message.Accept)
			if keep {
				target.learn(message.Accept.Value)
			}
			a.answer(target, keep, func() {
				a.proposal.HandleAcceptResponse(message.Member, resp)
				a.hear(nil)
			})
		})
	}
}

// answer sends an answer once the record behind it is on disk.
func (a *attempt) answer(target *controller, keep bool, arrived func()) {
	if keep && !a.breaks.AnswerUnsynced {
		a.fail(target.write())
	}
	a.after(0, 15, func() {
		if target.down {
			return
		}
		a.world.Send(target.name, a.node.name, func() {
			if !a.over && !a.dead() {
				arrived()
			}
		})
	})
}

// hear sends what an answer led to, and looks where the proposal stands.
func (a *attempt) hear(list []register.Send) {
	a.send(list)
	node, proposal := a.node, a.proposal
	switch proposal.Stage() {
	case register.StageDone:
		a.over = true
		value := proposal.Value()
		node.learn(value)
		if proposal.FinishedOther() {
			a.again()
			return
		}
		a.ended(&value)
	case register.StageLost:
		a.over = true
		node.counter = max(node.counter, proposal.Highest().Counter)
		if newer := proposal.Newer(); newer != nil {
			node.learn(*newer)
		}
		a.after(5, 120, a.again)
	}
}

// read is the quick look, and a whole proposal where that does not settle it.
func (f *Fleet) read(node *controller, ended func(value *messages.RegisterValue)) {
	if node.down || len(node.known.Acceptors) == 0 {
		ended(nil)
		return
	}
	reading, sends := register.NewQuorumRead(node.known)
	incarnation, over := node.life, false
	settle := func(value *messages.RegisterValue) {
		if over || node.down || node.life != incarnation {
			return
		}
		over = true
		if value != nil {
			ended(value)
			return
		}
		f.propose(node, register.ReadOnly, attempts, ended)
	}
	for _, message := range sends {
		target := f.nodes[message.Member.Address]
		f.world.Send(node.name, target.name, func() {
			if target.down {
				return
			}
			resp, _ := target.acceptor.Prepare(message.Prepare)
			f.world.Send(target.name, node.name, func() {
				value, completed := reading.HandlePrepareResponse(message.Member, resp)
				if f.breaks.ReadOne {
					value, completed = &resp.Value, true
				}
				if completed {
					settle(value)
				}
			})
		})
	}
	f.world.After(clock.Milliseconds(attemptMs), func() { settle(nil) })
}
