package controller

import (
	"lemonarch/internal/control/quorum"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/node"
	"lemonarch/internal/platform/transport"
)

// Named registers stand beside the configuration: the same machines, the same two
// rounds, but ballots, sets and records on disk of their own, so that a write to
// one never meets a write to another.

// PlansRegister is the register of the assignments.
const PlansRegister = "plans"

// called gives the register of a name. There is one so far.
func (c *Controller) called(name string) (*quorum.Register, error) {
	if name != PlansRegister {
		return nil, node.ErrUnavailable.New("no register is named " + name)
	}
	return c.plans.localRegister, nil
}

func (c *Controller) registerNamed() {
	runtime := c.Node
	runtime.Handle(messages.KindNamedPrepare, answer(func(req *messages.NamedPrepareRequest) (transport.Marshaler, error) {
		localRegister, err := c.called(req.Name)
		if err != nil {
			return nil, err
		}
		resp, err := localRegister.Prepare(&req.Request)
		return &resp, err
	}))
	runtime.Handle(messages.KindNamedAccept, answer(func(req *messages.NamedAcceptRequest) (transport.Marshaler, error) {
		localRegister, err := c.called(req.Name)
		if err != nil {
			return nil, err
		}
		resp, err := localRegister.Accept(&req.Request)
		return &resp, err
	}))
	runtime.Handle(messages.KindNamedRead, answer(func(req *messages.NamedReadRequest) (transport.Marshaler, error) {
		localRegister, err := c.called(req.Name)
		if err != nil {
			return nil, err
		}
		// Good for its sets only, and only where they were seen to be in force.
		value, seen := localRegister.Chosen()
		if !seen {
			return &messages.RegisterResponse{}, nil
		}
		value.Body = nil
		return &messages.RegisterResponse{Known: true, Value: value}, nil
	}))
}

// tendNamed keeps the acceptor set of a named register whole, as tendSet does for
// the configuration.
func (c *Controller) tendNamed(localRegister *quorum.Register) {
	known := localRegister.Known()
	if len(known.Acceptors) == 0 {
		c.learnNamed(localRegister)
		return
	}
	tending := c.tending(known)
	if !localRegister.NeedsTending(tending) {
		return
	}
	c.stagger()
	value, changed, err := localRegister.Tend(tending)
	if err != nil {
		c.Node.Log.Warn("set not changed", "register", localRegister.Name, "why", err.Error())
		c.learnNamed(localRegister)
		return
	}
	if changed {
		c.Node.Log.Info("set changed", "register", localRegister.Name, "epoch", value.SetEpoch, "members", len(value.Acceptors))
	}
}

// learnNamed asks other controllers for the acceptors of a named register.
func (c *Controller) learnNamed(localRegister *quorum.Register) {
	c.askOthers(func(address string) {
		resp := &messages.RegisterResponse{}
		if transport.Call(c.Node.Transport, address, messages.KindNamedRead, &messages.NamedReadRequest{Name: localRegister.Name}, resp, constants.CallTimeout) == nil {
			localRegister.LearnSets(resp.Value)
		}
	})
}
