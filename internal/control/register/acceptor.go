package register

import "lemonarch/internal/platform/messages"

// Acceptor is the acceptor role of the register protocol. Its caller must sync Record to disk
// before it sends a response with Granted set.
type Acceptor struct {
	state messages.AcceptorRecord
}

// NewAcceptor returns an acceptor with the state that was read from disk.
func NewAcceptor(state messages.AcceptorRecord) *Acceptor { return &Acceptor{state: state} }

// Record returns the state that must be on disk.
func (a *Acceptor) Record() messages.AcceptorRecord { return a.state }

// Disk returns the identity of the acceptor's disk.
func (a *Acceptor) Disk() string { return a.state.Disk }

// Value returns the accepted value. If no value was accepted yet, it returns the first one: an
// empty register whose acceptors are the seeds of the first start of the system.
func (a *Acceptor) Value() messages.RegisterValue {
	if a.state.HasValue {
		return a.state.Value
	}
	return messages.RegisterValue{Acceptors: a.state.First}
}

// Prepare handles a request of the first round. persist reports whether the record changed and must
// be written.
func (a *Acceptor) Prepare(req *messages.PrepareRequest) (resp messages.PrepareResponse, persist bool) {
	resp = messages.PrepareResponse{Promised: a.state.Promised, Accepted: a.state.Accepted, Value: a.Value()}
	// A request with another disk identity is for a member that this machine no longer is. An
	// acceptor that lost its promises must not vote under its old identity.
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

// Accept handles a request of the second round. persist reports whether the record changed and must
// be written.
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
