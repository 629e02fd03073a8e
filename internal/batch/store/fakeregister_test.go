package store

import (
	"sync"

	"lemonarch/internal/control/lease"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// fakeRegister stands for the controllers: one acceptor, whose agreement with others is
// tested elsewhere.
type fakeRegister struct {
	lock    sync.Mutex
	value   messages.RegisterValue
	grantor *lease.Grantor
	// delay, where set, says for how long a change is on its way before it is applied; its
	// sender may have given up by then. Set before the first store starts.
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
		req, done := &messages.RegisterChangeRequest{}, false
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		change := register.SetStores(req.Holder, req.Sequence, req.Stores, &done)
		if req.Campaign {
			change = register.Campaign(req.Holder, req.ExpectEpoch, req.Stores, &done)
		}
		r.change(change)
		return transport.Encode(&messages.RegisterResponse{Applied: done, Known: true, Value: r.value})
	}
	return nil, nil
}
