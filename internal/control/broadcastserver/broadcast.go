package broadcastserver

import (
	"strconv"

	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Broadcast sends an update to all processes along a tree. It returns once all processes in contact
// have accepted it or failed (those that receive a configuration by forwarding are not awaited), or
// after the timeout; calls that are then in flight continue. It sets From and Sequence of the update.
func (s *Server) Broadcast(update *messages.RelayRequest, timeout clock.Duration) {
	update.From, update.Sequence = membership.Key(s.node.Self), s.sequence.Add(1)
	tree, sends := broadcast.NewTree(s.node.Self, s.directory(update.Generation), fanout(update), clock.Now())
	if update.Generation > 0 {
		s.addToBacklog(update, tree.Unconfirmed(sends), constants.BacklogForwardedDelay)
	}
	delivery := s.startDelivery(update, tree, sends)
	timer := clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-delivery.done:
	case <-timer.C:
		s.node.Log.Debug("update not confirmed by all processes before the timeout", "missing", len(delivery.missing()))
	}
}

// AnnounceWorker broadcasts a change of a worker. For a drain or a departure it waits for the fleet, at
// most for constants.BroadcastTimeout, because the acknowledgement that the caller then sends promises
// that the fleet knows of the change. Other changes are not waited for: a new worker may become known a
// moment later.
func (s *Server) AnnounceWorker(worker messages.Worker) {
	waitForFleet := worker.Phase != messages.PhaseSteady
	done := s.batches.add(worker, waitForFleet)
	if !waitForFleet {
		return
	}
	timer := clock.NewTimer(constants.BroadcastTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// directory returns every other process, including silent ones, until constants.ForgetAfter has
// passed since any process was in contact with it, because a process that is silent to this
// one may be in contact with others. Processes other than controllers that already follow the
// generation are left out, since they do not need it again.
func (s *Server) directory(generation int64) []messages.NodeInfo {
	var entries []messages.NodeInfo
	for _, entry := range s.node.All("") {
		upToDate := generation > 0 && entry.Generation >= generation && entry.Role != membership.RoleController
		if !upToDate {
			entries = append(entries, entry)
		}
	}
	return entries
}

// fanout returns the number of processes in a zone that receive an update directly, 0 for all. Worker
// updates are short and are sent to all directly; configurations are large and are forwarded.
func fanout(update *messages.RelayRequest) int {
	if update.Generation > 0 {
		return 2 * constants.BodyFanout
	}
	return 0
}

// handleRelay accepts an update from another controller and starts its delivery in this zone.
func (s *Server) handleRelay(update *messages.RelayRequest) (*messages.Ack, error) {
	s.workers.Merge(update.Workers)
	if update.Generation > s.node.Generation() {
		s.node.ApplyConfig(update.Body)
	}
	tree, sends := broadcast.NewZoneTree(s.node.Self, s.directory(update.Generation), s.expected(update), fanout(update), clock.Now())
	delivery := s.startDelivery(update, tree, sends)
	s.lock.Lock()
	s.deliveries[relayKey(update.From, update.Sequence)] = delivery
	s.lock.Unlock()
	return &messages.Ack{Accepted: true}, nil
}

// expected returns the hashes of the processes that the sender knows in this zone, without those
// that already follow the update's generation.
func (s *Server) expected(update *messages.RelayRequest) []uint32 {
	upToDate := map[uint32]bool{}
	for _, entry := range s.directory(0) {
		upToDate[membership.Hash(entry)] = update.Generation > 0 && entry.Generation >= update.Generation
	}
	var expected []uint32
	for _, hash := range update.Expect {
		if !upToDate[hash] {
			expected = append(expected, hash)
		}
	}
	return expected
}

// handleRelayWait waits until a relayed update is delivered, at most for
// constants.ZoneBroadcastTimeout, and responds with the processes of the zone that it has not reached.
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

// relayKey identifies an update of another controller.
func relayKey(from string, sequence uint64) string {
	return from + "#" + strconv.FormatUint(sequence, 10)
}
