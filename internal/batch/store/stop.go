package store

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// stopJobRuns takes all acquisitions of a lot back whose end is decided, and tells the
// drivers that hold some. The lock is held. A driver that can't be told learns it
// when it renews, or stops when its lock ends.
func (t *term) stopJobRuns(job *dispatch.Job) {
	var addresses []string
	for _, executor := range t.dispatcher.StopJob(job) {
		addresses = append(addresses, executor.Address)
	}
	if t.dispatcher.Uncertain(clock.Now()) {
		// Earlier holders may have handed items of it to anybody.
		addresses = nil
		for _, entry := range t.server.Node.Live(membership.RoleStore) {
			addresses = append(addresses, entry.Address)
		}
		addresses = append(addresses, t.server.Node.Self.Address)
	}
	for _, address := range addresses {
		if address == t.server.Node.Self.Address {
			go t.server.executor.stopJob(job.ID)
			continue
		}
		go func() {
			announcement, resp := &messages.StopJobRequest{Job: job.ID}, &messages.Ack{}
			for try := 0; try < 2; try++ {
				if transport.Call(t.server.Node.Transport, address, messages.KindStopJob, announcement, resp, constants.CallTimeout) == nil {
					return
				}
			}
		}()
	}
}

// acquire and acknowledge are the dispatcher's side, for drivers here and elsewhere.
func (s *Server) acquire(req *messages.AcquireRequest) *messages.AcquireResponse {
	if current := s.current(); current != nil {
		return current.acquire(req)
	}
	return &messages.AcquireResponse{NotLeader: true, Leader: s.notLeader().Leader}
}

func (s *Server) acknowledge(req *messages.AcknowledgeRequest) *messages.AcknowledgeResponse {
	if current := s.current(); current != nil {
		return current.acknowledge(req)
	}
	return &messages.AcknowledgeResponse{NotLeader: true, Leader: s.notLeader().Leader}
}
