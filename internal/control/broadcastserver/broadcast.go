package broadcastserver

import (
	"strconv"

	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Broadcast sends an update to all processes down the tree. It returns once all in contact
// have it, or after the timeout; what is then under way goes on. From and Sequence of the
// update are filled in here.
func (s *Server) Broadcast(update *messages.RelayRequest, timeout clock.Duration) {
	update.From, update.Sequence = membership.Key(s.node.Self), s.sequence.Add(1)
	tree, sends := broadcast.NewTree(s.node.Self, s.directory(update.Generation), fanout(update), clock.Now())
	if update.Generation > 0 {
		s.addToBacklog(update, tree.Unconfirmed(sends), constants.BacklogForwardedDelay)
	}
	delivery := s.deliver(update, tree, sends)
	timer := clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-delivery.done:
	case <-timer.C:
		s.node.Log.Debug("update not confirmed by all in time", "missing", len(delivery.missing()))
	}
}

// AnnounceWorker broadcasts a change of a worker. It waits for the fleet only where the
// caller's acknowledgement binds it: a worker that is new may be known a moment later.
func (s *Server) AnnounceWorker(worker messages.Worker) {
	binding := worker.Phase != messages.PhaseSteady
	done := s.batches.add(worker, binding)
	if !binding {
		return
	}
	timer := clock.NewTimer(constants.BroadcastTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// directory gives every other process, the silent ones included, until constants.ForgetAfter
// has passed since anybody was in contact with it: one that is silent to this process may be
// in contact with others. Who follows a generation already need not get it again.
func (s *Server) directory(generation int64) []messages.NodeInfo {
	var found []messages.NodeInfo
	for _, entry := range s.node.All("") {
		follows := generation > 0 && entry.Generation >= generation && entry.Role != membership.RoleController
		if !follows {
			found = append(found, entry)
		}
	}
	return found
}

// fanout is how many of a zone get an update directly, 0 for all: an update of a worker is
// short, a configuration is not.
func fanout(update *messages.RelayRequest) int {
	if update.Generation > 0 {
		return 2 * constants.BodyFanout
	}
	return 0
}

// handleRelay takes an update for this zone and begins to deliver it there.
func (s *Server) handleRelay(update *messages.RelayRequest) (*messages.Ack, error) {
	s.workers.Merge(update.Workers)
	if update.Generation > s.node.Generation() {
		s.node.ApplyConfig(update.Body)
	}
	tree, sends := broadcast.NewZoneTree(s.node.Self, s.directory(update.Generation), s.expected(update), fanout(update), clock.Now())
	delivery := s.deliver(update, tree, sends)
	s.lock.Lock()
	s.deliveries[relayKey(update.From, update.Sequence)] = delivery
	s.lock.Unlock()
	return &messages.Ack{Accepted: true}, nil
}

// expected gives those that the sender knows in this zone, less those that follow the
// update's generation already.
func (s *Server) expected(update *messages.RelayRequest) []uint32 {
	follows := map[uint32]bool{}
	for _, entry := range s.directory(0) {
		follows[membership.Hash(entry)] = update.Generation > 0 && entry.Generation >= update.Generation
	}
	var expected []uint32
	for _, hash := range update.Expect {
		if !follows[hash] {
			expected = append(expected, hash)
		}
	}
	return expected
}

// handleRelayWait says whom of the zone a relayed update has not reached.
func (s *Server) handleRelayWait(req *messages.RelayWaitRequest) (*messages.RelayWaitResponse, error) {
	s.lock.Lock()
	delivery := s.deliveries[relayKey(req.From, req.Sequence)]
	s.lock.Unlock()
	if delivery == nil {
		return &messages.RelayWaitResponse{}, nil
	}
	timer := clock.NewTimer(constants.ZoneBroadcastTimeout)
	defer timer.Stop()
	select {
	case <-delivery.done:
	case <-timer.C:
	}
	return &messages.RelayWaitResponse{Known: true, Missing: delivery.missing()}, nil
}

// relayKey names an update of another controller.
func relayKey(from string, sequence uint64) string {
	return from + "#" + strconv.FormatUint(sequence, 10)
}
