// Package broadcastserver distributes worker changes and configurations to the fleet. It makes the
// calls of a broadcast tree, relays the broadcasts of other controllers in its zone, and
// retries processes that have not confirmed an update. The tree and the backlog, which do no
// I/O, are in package broadcast; docs/spreading.md contains the correctness argument.
package broadcastserver

import (
	"sync"
	"sync/atomic"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
)

// Workers is the worker table into which relayed changes are merged.
type Workers interface {
	Merge(entries []messages.Worker)
	Get(id string) (messages.Worker, bool)
}

// Server runs the broadcasts of one controller.
type Server struct {
	node    *agent.Agent
	workers Workers
	// sequence numbers the updates of this process. It starts at the incarnation, so that no later
	// incarnation reuses a number.
	sequence atomic.Uint64
	batches  batches

	// lock guards the fields below.
	lock sync.Mutex
	// deliveries are the broadcasts relayed for other controllers, keyed by relayKey.
	deliveries map[string]*delivery
	backlog    *broadcast.Backlog
}

// New creates the server and registers the handlers for requests of other controllers.
func New(node *agent.Agent, workers Workers) *Server {
	s := &Server{node: node, workers: workers, deliveries: map[string]*delivery{}, backlog: broadcast.NewBacklog()}
	s.sequence.Store(uint64(node.Self.Incarnation))
	s.batches = batches{
		afterWindow: afterBatchWindow,
		broadcast: func(workers []messages.Worker) {
			s.Broadcast(&messages.RelayRequest{Workers: workers}, constants.BroadcastTimeout)
		},
	}
	process.Handle(node.Runtime, messages.KindRelay, s.handleRelay)
	process.Handle(node.Runtime, messages.KindRelayWait, s.handleRelayWait)
	return s
}

// Forget removes relayed deliveries that started more than constants.BulkCallTimeout ago.
func (s *Server) Forget() {
	now := clock.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	for key, delivery := range s.deliveries {
		if now.Sub(delivery.startedAt) > constants.BulkCallTimeout {
			delete(s.deliveries, key)
		}
	}
}
