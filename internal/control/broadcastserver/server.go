// Package broadcastserver spreads changes of workers and configurations over the fleet: it
// makes the calls of a broadcast's tree, takes part in the trees of other controllers, and
// retries whoever did not confirm. The tree and the backlog, without I/O, are package
// broadcast; docs/spreading.md has the argument.
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

// Workers is the table of workers that relayed changes go into.
type Workers interface {
	Merge(entries []messages.Worker)
	Get(id string) (messages.Worker, bool)
}

// Server makes the broadcasts of one controller.
type Server struct {
	node    *agent.Agent
	workers Workers
	// sequence numbers the updates of this process; no incarnation repeats one.
	sequence atomic.Uint64
	batches  batches

	// lock guards the fields below.
	lock sync.Mutex
	// deliveries are those made for other controllers, by relayKey.
	deliveries map[string]*delivery
	backlog    *broadcast.Backlog
}

// New makes the server and registers the requests of other controllers.
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

// Forget drops deliveries for other controllers that ended long ago.
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
