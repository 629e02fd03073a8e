package executorserver

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// renew sends the renewals of all locks in one message and processes the verdicts.
func (s *Server) renew(entries []messages.Acknowledgement, epoch uint64) {
	sentAt := clock.Now()
	resp := s.acknowledge(entries, epoch, constants.CallTimeout/2)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.locks.renewing = false
	if resp == nil {
		// Retry immediately: the leadership may have changed.
		s.locks.renewedAt = 0
		return
	}
	s.stopRunsLocked(s.runner.HandleRenewals(entries, resp.Verdicts, sentAt, s.locks.duration))
}

// acknowledge sends a batch to the dispatcher. It returns nil if there was no response from a leader.
func (s *Server) acknowledge(entries []messages.Acknowledgement, epoch uint64, timeout clock.Duration) *messages.AcknowledgeResponse {
	self, leader := s.node.Self, s.leader.LeaderAddress()
	s.lock.Lock()
	draining := s.draining
	s.lock.Unlock()
	req := &messages.AcknowledgeRequest{Executor: self.Name, Incarnation: self.Incarnation, Address: self.Address, Zone: self.Zone, Entries: entries,
		KnownVersion: s.knownVersion(), Draining: draining, Epoch: epoch}
	resp := &messages.AcknowledgeResponse{}
	if leader == self.Address {
		resp = s.leader.Acknowledge(req)
	} else if leader == "" || transport.Call(s.node.Transport, leader, messages.KindAcknowledge, req, resp, timeout) != nil {
		return nil
	}
	if resp.NotLeader {
		return nil
	}
	s.updateExecutors(resp.Version, resp.Executors, clock.Now())
	return resp
}

// acknowledgeLoop sends acknowledgements until the dispatcher has responded to them. It waits for
// gatherTime after the first one, so that more of them fit into one message.
func (s *Server) acknowledgeLoop(changed chan struct{}, gatherTime clock.Duration, nextBatch func() []messages.Acknowledgement) {
	stop := s.node.Stop
	for {
		select {
		case <-stop:
			return
		case <-changed:
			clock.Sleep(gatherTime)
		case <-clock.After(constants.AcquireWait):
		}
		for {
			s.lock.Lock()
			batch := nextBatch()
			s.lock.Unlock()
			if len(batch) == 0 {
				break
			}
			backoff := constants.AckBatchWindow
			if resp := s.acknowledge(batch, 0, constants.RoundTimeout+constants.CallTimeout); resp != nil {
				s.lock.Lock()
				s.runner.HandleVerdicts(batch, resp.Verdicts)
				s.lock.Unlock()
			} else {
				backoff = constants.AckBackoff
			}
			select {
			case <-stop:
				return
			case <-clock.After(backoff):
			}
		}
	}
}
