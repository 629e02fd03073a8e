package leader

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// stopJobRuns takes all acquisitions of a job back whose end is decided, and tells the
// executors that hold some. The lock is held. An executor that can't be told learns it
// when it renews, or stops when its lock ends.
func (t *Term) stopJobRuns(job *dispatch.Job) {
	var addresses []string
	for _, executor := range t.items.dispatcher.StopJob(job) {
		addresses = append(addresses, executor.Address)
	}
	if t.items.dispatcher.Uncertain(clock.Now()) {
		// Earlier leaders may have handed items of it to anybody.
		addresses = nil
		for _, entry := range t.process.Node.Live(membership.RoleStore) {
			addresses = append(addresses, entry.Address)
		}
		addresses = append(addresses, t.process.Node.Self.Address)
	}
	for _, address := range addresses {
		if address == t.process.Node.Self.Address {
			go t.process.StopJob(job.ID)
			continue
		}
		go func() {
			announcement, resp := &messages.StopJobRequest{Job: job.ID}, &messages.Ack{}
			for attempt := 0; attempt < 2; attempt++ {
				if transport.Call(t.process.Node.Transport, address, messages.KindStopJob, announcement, resp, constants.CallTimeout) == nil {
					return
				}
			}
		}()
	}
}
