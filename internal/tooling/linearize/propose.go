package linearize

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// attempt is one proposal in progress.
type attempt struct {
	*Fleet
	node        *controller
	incarnation int64
	proposal    *register.Proposal
	finished    bool
	// retry starts the next attempt, and done receives the outcome.
	retry func()
	done  func(value *messages.RegisterValue)
}

// propose runs a proposal for a change on a node. It calls done once, with nil if the outcome
// is unclear, or never if the process crashes.
func (f *Fleet) propose(node *controller, change register.Change, attempts int, done func(value *messages.RegisterValue)) {
	if node.down || attempts == 0 || len(node.known.Acceptors) == 0 {
		done(nil)
		return
	}
	node.counter++
	ballot := register.NewBallot(node.counter, node.name, node.acceptor.Disk(), node.incarnation)
	proposal, sends := register.NewProposal(ballot, node.known, change)
	current := &attempt{Fleet: f, node: node, incarnation: node.incarnation, proposal: proposal, done: done}
	current.retry = func() {
		if !current.stale() {
			f.propose(node, change, attempts-1, done)
		}
	}
	current.send(sends)
	f.world.After(clock.Milliseconds(attemptMs), func() {
		if !current.finished {
			current.finished = true
			current.retry()
		}
	})
}

// stale reports whether the incarnation that started the attempt has ended.
func (a *attempt) stale() bool { return a.node.down || a.node.incarnation != a.incarnation }

func (a *attempt) send(list []register.Send) {
	if len(list) > 0 && list[0].Accept != nil && a.crashNextProposer {
		// Crash at the worst moment: the accept phase has begun and only some acceptors receive
		// the request.
		a.crashNextProposer = false
		list = list[:a.world.Random.Intn(len(list))]
		a.world.After(0, func() { a.restart(a.node, a.world.Random.Intn(2) == 0) })
	}
	for _, message := range list {
		target := a.nodes[message.Member.Address]
		a.world.Send(a.node.name, target.name, func() {
			if target.down {
				return
			}
			if message.Prepare != nil {
				resp, mustWrite := target.acceptor.Prepare(message.Prepare)
				a.respond(target, mustWrite, func() { a.advance(a.proposal.HandlePrepareResponse(message.Member, resp)) })
				return
			}
			resp, mustWrite := target.acceptor.Accept(message.Accept)
			if mustWrite {
				target.learn(message.Accept.Value)
			}
			a.respond(target, mustWrite, func() {
				a.proposal.HandleAcceptResponse(message.Member, resp)
				a.advance(nil)
			})
		})
	}
}

// respond sends a response once the record that it depends on is on disk.
func (a *attempt) respond(target *controller, mustWrite bool, deliver func()) {
	if mustWrite && !a.defects.RespondUnsynced {
		a.recordError(target.write())
	}
	a.afterRandom(0, 15, func() {
		if target.down {
			return
		}
		a.world.Send(target.name, a.node.name, func() {
			if !a.finished && !a.stale() {
				deliver()
			}
		})
	})
}

// advance sends the messages that a response led to and handles the proposal's new stage.
func (a *attempt) advance(list []register.Send) {
	a.send(list)
	node, proposal := a.node, a.proposal
	switch proposal.Stage() {
	case register.StageDone:
		a.finished = true
		value := proposal.Value()
		node.learn(value)
		if proposal.FinishedOther() {
			a.retry()
			return
		}
		a.done(&value)
	case register.StageLost:
		a.finished = true
		node.counter = max(node.counter, proposal.Highest().Counter)
		if newer := proposal.Newer(); newer != nil {
			node.learn(*newer)
		}
		a.afterRandom(5, 120, a.retry)
	}
}

// read tries a quorum read and falls back to a full proposal if that does not determine the
// value. It calls done as propose does.
func (f *Fleet) read(node *controller, done func(value *messages.RegisterValue)) {
	if node.down || len(node.known.Acceptors) == 0 {
		done(nil)
		return
	}
	reading, sends := register.NewQuorumRead(node.known)
	incarnation, finished := node.incarnation, false
	settle := func(value *messages.RegisterValue) {
		if finished || node.down || node.incarnation != incarnation {
			return
		}
		finished = true
		if value != nil {
			done(value)
			return
		}
		f.propose(node, register.ReadOnly, attempts, done)
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
				if f.defects.ReadFromOne {
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
