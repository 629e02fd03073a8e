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
func (a *Acceptor) Value() messages.RegisterValue {
	if a.state.HasValue {
		return a.state.Value
	}
	return messages.RegisterValue{Acceptors: a.state.First}
}

// Prepare answers the first round; keep says whether the record changed.
func (a *Acceptor) Prepare(req *messages.PrepareRequest) (resp messages.PrepareResponse, persist bool) {
	resp = messages.PrepareResponse{Promised: a.state.Promised, Accepted: a.state.Accepted, Value: a.Value()}
	// A call for another disk identity is for a member that this machine no
	// longer is: an acceptor that forgot its promises must not vote under its old name.
	if req.Disk != a.state.Disk {
		return messages.PrepareResponse{Value: a.Value()}, false
	}
	if req.Query {
		resp.Granted = true
		if req.WithoutBody {
			resp.Value.Body = nil
		}
		return resp, false
	}
	if Less(req.Ballot, a.state.Promised) {
		return resp, false
	}
	a.state.Promised = req.Ballot
	resp.Promised, resp.Granted = req.Ballot, true
	return resp, true
}

// Accept answers the second round.
func (a *Acceptor) Accept(req *messages.AcceptRequest) (resp messages.AcceptResponse, persist bool) {
	if req.Disk != a.state.Disk {
		return messages.AcceptResponse{}, false
	}
	if Less(req.Ballot, a.state.Promised) {
		return messages.AcceptResponse{Promised: a.state.Promised}, false
	}
	a.state.Promised, a.state.Accepted = req.Ballot, req.Ballot
	a.state.Value, a.state.HasValue = req.Value, true
	return messages.AcceptResponse{Granted: true, Promised: req.Ballot}, true
}
