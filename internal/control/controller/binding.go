package controller

import (
	"sync"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// durableDrains remembers which drains and departures a majority of the acceptors has on disk:
// only these are acknowledged.
type durableDrains struct {
	lock   sync.Mutex
	phases map[string]messages.Phase
}

func (b *durableDrains) isDurable(worker messages.Worker) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.phases[worker.ID] >= worker.Phase
}

func (b *durableDrains) setDurable(worker messages.Worker) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.phases[worker.ID] = max(b.phases[worker.ID], worker.Phase)
}

// trim forgets workers that the registry does not know any more.
func (b *durableDrains) trim(known func(id string) bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for id := range b.phases {
		if !known(id) {
			delete(b.phases, id)
		}
	}
}

// workersToPersist gives all that belongs in the file of workers.
func (c *Controller) workersToPersist() []messages.Worker {
	c.lock.Lock()
	defer c.lock.Unlock()
	return append(c.registry.All(clock.Now()), c.fromFile...)
}

// persistAtQuorum has a drain or a departure written to disk by a majority of the
// acceptors, this process among them where it is one, and tells whether that was done
// in time.
func (c *Controller) persistAtQuorum(worker messages.Worker) bool {
	c.contact.lock.Lock()
	sets := c.contact.sets
	c.contact.lock.Unlock()
	members := register.Targets(&sets)
	responses := make(chan persistResult, len(members))
	req := &messages.WorkersPersistRequest{From: c.Node.Self.Address, Workers: []messages.Worker{worker}}
	for _, member := range members {
		go func() {
			if member.Address == c.Node.Self.Address {
				responses <- persistResult{member, c.workerFile.persist(req.Workers)}
				return
			}
			resp := &messages.ContactResponse{}
			err := transport.Call(c.Node.Transport, member.Address, messages.KindWorkersPersist, req, resp, constants.BroadcastTimeout)
			// It counts for the disk that it was written to.
			member.Disk = resp.Disk
			responses <- persistResult{member, err}
		}()
	}
	timer, answered := clock.NewTimer(constants.BroadcastTimeout), map[string]bool{}
	defer timer.Stop()
	for range members {
		select {
		case answer := <-responses:
			answered[register.Identity(answer.member)] = answer.err == nil
		case <-timer.C:
			return false
		}
		if register.Quorum(&sets, answered) {
			return true
		}
	}
	return false
}

// persistResult is an acceptor's answer to WorkersPersistRequest.
type persistResult struct {
	member messages.Member
	err    error
}

// handleWorkersPersist answers another controller that wants changes of workers on disk.
func (c *Controller) handleWorkersPersist(req *messages.WorkersPersistRequest) (transport.Marshaler, error) {
	c.mergeWorkers(req.Workers)
	if err := c.workerFile.persist(req.Workers); err != nil {
		return nil, err
	}
	return &messages.ContactResponse{Disk: c.Register.Disk()}, nil
}
