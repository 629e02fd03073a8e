// Package store implements the store process. It connects the durable log of records, the
// leader election, the leader's term while this process leads, and the execution of items.
// docs/architecture.md describes which package owns which state.
package store

import (
	"crypto/rand"
	"encoding/hex"
	"os"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/batch/executorserver"
	"lemonarch/internal/batch/leader"
	"lemonarch/internal/batch/leadership"
	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/loadgossip"
)

// election is the part of leadership.Campaign that the process uses.
type election interface {
	leader.Election
	executorserver.Locator
	Run()
	Drain()
	MeasureSlowness()
	Current() leadership.Term
	ObserveEpoch(epoch uint64)
	OtherLeader() string
	Announced() messages.Leadership
	HandleAnnouncement(announcement *messages.LeaderAnnouncement) (*messages.Ack, error)
	ReportSlowness() *messages.StatusResponse
}

// Server is one store process.
type Server struct {
	Node   *agent.Agent
	Gossip *loadgossip.Gossip
	Log    *replicalog.Log

	election  election
	executor  *executorserver.Server
	forwarder *forwarder
	// deduplicator remembers the calls received, to detect a second copy of a call.
	deduplicator transport.Deduplicator
}

// New opens the log in the data directory and creates the process.
func New(nodeSettings *settings.Settings, log hclog.Logger) (*Server, error) {
	if err := os.MkdirAll(nodeSettings.DataDir, 0o755); err != nil {
		return nil, replicalog.ErrReplicaLog.Wrap(err, "create data-dir")
	}
	var identity [8]byte
	// Read never fails (crypto/rand).
	_, _ = rand.Read(identity[:])
	replica, err := replicalog.Open(recordlog.Directory(nodeSettings.DataDir), hex.EncodeToString(identity[:]))
	if err != nil {
		return nil, err
	}
	node := agent.New(nodeSettings, membership.RoleStore, constants.PortStore, replica.Disk(), log)
	s := newServer(node, replica)
	s.registerHandlers()
	s.registerReports()
	return s, nil
}

// newServer creates the parts of the process for a node and its log.
func newServer(node *agent.Agent, replica *replicalog.Log) *Server {
	s := &Server{Node: node, Gossip: loadgossip.New(node), Log: replica}
	s.executor = executorserver.New(s.Gossip, s)
	s.forwarder = newForwarder(func() transport.Transport { return node.Transport }, node.Stop)
	s.election = leadership.New(node, func(elected messages.Leadership, stores []messages.Member) leadership.Term {
		return s.newTerm(elected, stores)
	})
	return s
}

// newTerm creates this process's term as the leader of an epoch.
func (s *Server) newTerm(elected messages.Leadership, stores []messages.Member) *leader.Term {
	process := &leader.Process{Node: s.Node, Log: s.Log, Election: s.election, StopJob: s.executor.StopJob}
	return leader.NewTerm(process, elected, stores)
}

// currentTerm returns this process's term, or nil if there is none or it has ended.
func (s *Server) currentTerm() *leader.Term {
	term, _ := s.election.Current().(*leader.Term)
	return term
}

// Run serves until Shutdown.
func (s *Server) Run() error {
	if err := s.Node.Start(); err != nil {
		return err
	}
	s.Gossip.Start()
	s.executor.Start()
	go s.election.MeasureSlowness()
	go s.Node.PullFirst(func() {})
	go clock.Every(constants.GossipPeriod*2, s.Node.Stop, func() {
		if err := s.Log.CompactIfDue(clock.Now()); err != nil {
			s.Node.Log.Error("failed to compact log", "err", err.Error())
		}
	})
	s.Node.Log.Info("serving", "internal", s.Node.Self.Address, "disk", s.Node.Self.Disk)
	s.election.Run()
	return nil
}

// Shutdown resigns the leadership first, so that another store takes over at once. It then
// releases the items running here, together with their events so far.
func (s *Server) Shutdown() {
	s.election.Drain()
	s.Node.Drain()
	if term := s.currentTerm(); term != nil {
		term.Close("shutting down")
		term.Resign()
	}
	s.executor.Drain()
	s.Node.Shutdown()
	clock.Sleep(constants.TickPeriod)
}
