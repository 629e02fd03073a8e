package workerserver

import (
	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/contactserver"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
)

// Announcer notifies the fleet of changes of workers.
type Announcer interface {
	// AnnounceWorker announces a change of a worker. For a change that must be known before it is
	// acknowledged, it returns once the processes in contact have it, or after a timeout.
	AnnounceWorker(worker messages.Worker)
}

// Server handles the calls of workers, and the requests of other processes about workers.
type Server struct {
	*Table
	node      *agent.Agent
	replica   *registerserver.Replica
	contact   *contactserver.Server
	announcer Announcer
	durable   durableChanges
}

// New creates the server on an open table and registers the handlers for other processes' requests.
func New(table *Table, replica *registerserver.Replica, contact *contactserver.Server, announce Announcer) *Server {
	s := &Server{Table: table, node: replica.Node, replica: replica, contact: contact, announcer: announce,
		durable: durableChanges{phases: map[string]messages.Phase{}}}
	runtime := s.node.Runtime
	process.Handle(runtime, messages.KindWorkersUpdate, s.handleUpdate)
	process.Handle(runtime, messages.KindWorkersPull, s.handlePull)
	process.Handle(runtime, messages.KindWorkersPersist, s.handlePersist)
	process.Handle(runtime, messages.KindWorkersRecover, s.handleRecover)
	return s
}

// handleUpdate applies changes of workers that another process forwards.
func (s *Server) handleUpdate(req *messages.WorkersUpdate) (*messages.Ack, error) {
	s.Merge(req.Workers)
	s.node.NoteContact(req.From)
	return &messages.Ack{Accepted: true}, nil
}

// handlePull responds with the changes after a version, without those that the requester already has
// according to its bucket sums.
func (s *Server) handlePull(req *messages.WorkersPullRequest) (*messages.WorkersUpdate, error) {
	if s.Recovering() {
		// The file may be older than a drain that was acknowledged.
		return nil, contactserver.ErrNoContact.New("workers not known yet")
	}
	update := &messages.WorkersUpdate{From: membership.Key(s.node.Self)}
	update.Workers, update.Table = s.differing(req.Since, req.Buckets, s.node.Self.Incarnation)
	return update, nil
}

// Forget drops workers whose last heartbeat is more than twice constants.ForgetAfter ago, whether they
// departed or fell silent.
func (s *Server) Forget() {
	s.forget()
	s.durable.trim(func(id string) bool {
		_, known := s.Get(id)
		return known
	})
}
