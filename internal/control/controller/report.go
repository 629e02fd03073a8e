package controller

import (
	"strconv"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// reportRegister reports the state of the register that this process last saw.
func (c *Controller) reportRegister() *messages.StatusResponse {
	known := c.Register.Known()
	state := "stands by"
	for _, member := range known.Acceptors {
		if register.Identity(member) == register.Identity(c.Register.Identity()) {
			state = "votes"
		}
	}
	return &messages.StatusResponse{Columns: []string{"duty", "state", "epoch", "holder"}, Rows: [][]string{
		{"register", state, strconv.FormatUint(known.SetEpoch, 10), strconv.Itoa(len(known.Acceptors)) + " acceptors"}}}
}

// reportWorkers lists the workers.
func (c *Controller) reportWorkers() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"worker", "service", "zone", "phase", "heard-ms", "capacity"}}
	for _, worker := range c.workers.All() {
		status.Rows = append(status.Rows, []string{worker.ID, worker.Backend, worker.Zone, worker.Phase.String(),
			strconv.FormatInt(worker.AgeMs, 10), strconv.Itoa(worker.Capacity)})
	}
	return status
}
