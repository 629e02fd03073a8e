package broadcastserver

import (
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// addToBacklog records processes that have not confirmed an update, so that it is sent again until
// they confirm it, restart, or have been silent for so long that the directory removes them.
func (s *Server) addToBacklog(update *messages.RelayRequest, entries []messages.NodeInfo, backoff clock.Duration) {
	var ids []string
	for _, worker := range update.Workers {
		ids = append(ids, worker.ID)
	}
	now := clock.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, entry := range entries {
		s.backlog.Add(entry, update.Generation, ids, backoff, now)
	}
}

// RetryBacklog starts the deliveries of the backlog that are due.
func (s *Server) RetryBacklog() {
	now := clock.Now()
	s.lock.Lock()
	if len(s.backlog.Names()) == 0 {
		s.lock.Unlock()
		return
	}
	s.lock.Unlock()
	directory := s.node.All("")
	s.lock.Lock()
	due := s.backlog.Due(directory, now)
	updates := make([][]messages.Worker, len(due))
	for i, delivery := range due {
		for _, id := range delivery.Workers {
			if worker, known := s.workers.Get(id); known {
				updates[i] = append(updates[i], worker)
			}
		}
	}
	s.lock.Unlock()
	for i, delivery := range due {
		go s.redeliver(delivery, updates[i])
	}
}

// redeliver makes one delivery. For a configuration it sends only the generation number: the process
// pulls the body from the controllers of its zone, so that no single link carries every copy.
func (s *Server) redeliver(delivery broadcast.Delivery, updates []messages.Worker) {
	wire, address, from := s.node.Transport, delivery.Entry.Address, membership.Key(s.node.Self)
	ack := &messages.Ack{Accepted: true}
	if len(updates) > 0 {
		push := &messages.WorkersUpdate{From: from, Workers: updates}
		if transport.Call(wire, address, messages.KindWorkersUpdate, push, &messages.Ack{}, constants.CallTimeout) != nil {
			return
		}
	}
	if delivery.Generation > 0 {
		push := &messages.ConfigPush{Generation: delivery.Generation}
		if transport.Call(wire, address, messages.KindConfigPush, push, ack, constants.CallTimeout) != nil {
			return
		}
	}
	if ack.Accepted {
		s.lock.Lock()
		s.backlog.Confirmed(delivery)
		s.lock.Unlock()
	}
}
