package foreman

import (
	"strconv"

	"lemonarch/internal/pattern"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// reports registers what a foreman says to the shell.
func (foreman *Foreman) reports() {
	foreman.Stand.Report("duty", foreman.reportRegister)
	foreman.Stand.Report("workers", foreman.reportWorkers)
}

// reportRegister tells what this process last knew of the register.
func (foreman *Foreman) reportRegister() *pattern.Status {
	known := foreman.Register.Known()
	state := "stands by"
	for _, member := range known.Acceptors {
		if vise.Identity(member) == vise.Identity(foreman.Register.Identity()) {
			state = "votes"
		}
	}
	return &pattern.Status{Columns: []string{"duty", "state", "epoch", "holder"}, Rows: [][]string{
		{"register", state, strconv.FormatUint(known.SetEpoch, 10), strconv.Itoa(len(known.Acceptors)) + " acceptors"}}}
}

func (foreman *Foreman) reportWorkers() *pattern.Status {
	status := &pattern.Status{Columns: []string{"worker", "service", "hall", "phase", "heard-ms", "capacity"}}
	foreman.lock.Lock()
	defer foreman.lock.Unlock()
	for _, worker := range foreman.roster.All(watch.Now()) {
		status.Rows = append(status.Rows, []string{worker.ID, worker.Backend, worker.Hall, worker.Phase.String(),
			strconv.FormatInt(worker.AgeMs, 10), strconv.Itoa(worker.Capacity)})
	}
	return status
}
