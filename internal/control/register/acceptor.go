package register

import "lemonarch/internal/platform/messages"

// Acceptor is the part that votes. Its caller syncs Record before it sends an
// answer that says Granted.
type Acceptor struct {
	state messages.AcceptorRecord
}

// NewAcceptor starts from what the disk holds.
func NewAcceptor(state messages.AcceptorRecord) *Acceptor { return &Acceptor{state: state} }

// Record is what must be on disk.
func (acceptor *Acceptor) Record() messages.AcceptorRecord { return acceptor.state }

// Disk is the identity of the acceptor's disk.
func (acceptor *Acceptor) Disk() string { return acceptor.state.Disk }

// Value gives the accepted value, or the first one: an empty register whose
// acceptors are the seeds of the system's first start.
func (acceptor *Acceptor) Value() messages.Register {
	if acceptor.state.HasValue {
		return acceptor.state.Value
	}
	return messages.Register{Acceptors: acceptor.state.First}
}

// Prepare answers the first round; keep says whether the record changed.
func (acceptor *Acceptor) Prepare(question *messages.Prepare) (answer messages.Promise, keep bool) {
	answer = messages.Promise{Promised: acceptor.state.Promised, Accepted: acceptor.state.Accepted, Value: acceptor.Value()}
	// A call for another disk identity is for a member that this machine no
	// longer is: an amnesiac must not vote under its old name.
	if question.Disk != acceptor.state.Disk {
		return messages.Promise{Value: acceptor.Value()}, false
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
func (acceptor *Acceptor) Accept(question *messages.Accept) (answer messages.Accepted, keep bool) {
	if question.Disk != acceptor.state.Disk {
		return messages.Accepted{}, false
	}
	if Less(question.Ballot, acceptor.state.Promised) {
		return messages.Accepted{Promised: acceptor.state.Promised}, false
	}
	acceptor.state.Promised, acceptor.state.Accepted = question.Ballot, question.Ballot
	acceptor.state.Value, acceptor.state.HasValue = question.Value, true
	return messages.Accepted{Granted: true, Promised: question.Ballot}, true
}
