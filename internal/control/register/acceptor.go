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
func (a *Acceptor) Record() messages.AcceptorRecord { return a.state }

// Disk is the identity of the acceptor's disk.
func (a *Acceptor) Disk() string { return a.state.Disk }

// Value gives the accepted value, or the first one: an empty register whose
// acceptors are the seeds of the system's first start.
func (a *Acceptor) Value() messages.Register {
	if a.state.HasValue {
		return a.state.Value
	}
	return messages.Register{Acceptors: a.state.First}
}

// Prepare answers the first round; keep says whether the record changed.
func (a *Acceptor) Prepare(question *messages.Prepare) (answer messages.Promise, keep bool) {
	answer = messages.Promise{Promised: a.state.Promised, Accepted: a.state.Accepted, Value: a.Value()}
	// A call for another disk identity is for a member that this machine no
	// longer is: an amnesiac must not vote under its old name.
	if question.Disk != a.state.Disk {
		return messages.Promise{Value: a.Value()}, false
	}
	if question.Query {
		answer.Granted = true
		if question.Slim {
			answer.Value.Body = nil
		}
		return answer, false
	}
	if Less(question.Ballot, a.state.Promised) {
		return answer, false
	}
	a.state.Promised = question.Ballot
	answer.Promised, answer.Granted = question.Ballot, true
	return answer, true
}

// Accept answers the second round.
func (a *Acceptor) Accept(question *messages.Accept) (answer messages.Accepted, keep bool) {
	if question.Disk != a.state.Disk {
		return messages.Accepted{}, false
	}
	if Less(question.Ballot, a.state.Promised) {
		return messages.Accepted{Promised: a.state.Promised}, false
	}
	a.state.Promised, a.state.Accepted = question.Ballot, question.Ballot
	a.state.Value, a.state.HasValue = question.Value, true
	return messages.Accepted{Granted: true, Promised: question.Ballot}, true
}
