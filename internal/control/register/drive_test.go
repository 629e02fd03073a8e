package register_test

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// attemptTime is how long a simulated proposer waits for its two rounds.
const attemptTime = 400

// try is one proposal on its way, as a process drives it.
type try struct {
	*fleet
	from     string
	node     *controller
	life     int64
	known    messages.RegisterValue
	change   register.Change
	proposal *register.Proposal
	over     bool
	begun    clock.Instant
}

// change drives one change from a node; ended is called once with the outcome, or
// never where the process dies.
func (f *fleet) change(from string, change register.Change, attempts int, ended func(value messages.RegisterValue, done bool)) {
	if node := f.controllers[from]; node != nil {
		f.propose(from, node.known, change, attempts, 0, ended)
		return
	}
	ended(messages.RegisterValue{}, false)
}

func (f *fleet) propose(from string, known messages.RegisterValue, change register.Change, attempts, lost int, ended func(value messages.RegisterValue, done bool)) {
	node := f.controllers[from]
	if node == nil || node.down || attempts == 0 {
		ended(messages.RegisterValue{}, false)
		return
	}
	node.counter++
	f.attempts++
	ballot := register.NewBallot(node.counter, from, node.member.Disk, node.life)
	proposal, sends := register.NewProposal(ballot, known, change)
	attempt := &try{fleet: f, from: from, node: node, life: node.life, known: known, change: change, proposal: proposal, begun: f.world.Now}
	again := func() { f.propose(from, known, change, attempts-1, lost+1, ended) }
	attempt.send(sends, func() { attempt.finish(attempts, lost, ended) })
	f.world.After(clock.Milliseconds(attemptTime), func() {
		if !attempt.over && !attempt.dead() {
			attempt.over = true
			again()
		}
	})
}

// dead tells whether the incarnation that made the attempt is over.
func (t *try) dead() bool { return t.node.down || t.life != t.node.life }

// finish looks where the proposal stands.
func (t *try) finish(attempts, lost int, ended func(value messages.RegisterValue, done bool)) {
	if t.over || t.dead() {
		return
	}
	node, proposal := t.node, t.proposal
	switch proposal.Stage() {
	case register.StageDone:
		t.over = true
		node.observeChosen(proposal.Value())
		if t.chosen != nil {
			t.chosen(proposal.Value())
		}
		if proposal.FinishedOther() {
			t.propose(t.from, proposal.Value(), t.change, attempts-1, lost, ended)
			return
		}
		ended(proposal.Value(), true)
	case register.StageLost:
		t.over = true
		node.counter = max(node.counter, proposal.Highest().Counter)
		known := t.known
		if newer := proposal.Newer(); newer != nil {
			known = *newer
		}
		t.world.After(register.Backoff(lost+1, t.world.Now.Sub(t.begun), t.world.Random.Float64()), func() {
			if t.dead() {
				return
			}
			t.look(t.from, t.change, func(value messages.RegisterValue, decided bool) {
				if decided {
					ended(value, true)
					return
				}
				t.propose(t.from, known, t.change, attempts-1, lost+1, ended)
			})
		})
	}
}

// send takes messages to their members and the answers back.
func (t *try) send(list []register.Send, finish func()) {
	fleet := t.fleet
	if len(list) > 0 && list[0].Accept != nil && fleet.world.Random.Float64() < fleet.crash {
		// The worst moment: the second round is decided on, and some get it.
		list = list[:fleet.world.Random.Intn(len(list))]
		fleet.world.After(0, func() { fleet.bounce(t.from) })
	}
	for _, message := range list {
		target := fleet.controllers[message.Member.Address]
		fleet.world.Send(t.from, message.Member.Address, func() {
			if target == nil || target.down || target.syncing.Sub(fleet.world.Now) > constants.VoteWaitMax {
				return
			}
			if message.Prepare != nil {
				resp, _ := target.live.Prepare(message.Prepare)
				fleet.answer(target, t.from, func() { t.promised(message.Member, resp, finish) })
				return
			}
			fleet.follow(target, &message.Accept.Value)
			resp, _ := target.live.Accept(message.Accept)
			fleet.answer(target, t.from, func() {
				if !t.over && !t.dead() {
					t.proposal.HandleAcceptResponse(message.Member, resp)
					finish()
				}
			})
		})
	}
}

func (t *try) promised(member messages.Member, resp messages.PrepareResponse, finish func()) {
	if !t.over && !t.dead() {
		t.send(t.proposal.HandlePrepareResponse(member, resp), finish)
		finish()
	}
}

// look asks whether the change would leave the value in force as it is.
func (f *fleet) look(from string, change register.Change, ended func(value messages.RegisterValue, decided bool)) {
	node, over := f.controllers[from], false
	incarnation := node.life
	reading, sends := register.NewQuorumRead(node.known)
	end := func(value *messages.RegisterValue) {
		if over || node.down || incarnation != node.life {
			return
		}
		over = true
		if value == nil {
			ended(messages.RegisterValue{}, false)
			return
		}
		node.observeChosen(*value)
		if f.chosen != nil {
			f.chosen(*value)
		}
		_, verdict := change(*value)
		ended(*value, verdict == register.VerdictUnchanged)
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

// observeChosen takes a value that a majority was seen to hold.
func (c *controller) observeChosen(value messages.RegisterValue) {
	if !c.chosen || value.SetEpoch >= c.known.SetEpoch {
		c.known, c.chosen = value, true
	}
}

// answer sends an answer once the disk behind it has synced, in order. What was not
// synced when the process ends is lost.
func (f *fleet) answer(node *controller, to string, function func()) {
	record, file, incarnation := node.live.Record(), node.archive.Chunks(), node.life
	done := func() {
		if node.life != incarnation {
			return
		}
		node.disk, node.file = record, file
		f.world.Send(node.member.Address, to, function)
	}
	if f.slow == 0 {
		done()
		return
	}
	node.syncing = max(node.syncing, f.world.Now).Add(clock.Milliseconds(f.slow * f.world.Random.Float64()))
	f.world.After(node.syncing.Sub(f.world.Now), done)
}

// follow keeps the archive beside a value that is about to be accepted, and pulls what
// is lacking from another acceptor.
func (f *fleet) follow(node *controller, value *messages.RegisterValue) {
	if _, complete := node.archive.Extend(value, 1); complete {
		return
	}
	names := simulation.Keys(f.controllers)
	other := f.controllers[names[f.world.Random.Intn(len(names))]]
	if other.down {
		return
	}
	for _, found := range []uint64{node.archive.LastChunk(), 0} {
		resp := other.archive.Lookup(&messages.ArchiveRequest{Head: value.Archive, Pull: true, LastChunk: found})
		node.archive.Fill(value.Archive, resp.Chunks)
	}
	node.archive.Extend(value, 1)
}

// bounce ends a process and starts it again from its disk.
func (f *fleet) bounce(name string) {
	node := f.controllers[name]
	if node == nil || node.down {
		return
	}
	node.down = true
	node.life++
	f.world.After(clock.Milliseconds(200*f.world.Random.Float64()), func() {
		if node.down {
			f.restart(name)
		}
	})
}
