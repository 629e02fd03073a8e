package controller

import (
	"strconv"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// reports registers what a controller says to the shell.
func (controller *Controller) reports() {
	controller.Node.Report("duty", controller.reportRegister)
	controller.Node.Report("workers", controller.reportWorkers)
}

// reportRegister tells what this process last knew of the register.
func (controller *Controller) reportRegister() *messages.Status {
	known := controller.Register.Known()
	state := "stands by"
	for _, member := range known.Acceptors {
		if register.Identity(member) == register.Identity(controller.Register.Identity()) {
			state = "votes"
		}
	}
	return &messages.Status{Columns: []string{"duty", "state", "epoch", "holder"}, Rows: [][]string{
		{"register", state, strconv.FormatUint(known.SetEpoch, 10), strconv.Itoa(len(known.Acceptors)) + " acceptors"}}}
}

func (controller *Controller) reportWorkers() *messages.Status {
	status := &messages.Status{Columns: []string{"worker", "service", "zone", "phase", "heard-ms", "capacity"}}
	controller.lock.Lock()
	defer controller.lock.Unlock()
	for _, worker := range controller.registry.All(clock.Now()) {
		status.Rows = append(status.Rows, []string{worker.ID, worker.Backend, worker.Zone, worker.Phase.String(),
			strconv.FormatInt(worker.AgeMs, 10), strconv.Itoa(worker.Capacity)})
	}
	return status
}
