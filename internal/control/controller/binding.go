package controller

import (
	"sync"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// binding remembers which drains and departures a majority of the acceptors has on disk:
// only these are acknowledged.
type binding struct {
	lock sync.Mutex
	kept map[string]messages.Phase
}

func (b *binding) isKept(worker messages.Worker) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.kept[worker.ID] >= worker.Phase
}

func (b *binding) setKept(worker messages.Worker) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.kept[worker.ID] = max(b.kept[worker.ID], worker.Phase)
}

// trim forgets workers that the registry does not know any more.
func (b *binding) trim(known func(id string) bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for id := range b.kept {
		if !known(id) {
			delete(b.kept, id)
		}
	}
}

// remembered gives all that belongs in the file of workers.
func (c *Controller) remembered() []messages.Worker {
	c.lock.Lock()
	defer c.lock.Unlock()
	return append(c.registry.All(clock.Now()), c.recalled...)
}

// keepAtMajority has a drain or a departure written to disk by a majority of the
// acceptors, this process among them where it is one, and tells whether that was done
// in time.
func (c *Controller) keepAtMajority(worker messages.Worker) bool {
	c.contact.lock.Lock()
	sets := c.contact.sets
	c.contact.lock.Unlock()
	members := register.Targets(&sets)
	answers := make(chan keepAnswer, len(members))
	question := &messages.WorkersKeep{From: c.Node.Own.Address, Workers: []messages.Worker{worker}}
	for _, member := range members {
		go func() {
			if member.Address == c.Node.Own.Address {
				answers <- keepAnswer{member, c.memory.keep(question.Workers)}
				return
			}
			back := &messages.ContactTold{}
			err := transport.Ask(c.Node.Wire, member.Address, messages.KindWorkersKeep, question, back, constants.TreeTime)
			// It counts for the disk that it was written to.
			member.Disk = back.Disk
			answers <- keepAnswer{member, err}
		}()
	}
	timer, answered := clock.NewTimer(constants.TreeTime), map[string]bool{}
	defer timer.Stop()
	for range members {
		select {
		case one := <-answers:
			answered[register.Identity(one.member)] = one.err == nil
		case <-timer.C:
			return false
		}
		if register.Quorum(&sets, answered) {
			return true
		}
	}
	return false
}

// keepAnswer is an acceptor's answer to WorkersKeep.
type keepAnswer struct {
	member messages.Member
	err    error
}

// workersKept answers another controller that wants changes of workers on disk.
func (c *Controller) workersKept(question *messages.WorkersKeep) (transport.Writable, error) {
	c.mergeWorkers(question.Workers)
	if err := c.memory.keep(question.Workers); err != nil {
		return nil, err
	}
	return &messages.ContactTold{Disk: c.Register.Disk()}, nil
}
