package vise

import "lemonarch/internal/pattern"

// Acceptor is the part that votes. Its caller syncs Record before it sends an
// answer that says Granted.
type Acceptor struct {
	state pattern.AcceptorRecord
}

// NewAcceptor starts from what the disk holds.
func NewAcceptor(state pattern.AcceptorRecord) *Acceptor { return &Acceptor{state: state} }

// Record is what must be on disk.
func (acceptor *Acceptor) Record() pattern.AcceptorRecord { return acceptor.state }

// Disk is the identity of the acceptor's disk.
func (acceptor *Acceptor) Disk() string { return acceptor.state.Disk }

// Value gives the accepted value, or the first one: an empty register whose
// acceptors are the seeds of the system's first start.
func (acceptor *Acceptor) Value() pattern.Register {
	if acceptor.state.HasValue {
		return acceptor.state.Value
	}
	return pattern.Register{Acceptors: acceptor.state.First}
}

// Prepare answers the first round; keep says whether the record changed.
func (acceptor *Acceptor) Prepare(question *pattern.Prepare) (answer pattern.Promise, keep bool) {
	answer = pattern.Promise{Promised: acceptor.state.Promised, Accepted: acceptor.state.Accepted, Value: acceptor.Value()}
	// A call for another disk identity is for a member that this machine no
	// longer is: an amnesiac must not vote under its old name.
	if question.Disk != acceptor.state.Disk {
		return pattern.Promise{Value: acceptor.Value()}, false
	}
	if question.Query {
		answer.Granted = true
		if question.Slim {
			answer.Value.Body = nil
		}
		return answer, false
	}
	if Less(question.Ballot, acceptor.state.Promised) {
		return answer, false
	}
	acceptor.state.Promised = question.Ballot
	answer.Promised, answer.Granted = question.Ballot, true
	return answer, true
}

// Accept answers the second round.
func (acceptor *Acceptor) Accept(question *pattern.Accept) (answer pattern.Accepted, keep bool) {
	if question.Disk != acceptor.state.Disk {
		return pattern.Accepted{}, false
	}
	if Less(question.Ballot, acceptor.state.Promised) {
		return pattern.Accepted{Promised: acceptor.state.Promised}, false
	}
	acceptor.state.Promised, acceptor.state.Accepted = question.Ballot, question.Ballot
	acceptor.state.Value, acceptor.state.HasValue = question.Value, true
	return pattern.Accepted{Granted: true, Promised: question.Ballot}, true
}
