package registerserver

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/transport"
)

// HandleConfiguration registers the requests of other processes to the register of the
// configuration, and for the lease that its acceptors grant.
func (r *Replica) HandleConfiguration() {
	process.Handle(r.Node.Runtime, messages.KindPrepare, func(req *messages.PrepareRequest) (*messages.PrepareResponse, error) {
		resp, err := r.Prepare(req)
		return &resp, err
	})
	process.Handle(r.Node.Runtime, messages.KindAccept, func(req *messages.AcceptRequest) (*messages.AcceptResponse, error) {
		resp, err := r.Accept(req)
		return &resp, err
	})
	process.Handle(r.Node.Runtime, messages.KindLease, func(req *messages.LeaseRequest) (*messages.LeaseResponse, error) {
		resp := r.GrantLease(*req)
		return &resp, nil
	})
}

// HandleNamed registers the requests of other processes to registers that have a name.
func HandleNamed(runtime *process.Runtime, find func(name string) (*Replica, error)) {
	process.Handle(runtime, messages.KindNamedPrepare, func(req *messages.NamedPrepareRequest) (*messages.PrepareResponse, error) {
		replica, err := find(req.Name)
		if err != nil {
			return nil, err
		}
		resp, err := replica.Prepare(&req.Request)
		return &resp, err
	})
	process.Handle(runtime, messages.KindNamedAccept, func(req *messages.NamedAcceptRequest) (*messages.AcceptResponse, error) {
		replica, err := find(req.Name)
		if err != nil {
			return nil, err
		}
		resp, err := replica.Accept(&req.Request)
		return &resp, err
	})
	process.Handle(runtime, messages.KindNamedRead, func(req *messages.NamedReadRequest) (*messages.RegisterResponse, error) {
		replica, err := find(req.Name)
		if err != nil {
			return nil, err
		}
		return replica.ChosenSets(), nil
	})
}

// ChosenSets is the response that names the newest sets that this process saw a majority
// hold; Known is not set where it saw none. It is good for the sets only.
func (r *Replica) ChosenSets() *messages.RegisterResponse {
	value, known := r.Chosen()
	if !known {
		return &messages.RegisterResponse{}
	}
	value.Body = nil
	return &messages.RegisterResponse{Known: true, Value: value}
}

// SyncSets asks the other controllers who the acceptors are: a process with an empty disk,
// or one that was away for long, knows none or old ones.
func (r *Replica) SyncSets() {
	r.Node.ForEachController(func(address string) {
		kind, req := r.readSetsMessage()
		resp := &messages.RegisterResponse{}
		if transport.Call(r.Node.Transport, address, kind, req, resp, constants.CallTimeout) == nil {
			// Without its body this value is good for its sets only.
			r.ObserveSets(resp.Value)
		}
	})
}

// readSetsMessage is the request for the sets of this register.
func (r *Replica) readSetsMessage() (messages.Kind, transport.Marshaler) {
	if r.Name == "" {
		return messages.KindRegisterRead, &messages.Ack{}
	}
	return messages.KindNamedRead, &messages.NamedReadRequest{Name: r.Name}
}
