package explore

import (
	"fmt"
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// modelSize is how many acceptors the tenders want: the loss of one is borne.
const modelSize = 3

// Next gives every step that can follow. What is left out follows from three facts.
//
// An acceptor's answer reaches its proposer in the same step or never: a proposer that
// hears later does later what it would have done, and its messages wait as long as they
// like. A message that is lost is one that is never delivered.
//
// A promise whose answer is lost only makes an acceptor refuse more, so that the same
// history without it breaks the same invariants. A refusal only makes a proposer try
// again, which it may do at any moment.
//
// The answers to a second round count only once they are a quorum: then the proposer
// hears all of them or none.
func (one *fleet) Next() []Step {
	var steps []Step
	if one.broken != nil {
		return nil
	}
	for place := range one.processes {
		if run := one.processes[place].proposer; run != nil && run.attempts < one.plan.Attempts && !run.told && !one.untouched(run) {
			steps = one.attempt(steps, place)
		}
		if one.wipes > 0 && one.bearsLoss() {
			steps = append(steps, Step{Name: "wipe " + one.processes[place].name, To: one.wipe(place)})
		}
		if one.restarts > 0 && one.processes[place].proposer != nil {
			steps = append(steps, Step{Name: "restart " + one.processes[place].name, To: one.restart(place)})
		}
	}
	for place := range one.requests {
		steps = one.deliver(steps, place)
	}
	return steps
}

// change gives what a proposer proposes next, or nil; result is what a writer's
// change came to.
func (one *fleet) change(place int, known *messages.Register, result *register.Result) register.Change {
	at := &one.processes[place]
	if at.proposer.version.Generation > 0 {
		return register.Replace(at.proposer.version, []byte(at.proposer.version.Hash), result)
	}
	tending := register.Tending{Own: at.member(), Votes: true, Size: modelSize,
		Gone: func(member messages.Member) bool { return member.Address == one.plan.Suspect }}
	change := tending.Step(*known)
	if change == nil || !one.plan.SettleAtOnce {
		return change
	}
	return func(current messages.Register) (messages.Register, register.Verdict) {
		next, verdict := change(current)
		next.Previous = nil
		return next, verdict
	}
}

// attempt opens a ballot higher than all before. It may be opened at any moment: the
// attempt before it was refused, or had no answer in time.
func (one *fleet) attempt(steps []Step, place int) []Step {
	var result register.Result
	known := one.processes[place].known
	if one.change(place, one.table.at(known), &result) == nil {
		return steps
	}
	next := one.clone()
	run := *one.processes[place].proposer
	next.processes[place].proposer = &run
	run.attempts++
	run.ballot = register.NewBallot(one.highest()+1, one.processes[place].name, one.processes[place].disk, run.life)
	run.known, run.answers, run.settled, run.accepting = known, nil, false, false
	_, sends := next.play(place, &result)
	next.post(place, run.ballot, sends)
	next.tidy()
	return append(steps, Step{Name: fmt.Sprintf("%s opens %v", one.processes[place].name, run.ballot), To: next})
}

// untouched tells whether an attempt was opened and none of its messages delivered.
func (one *fleet) untouched(run *proposer) bool {
	return !run.settled && len(run.answers) == 0
}

// highest is the highest counter used so far.
func (one *fleet) highest() uint64 {
	var highest uint64
	for place := range one.processes {
		highest = max(highest, one.processes[place].promised.Counter)
		if run := one.processes[place].proposer; run != nil {
			highest = max(highest, run.ballot.Counter)
		}
	}
	return highest
}

// play runs a proposer's attempt from its beginning. It gives what the last answer,
// or the beginning, made it send.
func (one *fleet) play(place int, result *register.Result) (*register.Proposal, []register.Send) {
	run := one.processes[place].proposer
	known := one.table.at(run.known)
	proposal, sends := register.Begin(run.ballot, *known, one.change(place, known, result))
	for _, got := range run.answers {
		if got.promise != nil {
			sends = proposal.Promised(got.member, *got.promise)
		} else {
			proposal.Taken(got.member, *got.accepted)
			sends = nil
		}
	}
	return proposal, sends
}

// post puts messages under way.
func (one *fleet) post(place int, ballot messages.Ballot, sends []register.Send) {
	for _, send := range sends {
		message := request{from: place, ballot: ballot, member: send.Member, value: none}
		if send.Accept != nil {
			message.value = one.table.id(&send.Accept.Value)
		}
		one.requests = append(one.requests, message)
	}
}

// deliver gives the steps in which one message reaches its acceptor.
func (one *fleet) deliver(steps []Step, index int) []Step {
	for _, again := range []bool{false, true} {
		if again && one.doubles == 0 {
			continue
		}
		if one.requests[index].value == none {
			steps = one.deliverPrepare(steps, index, again)
		} else {
			steps = one.deliverAccept(steps, index, again)
		}
	}
	return steps
}

// taken gives the state without a message, or with it where it comes again.
func (one *fleet) taken(index int, again bool) *fleet {
	next := one.clone()
	if again {
		next.doubles--
	} else {
		next.requests = slices.Delete(next.requests, index, index+1)
	}
	return next
}

func (one *fleet) deliverPrepare(steps []Step, index int, again bool) []Step {
	message := one.requests[index]
	target := one.at(message.member.Name)
	acceptor := one.acceptor(target)
	promise, _ := acceptor.Prepare(&messages.Prepare{Ballot: message.ballot, Disk: one.asked(&message)})
	known := one.table.at(one.processes[message.from].proposer.known)
	if !promise.Granted && promise.Value.SetEpoch <= known.SetEpoch {
		return steps
	}
	if one.plan.IgnoreAccepted {
		promise.Accepted = messages.Ballot{}
	}
	next := one.taken(index, again)
	next.keep(target, acceptor)
	got := answer{member: message.member, promise: &promise}
	got.key = fmt.Sprint(register.Identity(message.member), promise.Granted, promise.Accepted, one.processes[target].value)
	next.hear(message.from, got)
	next.tidy()
	name := fmt.Sprintf("%v prepared at %s, granted=%v", message.ballot, message.member.Name, promise.Granted)
	return append(steps, Step{Name: name, To: next, Message: true})
}

func (one *fleet) deliverAccept(steps []Step, index int, again bool) []Step {
	message := one.requests[index]
	target, value := one.at(message.member.Name), one.table.at(message.value)
	acceptor := one.acceptor(target)
	accepted, _ := acceptor.Accept(&messages.Accept{Ballot: message.ballot, Disk: one.asked(&message), Value: *value})
	if !accepted.Granted {
		return steps
	}
	next := one.taken(index, again)
	next.keep(target, acceptor)
	next.learn(target, value)
	voters := next.vote(message.ballot, message.value, message.member)
	name := fmt.Sprintf("%v accepted at %s: versions=%v epoch=%d", message.ballot, message.member.Name, versions(value), value.SetEpoch)
	if run := one.processes[message.from].proposer; voters != nil && run.ballot == message.ballot && !run.settled {
		heard := next.clone()
		for _, voter := range voters {
			heard.hear(message.from, answer{member: voter, accepted: &messages.Accepted{Granted: true, Promised: message.ballot}})
		}
		heard.tidy()
		steps = append(steps, Step{Name: name + ", and told", To: heard, Message: true})
	}
	next.tidy()
	return append(steps, Step{Name: name, To: next, Message: true})
}

// asked is the disk identity that a message names; the broken acceptor of
// Plan.KeepIdentity answers for any.
func (one *fleet) asked(message *request) string {
	if one.plan.KeepIdentity {
		return one.processes[one.at(message.member.Name)].disk
	}
	return message.member.Disk
}

// waits tells whether the sender of a prepare still waits for its answer.
func (one *fleet) waits(message *request) bool {
	run := one.processes[message.from].proposer
	return !run.settled && run.ballot == message.ballot && !run.accepting
}

// hear gives an answer to a proposer.
func (one *fleet) hear(place int, got answer) {
	run := *one.processes[place].proposer
	run.answers = append(append([]answer(nil), run.answers...), got)
	one.processes[place].proposer = &run
	var result register.Result
	proposal, sends := one.play(place, &result)
	one.post(place, run.ballot, sends)
	switch proposal.Stage() {
	case register.StageAccept:
		run.accepting = true
	case register.StageDone:
		value := proposal.Value()
		run.settled, run.answers = true, nil
		one.learn(place, &value)
		one.told(&run, &value, result)
	case register.StageLost:
		run.settled, run.answers = true, nil
		if newer := proposal.Newer(); newer != nil {
			one.learn(place, newer)
		}
	}
}
