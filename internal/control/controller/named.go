package controller

import (
	"lemonarch/internal/control/quorum"
	"lemonarch/internal/control/register"
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
func (controller *Controller) called(name string) (*quorum.Register, error) {
	if name != PlansRegister {
		return nil, node.Unable.New("no register is named " + name)
	}
	return controller.plans.localRegister, nil
}

func (controller *Controller) registerNamed() {
	runtime := controller.Node
	runtime.Answer(messages.KindNamedPrepare, answer(func(question *messages.NamedPrepare) (transport.Writable, error) {
		localRegister, err := controller.called(question.Name)
		if err != nil {
			return nil, err
		}
		back, err := localRegister.Prepare(&question.Prepare)
		return &back, err
	}))
	runtime.Answer(messages.KindNamedAccept, answer(func(question *messages.NamedAccept) (transport.Writable, error) {
		localRegister, err := controller.called(question.Name)
		if err != nil {
			return nil, err
		}
		back, err := localRegister.Accept(&question.Accept)
		return &back, err
	}))
	runtime.Answer(messages.KindNamedRead, answer(func(question *messages.NamedAsk) (transport.Writable, error) {
		localRegister, err := controller.called(question.Name)
		if err != nil {
			return nil, err
		}
		// Good for its sets only: it may not have been chosen.
		value := localRegister.Known()
		value.Body = nil
		return &messages.DutyChanged{Known: true, Value: value}, nil
	}))
}

// tendNamed keeps the acceptor set of a named register whole, as tendSet does for
// the configuration.
func (controller *Controller) tendNamed(localRegister *quorum.Register) {
	known := localRegister.Known()
	if len(known.Acceptors) == 0 {
		controller.learnNamed(localRegister)
		return
	}
	tending := controller.tending(known)
	tending.Own, tending.Fresh = localRegister.Identity(), localRegister.JointFresh()
	change := tending.Step(known)
	if change == nil {
		return
	}
	controller.stagger()
	if len(known.Previous) == 0 {
		controller.learnNamed(localRegister)
		if localRegister.Known().SetEpoch != known.SetEpoch {
			return
		}
	}
	if _, err := localRegister.Change(change); err != nil {
		controller.Node.Log.Warn("set not changed", "register", localRegister.Name, "why", err.Error())
		return
	}
	if len(known.Previous) == 0 {
		if value, err := localRegister.Change(register.Settle); err == nil {
			controller.Node.Log.Info("set changed", "register", localRegister.Name, "epoch", value.SetEpoch, "members", len(value.Acceptors))
		}
	}
}

// learnNamed asks other controllers for the acceptors of a named register.
func (controller *Controller) learnNamed(localRegister *quorum.Register) {
	controller.askOthers(func(address string) {
		back := &messages.DutyChanged{}
		if transport.Ask(controller.Node.Wire, address, messages.KindNamedRead, &messages.NamedAsk{Name: localRegister.Name}, back, constants.CallTime) == nil {
			localRegister.LearnSets(back.Value)
		}
	})
}
