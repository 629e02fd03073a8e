package store

import (
	"sync"

	"lemonarch/internal/control/lease"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// fakeRegister replaces the controllers by a single acceptor. The agreement among acceptors is
// tested elsewhere.
type fakeRegister struct {
	lock    sync.Mutex
	value   messages.RegisterValue
	grantor *lease.Grantor
	// delay, if not nil, returns how long a change is in transit before it is applied; its sender
	// may have timed out by then. It is set before the first store starts.
	delay func(req *messages.RegisterChangeRequest) clock.Duration
}

const fakeRegisterAddress = "10.0.0.99:7000"

func (r *fakeRegister) change(change register.Change) {
	if next, verdict := change(r.value); verdict == register.VerdictWrite {
		r.value = next
	}
}

func (r *fakeRegister) respond(kind messages.Kind, body []byte) ([]byte, error) {
	if kind == messages.KindRegisterChange && r.delay != nil {
		req := &messages.RegisterChangeRequest{}
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		clock.Sleep(r.delay(req))
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	switch kind {
	case messages.KindRegisterRead:
		return transport.Encode(&messages.RegisterResponse{Applied: true, Known: true, Value: r.value})
	case messages.KindLease:
		req := &messages.LeaseRequest{}
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		resp := r.grantor.Grant(*req, r.value.Leadership, clock.Now())
		return transport.Encode(&resp)
	case messages.KindRegisterChange:
		req, applied := &messages.RegisterChangeRequest{}, false
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		change := register.SetStores(req.Holder, req.Sequence, req.Stores, &applied)
		if req.Campaign {
			change = register.Campaign(req.Holder, req.ExpectEpoch, req.Stores, &applied)
		}
		r.change(change)
		return transport.Encode(&messages.RegisterResponse{Applied: applied, Known: true, Value: r.value})
	}
	return nil, nil
}
