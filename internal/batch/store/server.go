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

	"lemonarch/internal/control/lease"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/node"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/loadgossip"
)

// Server is one storage process.
type Server struct {
	Node   *node.Node
	Gossip *loadgossip.Gossip
	Store  *Store

	lock    sync.Mutex
	hold    lease.Hold
	turn    uint64
	term    *term
	value   messages.RegisterValue
	read    clock.Instant
	told    messages.Leadership
	toldAt  clock.Instant
	begun   clock.Instant
	leaving atomic.Bool
	driver  *driver
	resting clock.Instant
	done    chan struct{}
	// once knows the hand-ins that have come, so that a second copy of one is seen.
	once transport.Deduplicator
	// pace is this machine's, gaveUp when it last left the duty to others for it.
	pace   pace
	gaveUp clock.Instant
}

// New opens the disk and prepares the process.
func New(nodeSettings *settings.Settings, log hclog.Logger) (*Server, error) {
	if err := os.MkdirAll(nodeSettings.DataDir, 0o755); err != nil {
		return nil, ErrCorrupt.Wrap(err, "data-dir")
	}
	var name [8]byte
	_, _ = rand.Read(name[:])
	store, err := OpenStore(recordlog.Directory(nodeSettings.DataDir), hex.EncodeToString(name[:]))
	if err != nil {
		return nil, err
	}
	runtime := node.New(nodeSettings, membership.RoleStore, constants.PortStore, store.Disk(), log)
	server := &Server{Node: runtime, Gossip: loadgossip.New(runtime), Store: store, begun: clock.Now(), done: make(chan struct{})}
	server.driver = newDriver(server)
	server.answerers()
	server.driverAnswerers()
	server.reports()
	return server, nil
}

func (s *Server) budget() int { return s.Node.Settings.Budget() }

// member is this process as one of the store set.
func (s *Server) member() messages.Member {
	own := s.Node.Self
	return messages.Member{Name: own.Name, Disk: own.Disk, Address: own.Address, Zone: own.Zone}
}

func (s *Server) answerers() {
	runtime := s.Node
	runtime.Handle(messages.KindFence, func(body []byte) ([]byte, error) {
		req := &messages.FenceRequest{}
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		resp, err := s.Store.Raise(req)
		if err != nil {
			return nil, err
		}
		s.fenced(req.Epoch)
		return transport.Encode(&resp)
	})
	runtime.Handle(messages.KindAppend, func(body []byte) ([]byte, error) {
		req := &messages.AppendRequest{}
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		s.fenced(req.Epoch)
		resp, err := s.Store.Append(req)
		if err != nil {
			runtime.Log.Error("append refused by disk", "why", err.Error())
			return nil, err
		}
		return transport.Encode(&resp)
	})
	runtime.Handle(messages.KindFetch, func(body []byte) ([]byte, error) {
		req := &messages.FetchRequest{}
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		resp, err := s.Store.Fetch(req)
		if err != nil {
			return nil, err
		}
		return transport.Encode(resp)
	})
	runtime.Handle(messages.KindLeaderAnnouncement, func(body []byte) ([]byte, error) {
		announcement := &messages.LeaderAnnouncement{}
		if err := transport.Decode(body, announcement); err != nil {
			return nil, err
		}
		s.lock.Lock()
		if announcement.Leadership.Epoch >= s.told.Epoch {
			s.told, s.toldAt = announcement.Leadership, clock.Now()
			if announcement.Resigned {
				s.toldAt, s.read = 0, 0
			}
		}
		s.lock.Unlock()
		s.fenced(announcement.Leadership.Epoch)
		return transport.Encode(&messages.Ack{Accepted: true})
	})
	runtime.Handle(messages.KindJobCall, s.lotCall)
	runtime.Handle(messages.KindCopy, s.copyFrom)
}

// fenced ends our own term when a later epoch is seen at work.
func (s *Server) fenced(epoch uint64) {
	if current := s.current(); current != nil && current.duty.Epoch < epoch {
		current.end("a later epoch is at work")
	}
}

// current gives the term that has not ended, or nil.
func (s *Server) current() *term {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.term != nil && s.term.over() {
		return nil
	}
	return s.term
}

// holds tells whether we may act as the holder at this moment.
func (s *Server) holds() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.hold.Stands(clock.Now())
}

// Run serves until told to stop.
func (s *Server) Run() error {
	if err := s.Node.Start(); err != nil {
		return err
	}
	s.Gossip.Start()
	s.driver.run()
	go s.pacing()
	go s.Node.PullFirst(func() {})
	go clock.Every(constants.GossipPeriod*2, s.Node.Stop, func() {
		if err := s.Store.Tidy(clock.Now()); err != nil {
			s.Node.Log.Error("file not rewritten", "why", err.Error())
		}
	})
	s.Node.Log.Info("serving", "internal", s.Node.Self.Address, "disk", s.Node.Self.Disk)
	s.campaign()
	return nil
}

// Shutdown gives the duty up first, so that another takes it at once.
func (s *Server) Shutdown() {
	s.leaving.Store(true)
	s.Node.Drain()
	if current := s.current(); current != nil {
		current.end("leaving")
		current.giveUp()
	}
	// What runs here goes back with its events, to whoever holds the duty next.
	s.driver.leave()
	s.Node.Shutdown()
	clock.Sleep(constants.TickPeriod)
}
