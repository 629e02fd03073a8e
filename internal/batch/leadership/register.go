package leadership

import (
	"math/rand"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// Register gives the register's value as it was last read, without its body.
func (c *Campaign) Register() messages.RegisterValue {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.register.value
}

// SetRegister notes a value that this process has just seen in force.
func (c *Campaign) SetRegister(value messages.RegisterValue) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.register = knownRegister{value: value, readAt: clock.Now()}
}

// RegisterAge is how long ago the register was read.
func (c *Campaign) RegisterAge() clock.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	return clock.Now().Sub(c.register.readAt)
}

// ReadRegister reads sets and leadership from a controller, and tells whether one answered
// from a majority.
func (c *Campaign) ReadRegister() bool {
	for _, address := range c.controllers() {
		resp := &messages.RegisterResponse{}
		if transport.Call(c.node.Transport, address, messages.KindRegisterRead, &messages.Ack{}, resp, constants.CallTimeout) != nil || !resp.Applied {
			continue
		}
		c.SetRegister(resp.Value)
		return true
	}
	return false
}

// ChangeRegister has a controller change the register; known is false where the outcome
// can't be told.
func (c *Campaign) ChangeRegister(req *messages.RegisterChangeRequest) (resp *messages.RegisterResponse, known bool) {
	for _, address := range c.controllers() {
		resp = &messages.RegisterResponse{}
		if transport.Call(c.node.Transport, address, messages.KindRegisterChange, req, resp, constants.RegisterTimeout) == nil {
			return resp, true
		}
	}
	return nil, false
}

// controllers gives the controllers to ask: those of this zone first, the seeds where none
// is known.
func (c *Campaign) controllers() []string {
	var near, far []string
	for _, entry := range c.node.Live(membership.RoleController) {
		if entry.Zone == c.node.Self.Zone {
			near = append(near, entry.Address)
		} else {
			far = append(far, entry.Address)
		}
	}
	rand.Shuffle(len(far), func(left, right int) { far[left], far[right] = far[right], far[left] })
	addresses := append(near, far...)
	if len(addresses) == 0 {
		return c.node.Settings.SeedAddresses(constants.PortController)
	}
	return addresses
}
