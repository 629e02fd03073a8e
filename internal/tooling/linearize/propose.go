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
	ended func(value *messages.Register)
}

// propose drives a change from a node. Ended is called once, with nil where the
// outcome is unclear, or never where the process dies.
func (fleet *Fleet) propose(node *controller, change register.Change, tries int, ended func(value *messages.Register)) {
	if node.down || tries == 0 || len(node.known.Acceptors) == 0 {
		ended(nil)
		return
	}
	node.counter++
	ballot := register.NewBallot(node.counter, node.name, node.acceptor.Disk(), node.life)
	proposal, sends := register.Begin(ballot, node.known, change)
	one := &attempt{Fleet: fleet, node: node, life: node.life, proposal: proposal, ended: ended}
	one.again = func() {
		if !one.dead() {
			fleet.propose(node, change, tries-1, ended)
		}
	}
	one.send(sends)
	fleet.world.After(clock.Milliseconds(attemptMs), func() {
		if !one.over {
			one.over = true
			one.again()
		}
	})
}

// dead tells whether the life that made the attempt is over.
func (one *attempt) dead() bool { return one.node.down || one.node.life != one.life }

func (one *attempt) send(list []register.Send) {
	if len(list) > 0 && list[0].Accept != nil && one.crash {
		// The worst moment: the second round is decided on, and some get it.
		one.crash = false
		list = list[:one.world.Random.Intn(len(list))]
		one.world.After(0, func() { one.bounce(one.node, one.world.Random.Intn(2) == 0) })
	}
	for _, message := range list {
		target := one.nodes[message.Member.Address]
		one.world.Send(one.node.name, target.name, func() {
			if target.down {
				return
			}
			if message.Prepare != nil {
				answer, keep := target.acceptor.Prepare(message.Prepare)
				one.answer(target, keep, func() { one.hear(one.proposal.Promised(message.Member, answer)) })
				return
			}
			answer, keep := target.acceptor.Accept(message.Accept)
			if keep {
				target.learn(message.Accept.Value)
			}
			one.answer(target, keep, func() {
				one.proposal.Taken(message.Member, answer)
				one.hear(nil)
			})
		})
	}
}

// answer sends an answer once the record behind it is on disk.
func (one *attempt) answer(target *controller, keep bool, arrived func()) {
	if keep && !one.breaks.AnswerUnsynced {
		one.fail(target.write())
	}
	one.after(0, 15, func() {
		if target.down {
			return
		}
		one.world.Send(target.name, one.node.name, func() {
			if !one.over && !one.dead() {
				arrived()
			}
		})
	})
}

// hear sends what an answer led to, and looks where the proposal stands.
func (one *attempt) hear(list []register.Send) {
	one.send(list)
	node, proposal := one.node, one.proposal
	switch proposal.Stage() {
	case register.StageDone:
		one.over = true
		value := proposal.Value()
		node.learn(value)
		if proposal.Unfinished() {
			one.again()
			return
		}
		one.ended(&value)
	case register.StageLost:
		one.over = true
		node.counter = max(node.counter, proposal.Highest().Counter)
		if newer := proposal.Newer(); newer != nil {
			node.learn(*newer)
		}
		one.after(5, 120, one.again)
	}
}

// read is the quick look, and a whole proposal where that does not settle it.
func (fleet *Fleet) read(node *controller, ended func(value *messages.Register)) {
	if node.down || len(node.known.Acceptors) == 0 {
		ended(nil)
		return
	}
	reading, sends := register.BeginReading(node.known)
	life, over := node.life, false
	settle := func(value *messages.Register) {
		if over || node.down || node.life != life {
			return
		}
		over = true
		if value != nil {
			ended(value)
			return
		}
		fleet.propose(node, register.Look, attempts, ended)
	}
	for _, message := range sends {
		target := fleet.nodes[message.Member.Address]
		fleet.world.Send(node.name, target.name, func() {
			if target.down {
				return
			}
			answer, _ := target.acceptor.Prepare(message.Prepare)
			fleet.world.Send(target.name, node.name, func() {
				value, settled := reading.Heard(message.Member, answer)
				if fleet.breaks.ReadOne {
					value, settled = &answer.Value, true
				}
				if settled {
					settle(value)
				}
			})
		})
	}
	fleet.world.After(clock.Milliseconds(attemptMs), func() { settle(nil) })
}
