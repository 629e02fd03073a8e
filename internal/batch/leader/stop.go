package leader

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// stopJobRuns revokes all acquisitions of a job that is ending, and notifies the executors that have
// some. An executor that can't be reached is notified when it renews its lock, or stops when the
// lock expires. The lock of the term is held.
func (t *Term) stopJobRuns(job *dispatch.Job) {
	var addresses []string
	for _, executor := range t.items.dispatcher.StopJob(job) {
		addresses = append(addresses, executor.Address)
	}
	if t.items.dispatcher.Uncertain(clock.Now()) {
		// Earlier leaders may have dispatched items of the job to any executor.
		addresses = nil
		for _, store := range t.process.Node.Live(membership.RoleStore) {
			addresses = append(addresses, store.Address)
		}
		addresses = append(addresses, t.process.Node.Self.Address)
	}
	for _, address := range addresses {
		if address == t.process.Node.Self.Address {
			go t.process.StopJob(job.ID)
			continue
		}
		go func() {
			req, resp := &messages.StopJobRequest{Job: job.ID}, &messages.Ack{}
			for attempt := 0; attempt < 2; attempt++ {
				if transport.Call(t.process.Node.Transport, address, messages.KindStopJob, req, resp, constants.CallTimeout) == nil {
					return
				}
			}
		}()
	}
}
