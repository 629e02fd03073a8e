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

func (binding *binding) isKept(worker messages.Worker) bool {
	binding.lock.Lock()
	defer binding.lock.Unlock()
	return binding.kept[worker.ID] >= worker.Phase
}

func (binding *binding) setKept(worker messages.Worker) {
	binding.lock.Lock()
	defer binding.lock.Unlock()
	binding.kept[worker.ID] = max(binding.kept[worker.ID], worker.Phase)
}

// trim forgets workers that the registry does not know any more.
func (binding *binding) trim(known func(id string) bool) {
	binding.lock.Lock()
	defer binding.lock.Unlock()
	for id := range binding.kept {
		if !known(id) {
			delete(binding.kept, id)
		}
	}
}

// remembered gives all that belongs in the file of workers.
func (controller *Controller) remembered() []messages.Worker {
	controller.lock.Lock()
	defer controller.lock.Unlock()
	return append(controller.registry.All(clock.Now()), controller.recalled...)
}

// keepAtMajority has a drain or a departure written to disk by a majority of the
// acceptors, this process among them where it is one, and tells whether that was done
// in time.
func (controller *Controller) keepAtMajority(worker messages.Worker) bool {
	controller.contact.lock.Lock()
	sets := controller.contact.sets
	controller.contact.lock.Unlock()
	members := register.Targets(&sets)
	answers := make(chan keepAnswer, len(members))
	question := &messages.WorkersKeep{From: controller.Node.Own.Address, Workers: []messages.Worker{worker}}
	for _, member := range members {
		go func() {
			if member.Address == controller.Node.Own.Address {
				answers <- keepAnswer{member, controller.memory.keep(question.Workers)}
				return
			}
			back := &messages.ContactTold{}
			err := transport.Ask(controller.Node.Wire, member.Address, messages.KindWorkersKeep, question, back, constants.TreeTime)
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
func (controller *Controller) workersKept(question *messages.WorkersKeep) (transport.Writable, error) {
	controller.mergeWorkers(question.Workers)
	if err := controller.memory.keep(question.Workers); err != nil {
		return nil, err
	}
	return &messages.ContactTold{Disk: controller.Register.Disk()}, nil
}
