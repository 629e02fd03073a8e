package register_test

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// attemptTime is how long, in ms, a simulated proposer waits for its two rounds.
const attemptTime = 400

// simulatedAttempt is one proposal in progress, as a process drives it.
type simulatedAttempt struct {
	*fleet
	from        string
	node        *controller
	incarnation int64
	known       messages.RegisterValue
	change      register.Change
	proposal    *register.Proposal
	finished    bool
	startedAt   clock.Instant
}

// change runs a change from a node. callback is called once with the outcome, or never if the
// process dies.
func (f *fleet) change(from string, change register.Change, attempts int, callback func(value messages.RegisterValue, done bool)) {
	if node := f.controllers[from]; node != nil {
		f.propose(from, node.known, change, attempts, 0, callback)
		return
	}
	callback(messages.RegisterValue{}, false)
}

func (f *fleet) propose(from string, known messages.RegisterValue, change register.Change, attempts, failures int, callback func(value messages.RegisterValue, done bool)) {
	node := f.controllers[from]
	if node == nil || node.down || attempts == 0 {
		callback(messages.RegisterValue{}, false)
		return
	}
	node.counter++
	f.attempts++
	ballot := register.NewBallot(node.counter, from, node.member.Disk, node.incarnation)
	proposal, sends := register.NewProposal(ballot, known, change)
	attempt := &simulatedAttempt{fleet: f, from: from, node: node, incarnation: node.incarnation, known: known, change: change, proposal: proposal, startedAt: f.world.Now}
	retry := func() { f.propose(from, known, change, attempts-1, failures+1, callback) }
	attempt.send(sends, func() { attempt.finish(attempts, failures, callback) })
	f.world.After(clock.Milliseconds(attemptTime), func() {
		if !attempt.finished && !attempt.crashed() {
			attempt.finished = true
			retry()
		}
	})
}

// crashed reports whether the incarnation that made the attempt has ended.
func (a *simulatedAttempt) crashed() bool { return a.node.down || a.incarnation != a.node.incarnation }

// finish handles the stage that the proposal has reached.
func (a *simulatedAttempt) finish(attempts, failures int, callback func(value messages.RegisterValue, done bool)) {
	if a.finished || a.crashed() {
		return
	}
	node, proposal := a.node, a.proposal
	switch proposal.Stage() {
	case register.StageDone:
		a.finished = true
		node.observeChosen(proposal.Value())
		if a.onChosen != nil {
			a.onChosen(proposal.Value())
		}
		if proposal.FinishedOther() {
			a.propose(a.from, proposal.Value(), a.change, attempts-1, failures, callback)
			return
		}
		callback(proposal.Value(), true)
	case register.StageLost:
		a.finished = true
		node.counter = max(node.counter, proposal.Highest().Counter)
		known := a.known
		if newer := proposal.Newer(); newer != nil {
			known = *newer
		}
		a.world.After(register.Backoff(failures+1, a.world.Now.Sub(a.startedAt), a.world.Random.Float64()), func() {
			if a.crashed() {
				return
			}
			a.quickRead(a.from, a.change, func(value messages.RegisterValue, decided bool) {
				if decided {
					callback(value, true)
					return
				}
				a.propose(a.from, known, a.change, attempts-1, failures+1, callback)
			})
		})
	}
}

// send delivers messages to their members and the responses back.
func (a *simulatedAttempt) send(list []register.Send, finish func()) {
	fleet := a.fleet
	if len(list) > 0 && list[0].Accept != nil && fleet.world.Random.Float64() < fleet.crashProbability {
		// The proposer crashes at the worst moment: after it decided on the second round, so that only
		// some members receive it.
		list = list[:fleet.world.Random.Intn(len(list))]
		fleet.world.After(0, func() { fleet.restartLater(a.from) })
	}
	for _, message := range list {
		target := fleet.controllers[message.Member.Address]
		fleet.world.Send(a.from, message.Member.Address, func() {
			if target == nil || target.down || target.syncing.Sub(fleet.world.Now) > constants.VoteWaitMax {
				return
			}
			if message.Prepare != nil {
				resp, _ := target.acceptor.Prepare(message.Prepare)
				fleet.respondAfterSync(target, a.from, func() { a.handlePromise(message.Member, resp, finish) })
				return
			}
			fleet.extendArchive(target, &message.Accept.Value)
			resp, _ := target.acceptor.Accept(message.Accept)
			fleet.respondAfterSync(target, a.from, func() {
				if !a.finished && !a.crashed() {
					a.proposal.HandleAcceptResponse(message.Member, resp)
					finish()
				}
			})
		})
	}
}

func (a *simulatedAttempt) handlePromise(member messages.Member, resp messages.PrepareResponse, finish func()) {
	if !a.finished && !a.crashed() {
		a.send(a.proposal.HandlePrepareResponse(member, resp), finish)
		finish()
	}
}

// quickRead passes the value in force to callback, or an empty value if the read is not decisive.
// decided is set if the change would leave the value in force as it is.
func (f *fleet) quickRead(from string, change register.Change, callback func(value messages.RegisterValue, decided bool)) {
	node, finished := f.controllers[from], false
	incarnation := node.incarnation
	reading, sends := register.NewQuorumRead(node.known)
	end := func(value *messages.RegisterValue) {
		if finished || node.down || incarnation != node.incarnation {
			return
		}
		finished = true
		if value == nil {
			callback(messages.RegisterValue{}, false)
			return
		}
		node.observeChosen(*value)
		if f.onChosen != nil {
			f.onChosen(*value)
		}
		_, verdict := change(*value)
		callback(*value, verdict == register.VerdictUnchanged)
	}
	for _, message := range sends {
		target := f.controllers[message.Member.Address]
		f.world.Send(from, message.Member.Address, func() {
			if target == nil || target.down {
				return
			}
			resp, _ := register.NewAcceptor(target.disk).Prepare(message.Prepare)
			f.world.Send(message.Member.Address, from, func() {
				if value, decided := reading.HandlePrepareResponse(message.Member, resp); decided {
					end(value)
				}
			})
		})
	}
	f.world.After(clock.Milliseconds(attemptTime), func() { end(nil) })
}

// observeChosen handles a value that a majority was seen to accept.
func (c *controller) observeChosen(value messages.RegisterValue) {
	if !c.chosen || value.SetEpoch >= c.known.SetEpoch {
		c.known, c.chosen = value, true
	}
}

// respondAfterSync sends a response once the disk has synced the state behind it, in order. What is
// not synced when the process ends is lost.
func (f *fleet) respondAfterSync(node *controller, to string, function func()) {
	record, file, incarnation := node.acceptor.Record(), node.archive.Chunks(), node.incarnation
	done := func() {
		if node.incarnation != incarnation {
			return
		}
		node.disk, node.file = record, file
		f.world.Send(node.member.Address, to, function)
	}
	if f.maxSyncMs == 0 {
		done()
		return
	}
	node.syncing = max(node.syncing, f.world.Now).Add(clock.Milliseconds(f.maxSyncMs * f.world.Random.Float64()))
	f.world.After(node.syncing.Sub(f.world.Now), done)
}

// extendArchive extends the archive for a value that is about to be accepted, and pulls missing
// chunks from another acceptor.
func (f *fleet) extendArchive(node *controller, value *messages.RegisterValue) {
	if _, complete := node.archive.Extend(value, 1); complete {
		return
	}
	names := simulation.SortedKeys(f.controllers)
	other := f.controllers[names[f.world.Random.Intn(len(names))]]
	if other.down {
		return
	}
	for _, lastChunk := range []uint64{node.archive.LastChunk(), 0} {
		resp := other.archive.Lookup(&messages.ArchiveRequest{Head: value.Archive, Pull: true, LastChunk: lastChunk})
		node.archive.Fill(value.Archive, resp.Chunks)
	}
	node.archive.Extend(value, 1)
}

// restartLater stops a process and starts it again from its disk.
func (f *fleet) restartLater(name string) {
	node := f.controllers[name]
	if node == nil || node.down {
		return
	}
	node.down = true
	node.incarnation++
	f.world.After(clock.Milliseconds(200*f.world.Random.Float64()), func() {
		if node.down {
			f.restart(name)
		}
	})
}
