package workerserver

import (
	"sync"

	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// durableChanges records which drains and departures a majority of the acceptors has on
// disk. Only these are acknowledged. It is safe for concurrent use.
type durableChanges struct {
	lock   sync.Mutex
	phases map[string]messages.Phase
}

func (d *durableChanges) isDurable(worker messages.Worker) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.phases[worker.ID] >= worker.Phase
}

func (d *durableChanges) setDurable(worker messages.Worker) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.phases[worker.ID] = max(d.phases[worker.ID], worker.Phase)
}

// trim removes workers that are no longer in the table.
func (d *durableChanges) trim(known func(id string) bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for id := range d.phases {
		if !known(id) {
			delete(d.phases, id)
		}
	}
}

// persistAtQuorum asks every acceptor, this process included if it is one, to write a drain or
// a departure to disk. It reports whether a majority did so within constants.BroadcastTimeout.
func (s *Server) persistAtQuorum(worker messages.Worker) bool {
	sets := s.contact.Sets()
	req := &messages.WorkersPersistRequest{From: s.node.Self.Address, Workers: []messages.Worker{worker}}
	call := func(member messages.Member) (messages.Member, bool, error) {
		if member.Address == s.node.Self.Address {
			return member, true, s.file.persist(req.Workers)
		}
		resp := &messages.ContactResponse{}
		err := transport.Call(s.node.Transport, member.Address, messages.KindWorkersPersist, req, resp, constants.BroadcastTimeout)
		// The response counts for the disk that the change was written to.
		member.Disk = resp.Disk
		return member, true, err
	}
	return registerserver.QuorumCall(&sets, constants.BroadcastTimeout, call, func(written bool) bool { return written })
}

// handlePersist handles another controller's request to write changes of workers to disk.
func (s *Server) handlePersist(req *messages.WorkersPersistRequest) (*messages.ContactResponse, error) {
	s.Merge(req.Workers)
	if err := s.file.persist(req.Workers); err != nil {
		return nil, err
	}
	return &messages.ContactResponse{Disk: s.replica.Disk()}, nil
}
