package controller

import (
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// relearn gets from peers what this process can't know after its start.
func (controller *Controller) relearn() {
	runtime := controller.Node
	controller.beatOthers()
	go controller.recallWorkers()
	for round := 0; ; round++ {
		select {
		case <-runtime.Stop:
			return
		default:
		}
		controller.learnSets()
		if len(controller.Register.Known().Acceptors) > 0 {
			if value, err := controller.Register.Read(); err == nil {
				controller.chosen(value, false)
				_, _ = controller.planRead()
				return
			}
		}
		clock.Sleep(constants.StartPause)
	}
}

// learnSets asks other controllers who the acceptors are: one with an empty disk, or
// one that was away for long, knows of none or of old ones.
func (controller *Controller) learnSets() {
	controller.askOthers(func(address string) {
		back := &messages.DutyChanged{}
		if transport.Ask(controller.Node.Wire, address, messages.KindRegisterRead, &messages.Nothing{}, back, constants.CallTime) == nil {
			// Without its body this value is good for its sets only.
			controller.Register.LearnSets(back.Value)
		}
	})
}

// askOthers runs a question to each seed and each live controller but this one, all at
// the same time, and returns once every one has answered or failed to.
func (controller *Controller) askOthers(ask func(address string)) {
	runtime := controller.Node
	addresses := map[string]bool{}
	for _, address := range runtime.Settings.SeedAddresses(constants.PortController) {
		addresses[address] = true
	}
	for _, entry := range runtime.Live(membership.RoleController) {
		addresses[entry.Address] = true
	}
	delete(addresses, runtime.Own.Address)
	var group sync.WaitGroup
	for address := range addresses {
		group.Add(1)
		go func() {
			defer group.Done()
			ask(address)
		}()
	}
	group.Wait()
}

func (controller *Controller) pulled(question *messages.ConfigPull) (transport.Writable, error) {
	if question.Known < 0 && !controller.inContact() {
		return nil, Detached.New("configuration")
	}
	if question.Known < 0 || controller.Node.Config() == nil {
		value, err := controller.shared.Read(controller.Register.Read)
		if err != nil {
			return nil, err
		}
		controller.chosen(value, false)
		return &messages.ConfigPush{Generation: value.Current.Generation, Body: value.Body}, nil
	}
	config := controller.Node.Config()
	return &messages.ConfigPush{Generation: config.Generation, Body: config.Body}, nil
}
