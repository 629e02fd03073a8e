package controller

import (
	"lemonarch/internal/control/registerserver"
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

// namedRegister gives the register of a name. There is one so far.
func (c *Controller) namedRegister(name string) (*registerserver.Replica, error) {
	if name != PlansRegister {
		return nil, node.ErrUnavailable.New("no register is named " + name)
	}
	return c.plans.replica, nil
}

func (c *Controller) registerNamed() {
	runtime := c.Node
	runtime.Handle(messages.KindNamedPrepare, handle(func(req *messages.NamedPrepareRequest) (transport.Marshaler, error) {
		replica, err := c.namedRegister(req.Name)
		if err != nil {
			return nil, err
		}
		resp, err := replica.Prepare(&req.Request)
		return &resp, err
	}))
	runtime.Handle(messages.KindNamedAccept, handle(func(req *messages.NamedAcceptRequest) (transport.Marshaler, error) {
		replica, err := c.namedRegister(req.Name)
		if err != nil {
			return nil, err
		}
		resp, err := replica.Accept(&req.Request)
		return &resp, err
	}))
	runtime.Handle(messages.KindNamedRead, handle(func(req *messages.NamedReadRequest) (transport.Marshaler, error) {
		replica, err := c.namedRegister(req.Name)
		if err != nil {
			return nil, err
		}
		// Good for its sets only, and only where they were seen to be in force.
		value, seen := replica.Chosen()
		if !seen {
			return &messages.RegisterResponse{}, nil
		}
		value.Body = nil
		return &messages.RegisterResponse{Known: true, Value: value}, nil
	}))
}

// reconcileNamedSet keeps the acceptor set of a named register whole, as reconcileSet does for
// the configuration.
func (c *Controller) reconcileNamedSet(replica *registerserver.Replica) {
	known := replica.Known()
	if len(known.Acceptors) == 0 {
		c.syncNamedSets(replica)
		return
	}
	tending := c.setReconciler(known)
	if !replica.NeedsReconcile(tending) {
		return
	}
	c.stagger()
	value, changed, err := replica.ReconcileSet(tending)
	if err != nil {
		c.Node.Log.Warn("set not changed", "register", replica.Name, "why", err.Error())
		c.syncNamedSets(replica)
		return
	}
	if changed {
		c.Node.Log.Info("set changed", "register", replica.Name, "epoch", value.SetEpoch, "members", len(value.Acceptors))
	}
}

// syncNamedSets asks other controllers for the acceptors of a named register.
func (c *Controller) syncNamedSets(replica *registerserver.Replica) {
	c.forEachController(func(address string) {
		resp := &messages.RegisterResponse{}
		if transport.Call(c.Node.Transport, address, messages.KindNamedRead, &messages.NamedReadRequest{Name: replica.Name}, resp, constants.CallTimeout) == nil {
			replica.ObserveSets(resp.Value)
		}
	})
}
