package executorserver

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// renew asks for all locks in one message.
func (s *Server) renew(entries []messages.Acknowledgement, epoch uint64) {
	sentAt := clock.Now()
	resp := s.acknowledge(entries, epoch, constants.CallTimeout/2)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.locks.renewing = false
	if resp == nil {
		// Asked again at once: the leadership may have changed hands.
		s.locks.renewedAt = 0
		return
	}
	s.stopRunsLocked(s.runner.HandleRenewals(entries, resp.Verdicts, sentAt, s.locks.duration))
}

// acknowledge carries a batch to the dispatcher; nil when it was not answered.
func (s *Server) acknowledge(entries []messages.Acknowledgement, epoch uint64, timeout clock.Duration) *messages.AcknowledgeResponse {
	own, leader := s.node.Self, s.leader.LeaderAddress()
	s.lock.Lock()
	draining := s.draining
	s.lock.Unlock()
	req := &messages.AcknowledgeRequest{Executor: own.Name, Incarnation: own.Incarnation, Address: own.Address, Zone: own.Zone, Entries: entries,
		KnownVersion: s.knownVersion(), Draining: draining, Epoch: epoch}
	resp := &messages.AcknowledgeResponse{}
	if leader == own.Address {
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

// acknowledgeLoop repeats acknowledgements until they are answered.
// gatherTime is how long it waits for more after the first.
func (s *Server) acknowledgeLoop(changed chan struct{}, gatherTime clock.Duration, gather func() []messages.Acknowledgement) {
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
			batch := gather()
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
