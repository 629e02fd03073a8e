package registerserver

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/transport"
)

// HandleConfiguration registers the handlers for requests of other processes to the register of the
// configuration, and to the lease that its acceptors grant.
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

// HandleNamed registers the handlers for requests of other processes to named registers.
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

// ChosenSets returns a response with the newest sets that this process saw a majority accept; Known
// is not set if there are none. Only the sets of its value may be used.
func (r *Replica) ChosenSets() *messages.RegisterResponse {
	value, known := r.Chosen()
	if !known {
		return &messages.RegisterResponse{}
	}
	value.Body = nil
	return &messages.RegisterResponse{Known: true, Value: value}
}

// SyncSets requests the current acceptor sets from the other controllers. A process with an empty
// disk knows none, and one that was down for a long time knows outdated ones.
func (r *Replica) SyncSets() {
	r.Node.ForEachController(func(address string) {
		kind, req := r.readSetsMessage()
		resp := &messages.RegisterResponse{}
		if transport.Call(r.Node.Transport, address, kind, req, resp, constants.CallTimeout) == nil {
			// This value has no body, so only its sets are used.
			r.ObserveSets(resp.Value)
		}
	})
}

// readSetsMessage returns the request for the sets of this register.
func (r *Replica) readSetsMessage() (messages.Kind, transport.Marshaler) {
	if r.Name == "" {
		return messages.KindRegisterRead, &messages.Ack{}
	}
	return messages.KindNamedRead, &messages.NamedReadRequest{Name: r.Name}
}
