// Package store is the process that keeps lots: durable copies, the duty of
// deciding on them, and the running of their items.
package store

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/lease"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/loadgossip"
)

// Server is one storage process.
type Server struct {
	Node   *agent.Agent
	Gossip *loadgossip.Gossip
	Log    *ReplicaLog

	lock        sync.Mutex
	lease       lease.Hold
	sequence    uint64
	term        *term
	value       messages.RegisterValue
	lastRead    clock.Instant
	announced   messages.Leadership
	announcedAt clock.Instant
	startedAt   clock.Instant
	draining    atomic.Bool
	executor    *executorLoop
	yieldUntil  clock.Instant
	done        chan struct{}
	// deduplicator knows the hand-ins that have come, so that a second copy of one is seen.
	deduplicator transport.Deduplicator
	// slowness is this machine's, resignedAt when it last left the duty to others for it.
	slowness   slowness
	resignedAt clock.Instant
}

// New opens the disk and prepares the process.
func New(nodeSettings *settings.Settings, log hclog.Logger) (*Server, error) {
	if err := os.MkdirAll(nodeSettings.DataDir, 0o755); err != nil {
		return nil, ErrCorrupt.Wrap(err, "data-dir")
	}
	var name [8]byte
	_, _ = rand.Read(name[:])
	store, err := OpenReplicaLog(recordlog.Directory(nodeSettings.DataDir), hex.EncodeToString(name[:]))
	if err != nil {
		return nil, err
	}
	runtime := agent.New(nodeSettings, membership.RoleStore, constants.PortStore, store.Disk(), log)
	server := &Server{Node: runtime, Gossip: loadgossip.New(runtime), Log: store, startedAt: clock.Now(), done: make(chan struct{})}
	server.executor = newExecutorLoop(server)
	server.registerHandlers()
	server.reports()
	return server, nil
}

func (s *Server) budget() int { return s.Node.Settings.Budget() }

// member is this process as one of the store set.
func (s *Server) member() messages.Member {
	own := s.Node.Self
	return messages.Member{Name: own.Name, Disk: own.Disk, Address: own.Address, Zone: own.Zone}
}

// observeEpoch ends our own term when a later epoch is seen at work.
func (s *Server) observeEpoch(epoch uint64) {
	if current := s.current(); current != nil && current.leadership.Epoch < epoch {
		current.close("a later epoch is at work")
	}
}

// current gives the term that has not ended, or nil.
func (s *Server) current() *term {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.term != nil && s.term.closed() {
		return nil
	}
	return s.term
}

// holdsLease tells whether we may act as the holder at this moment.
func (s *Server) holdsLease() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.lease.Valid(clock.Now())
}

// Run serves until told to stop.
func (s *Server) Run() error {
	if err := s.Node.Start(); err != nil {
		return err
	}
	s.Gossip.Start()
	s.executor.runLoops()
	go s.measureSlowness()
	go s.Node.PullFirst(func() {})
	go clock.Every(constants.GossipPeriod*2, s.Node.Stop, func() {
		if err := s.Log.CompactIfDue(clock.Now()); err != nil {
			s.Node.Log.Error("file not rewritten", "why", err.Error())
		}
	})
	s.Node.Log.Info("serving", "internal", s.Node.Self.Address, "disk", s.Node.Self.Disk)
	s.campaign()
	return nil
}

// Shutdown gives the duty up first, so that another takes it at once.
func (s *Server) Shutdown() {
	s.draining.Store(true)
	s.Node.Drain()
	if current := s.current(); current != nil {
		current.close("leaving")
		current.resign()
	}
	// What runs here goes back with its events, to whoever holds the duty next.
	s.executor.drain()
	s.Node.Shutdown()
	clock.Sleep(constants.TickPeriod)
}
