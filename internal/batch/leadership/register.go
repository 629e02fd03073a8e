package leadership

import (
	"math/rand"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// Register returns the most recently read value of the register, without its body.
func (c *Campaign) Register() messages.RegisterValue {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.register.value
}

// SetRegister caches a register value that this process has just read or written.
func (c *Campaign) SetRegister(value messages.RegisterValue) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.register = knownRegister{value: value, readAt: clock.Now()}
}

// RegisterAge returns the time since the register was last read.
func (c *Campaign) RegisterAge() clock.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	return clock.Now().Sub(c.register.readAt)
}

// ReadRegister reads the register, without its body, from a controller, and caches it. It reports
// whether a controller responded with a value confirmed by a majority.
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

// ChangeRegister requests a change of the register from a controller. known is false and
// resp is nil if no controller responded, so that the outcome is unknown.
func (c *Campaign) ChangeRegister(req *messages.RegisterChangeRequest) (resp *messages.RegisterResponse, known bool) {
	for _, address := range c.controllers() {
		resp = &messages.RegisterResponse{}
		if transport.Call(c.node.Transport, address, messages.KindRegisterChange, req, resp, constants.RegisterTimeout) == nil {
			return resp, true
		}
	}
	return nil, false
}

// controllers returns the addresses of the controllers in the order in which to call them:
// those in this zone first. If no controller is known, it returns the seed addresses.
func (c *Campaign) controllers() []string {
	var local, remote []string
	for _, controller := range c.node.Live(membership.RoleController) {
		if controller.Zone == c.node.Self.Zone {
			local = append(local, controller.Address)
		} else {
			remote = append(remote, controller.Address)
		}
	}
	rand.Shuffle(len(remote), func(left, right int) { remote[left], remote[right] = remote[right], remote[left] })
	addresses := append(local, remote...)
	if len(addresses) == 0 {
		return c.node.Settings.SeedAddresses(constants.PortController)
	}
	return addresses
}
