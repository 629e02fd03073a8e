package workerserver

import (
	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/contactserver"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
)

// Announcer notifies the fleet of a change of a worker. It returns once the processes in
// contact have it, or after a bound, where the change binds whoever acknowledges it.
type Announcer interface {
	AnnounceWorker(worker messages.Worker)
}

// Server serves workers, and other controllers that ask about workers.
type Server struct {
	*Table
	node     *agent.Agent
	replica  *registerserver.Replica
	contact  *contactserver.Server
	announce Announcer
	durable  durableChanges
}

// New makes the server on an open table and registers the requests of other processes.
func New(table *Table, replica *registerserver.Replica, contact *contactserver.Server, announce Announcer) *Server {
	s := &Server{Table: table, node: replica.Node, replica: replica, contact: contact, announce: announce,
		durable: durableChanges{phases: map[string]messages.Phase{}}}
	runtime := s.node.Runtime
	process.Handle(runtime, messages.KindWorkersUpdate, s.handleUpdate)
	process.Handle(runtime, messages.KindWorkersPull, s.handlePull)
	process.Handle(runtime, messages.KindWorkersPersist, s.handlePersist)
	process.Handle(runtime, messages.KindWorkersRecover, s.handleRecover)
	return s
}

// handleUpdate takes changes of workers that another process passes on.
func (s *Server) handleUpdate(req *messages.WorkersUpdate) (*messages.Ack, error) {
	s.Merge(req.Workers)
	s.node.NoteContact(req.From)
	return &messages.Ack{Accepted: true}, nil
}

// handlePull gives the changes after a clock, without those that the asker has by its sums.
func (s *Server) handlePull(req *messages.WorkersPullRequest) (*messages.WorkersUpdate, error) {
	if s.Recovering() {
		// What the file says may be older than a drain that was acknowledged.
		return nil, contactserver.ErrNoContact.New("workers not known yet")
	}
	update := &messages.WorkersUpdate{From: membership.Key(s.node.Self)}
	update.Workers, update.Table = s.differing(req.Since, req.Buckets, s.node.Self.Incarnation)
	return update, nil
}

// Forget drops what was known of workers that departed or were silent for long.
func (s *Server) Forget() {
	s.forget()
	s.durable.trim(func(id string) bool {
		_, known := s.Get(id)
		return known
	})
}
