package explore

import (
	"fmt"
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// modelSize is the number of acceptors that the reconcilers aim for. A set of three tolerates
// the loss of one.
const modelSize = 3

// Next returns every step that can follow. It omits steps that can't reveal further violations,
// for three reasons.
//
// An acceptor's response reaches its proposer in the same step or never. A proposer that
// receives it later would only do later what it does now, and its messages may stay in flight
// for any time. A lost message is one that is never delivered.
//
// A promise whose response is lost only makes an acceptor reject more, so the same history
// without it violates the same invariants. A rejection only makes a proposer retry, which it
// may do at any moment.
//
// The responses to the accept phase matter only once they form a quorum, so the proposer
// receives all of them or none.
func (f *registerState) Next() []Step {
	var steps []Step
	if f.violation != nil {
		return nil
	}
	for i := range f.processes {
		if run := f.processes[i].proposer; run != nil && run.attempts < f.plan.Attempts && !run.responded && !f.nothingDelivered(run) {
			steps = f.openBallot(steps, i)
		}
		if f.wipes > 0 && f.toleratesLoss() {
			steps = append(steps, Step{Name: "wipe " + f.processes[i].name, To: f.wipe(i)})
		}
		if f.restarts > 0 && f.processes[i].proposer != nil {
			steps = append(steps, Step{Name: "restart " + f.processes[i].name, To: f.restart(i)})
		}
	}
	for i := range f.requests {
		steps = f.deliver(steps, i)
	}
	return steps
}

// change returns the change that a proposer proposes next, or nil if there is none. result
// receives the outcome of a writer's change.
func (f *registerState) change(i int, known *messages.RegisterValue, result *register.Result) register.Change {
	proc := &f.processes[i]
	if proc.proposer.version.Generation > 0 {
		return register.Replace(proc.proposer.version, []byte(proc.proposer.version.Hash), result)
	}
	reconciler := register.SetReconciler{Own: proc.member(), Votes: true, Size: modelSize,
		Departed: func(member messages.Member) bool { return member.Address == f.plan.Suspect }}
	change := reconciler.NextChange(*known)
	if change == nil || !f.plan.DropPreviousAtOnce {
		return change
	}
	return func(current messages.RegisterValue) (messages.RegisterValue, register.Verdict) {
		next, verdict := change(current)
		next.Previous = nil
		return next, verdict
	}
}

// openBallot opens a ballot higher than all before. This may happen at any moment, since the
// previous attempt may have been rejected or have timed out.
func (f *registerState) openBallot(steps []Step, i int) []Step {
	var result register.Result
	known := f.processes[i].known
	if f.change(i, f.table.value(known), &result) == nil {
		return steps
	}
	next := f.clone()
	run := *f.processes[i].proposer
	next.processes[i].proposer = &run
	run.attempts++
	run.ballot = register.NewBallot(f.highest()+1, f.processes[i].name, f.processes[i].disk, run.incarnation)
	run.known, run.responses, run.ended, run.accepting = known, nil, false, false
	_, sends := next.replay(i, &result)
	next.addRequests(i, run.ballot, sends)
	next.dropObsolete()
	return append(steps, Step{Name: fmt.Sprintf("%s opens ballot %v", f.processes[i].name, run.ballot), To: next})
}

// nothingDelivered reports whether an attempt is open and none of its messages has been
// delivered.
func (f *registerState) nothingDelivered(run *proposer) bool {
	return !run.ended && len(run.responses) == 0
}

// highest returns the highest ballot counter used so far.
func (f *registerState) highest() uint64 {
	var highest uint64
	for i := range f.processes {
		highest = max(highest, f.processes[i].promised.Counter)
		if run := f.processes[i].proposer; run != nil {
			highest = max(highest, run.ballot.Counter)
		}
	}
	return highest
}

// replay runs a proposer's current attempt from its beginning. It returns the messages that the
// last response, or the start if there was no response, caused it to send.
func (f *registerState) replay(i int, result *register.Result) (*register.Proposal, []register.Send) {
	run := f.processes[i].proposer
	known := f.table.value(run.known)
	proposal, sends := register.NewProposal(run.ballot, *known, f.change(i, known, result))
	for _, resp := range run.responses {
		if resp.promise != nil {
			sends = proposal.HandlePrepareResponse(resp.member, *resp.promise)
		} else {
			proposal.HandleAcceptResponse(resp.member, *resp.accepted)
			sends = nil
		}
	}
	return proposal, sends
}

// addRequests puts messages in flight.
func (f *registerState) addRequests(i int, ballot messages.Ballot, sends []register.Send) {
	for _, send := range sends {
		message := request{from: i, ballot: ballot, member: send.Member, value: none}
		if send.Accept != nil {
			message.value = f.table.id(&send.Accept.Value)
		}
		f.requests = append(f.requests, message)
	}
}

// deliver appends the steps in which one message reaches its acceptor.
func (f *registerState) deliver(steps []Step, index int) []Step {
	for _, duplicate := range []bool{false, true} {
		if duplicate && f.duplicates == 0 {
			continue
		}
		if f.requests[index].value == none {
			steps = f.deliverPrepare(steps, index, duplicate)
		} else {
			steps = f.deliverAccept(steps, index, duplicate)
		}
	}
	return steps
}

// afterDelivery returns the state in which a message was delivered. It is no longer in flight,
// unless it is to be delivered again.
func (f *registerState) afterDelivery(index int, duplicate bool) *registerState {
	next := f.clone()
	if duplicate {
		next.duplicates--
	} else {
		next.requests = slices.Delete(next.requests, index, index+1)
	}
	return next
}

func (f *registerState) deliverPrepare(steps []Step, index int, duplicate bool) []Step {
	message := f.requests[index]
	target := f.indexOf(message.member.Name)
	acceptor := f.acceptor(target)
	promise, _ := acceptor.Prepare(&messages.PrepareRequest{Ballot: message.ballot, Disk: f.targetDisk(&message)})
	known := f.table.value(f.processes[message.from].proposer.known)
	if !promise.Granted && promise.Value.SetEpoch <= known.SetEpoch {
		return steps
	}
	if f.plan.IgnoreAccepted {
		promise.Accepted = messages.Ballot{}
	}
	next := f.afterDelivery(index, duplicate)
	next.storeRecord(target, acceptor)
	resp := response{member: message.member, promise: &promise}
	resp.key = fmt.Sprint(register.Identity(message.member), promise.Granted, promise.Accepted, f.processes[target].value)
	next.handleResponse(message.from, resp)
	next.dropObsolete()
	name := fmt.Sprintf("%v prepared at %s, granted=%v", message.ballot, message.member.Name, promise.Granted)
	return append(steps, Step{Name: name, To: next, Message: true})
}

func (f *registerState) deliverAccept(steps []Step, index int, duplicate bool) []Step {
	message := f.requests[index]
	target, value := f.indexOf(message.member.Name), f.table.value(message.value)
	acceptor := f.acceptor(target)
	accepted, _ := acceptor.Accept(&messages.AcceptRequest{Ballot: message.ballot, Disk: f.targetDisk(&message), Value: *value})
	if !accepted.Granted {
		return steps
	}
	next := f.afterDelivery(index, duplicate)
	next.storeRecord(target, acceptor)
	next.learnSets(target, value)
	voters := next.recordVote(message.ballot, message.value, message.member)
	name := fmt.Sprintf("%v accepted at %s: versions=%v epoch=%d", message.ballot, message.member.Name, versions(value), value.SetEpoch)
	if run := f.processes[message.from].proposer; voters != nil && run.ballot == message.ballot && !run.ended {
		withQuorum := next.clone()
		for _, voter := range voters {
			withQuorum.handleResponse(message.from, response{member: voter, accepted: &messages.AcceptResponse{Granted: true, Promised: message.ballot}})
		}
		withQuorum.dropObsolete()
		steps = append(steps, Step{Name: name + ", quorum reported to the proposer", To: withQuorum, Message: true})
	}
	next.dropObsolete()
	return append(steps, Step{Name: name, To: next, Message: true})
}

// targetDisk returns the disk identity that a message is addressed to. With the defect
// Plan.KeepIdentity an acceptor responds to any, so its current identity is returned.
func (f *registerState) targetDisk(message *request) string {
	if f.plan.KeepIdentity {
		return f.processes[f.indexOf(message.member.Name)].disk
	}
	return message.member.Disk
}

// awaitsResponse reports whether the sender of a prepare request still waits for the response.
func (f *registerState) awaitsResponse(message *request) bool {
	run := f.processes[message.from].proposer
	return !run.ended && run.ballot == message.ballot && !run.accepting
}

// handleResponse passes a response to a proposer.
func (f *registerState) handleResponse(i int, resp response) {
	run := *f.processes[i].proposer
	run.responses = append(append([]response(nil), run.responses...), resp)
	f.processes[i].proposer = &run
	var result register.Result
	proposal, sends := f.replay(i, &result)
	f.addRequests(i, run.ballot, sends)
	switch proposal.Stage() {
	case register.StageAccept:
		run.accepting = true
	case register.StageDone:
		value := proposal.Value()
		run.ended, run.responses = true, nil
		f.learnSets(i, &value)
		f.recordResult(&run, &value, result)
	case register.StageLost:
		run.ended, run.responses = true, nil
		if newer := proposal.Newer(); newer != nil {
			f.learnSets(i, newer)
		}
	}
}
