package controller

import (
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// catchUpFromPeers gets from peers what this process can't know after its start.
func (c *Controller) catchUpFromPeers() {
	runtime := c.Node
	c.heartbeatPeers()
	go c.recoverWorkers()
	for round := 0; ; round++ {
		select {
		case <-runtime.Stop:
			return
		default:
		}
		c.syncSets()
		if len(c.Register.Known().Acceptors) > 0 {
			if value, err := c.Register.Read(); err == nil {
				c.applyChosen(value, false)
				_, _ = c.readPlan()
				return
			}
		}
		clock.Sleep(constants.StartBackoff)
	}
}

// syncSets asks other controllers who the acceptors are: one with an empty disk, or
// one that was away for long, knows of none or of old ones.
func (c *Controller) syncSets() {
	c.forEachController(func(address string) {
		resp := &messages.RegisterResponse{}
		if transport.Call(c.Node.Transport, address, messages.KindRegisterRead, &messages.Ack{}, resp, constants.CallTimeout) == nil {
			// Without its body this value is good for its sets only.
			c.Register.ObserveSets(resp.Value)
		}
	})
}

// forEachController runs a question to each seed and each live controller but this one, all at
// the same time, and returns once every one has answered or failed to.
func (c *Controller) forEachController(ask func(address string)) {
	runtime := c.Node
	addresses := map[string]bool{}
	for _, address := range runtime.Settings.SeedAddresses(constants.PortController) {
		addresses[address] = true
	}
	for _, entry := range runtime.Live(membership.RoleController) {
		addresses[entry.Address] = true
	}
	delete(addresses, runtime.Self.Address)
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

func (c *Controller) handleConfigPull(req *messages.ConfigPull) (transport.Marshaler, error) {
	if req.Known < 0 && !c.awaitContact() {
		return nil, ErrNoContact.New("configuration")
	}
	if req.Known < 0 || c.Node.Config() == nil {
		value, err := c.shared.Read(c.Register.Read)
		if err != nil {
			return nil, err
		}
		c.applyChosen(value, false)
		return &messages.ConfigPush{Generation: value.Current.Generation, Body: value.Body}, nil
	}
	config := c.Node.Config()
	return &messages.ConfigPush{Generation: config.Generation, Body: config.Body}, nil
}
