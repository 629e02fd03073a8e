package controller

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// A controller that has just started knows the workers from its file alone. That file may
// lack a drain that was acknowledged meanwhile, or never reached this disk. So nothing of
// it is told to anybody until a majority of the acceptors was heard: a drain that was
// acknowledged is on the disk, or in the memory, of at least one of them.

// registerRecall registers the calls about the files of workers.
func (controller *Controller) registerRecall() {
	controller.Node.Answer(messages.KindWorkersKeep, answer(controller.workersKept))
	controller.Node.Answer(messages.KindWorkersRecall, answer(func(_ *messages.WorkersRecall) (transport.Writable, error) {
		back := &messages.WorkersRecalled{Disk: controller.Register.Disk(), SetEpoch: controller.Register.Known().SetEpoch}
		controller.lock.Lock()
		defer controller.lock.Unlock()
		back.Vouching = controller.vouching.Load()
		back.Workers = append(controller.registry.All(clock.Now()), controller.recalled...)
		return back, nil
	}))
}

// recallWorkers asks the acceptors until a majority was heard.
func (controller *Controller) recallWorkers() {
	for !controller.recallOnce() {
		select {
		case <-controller.Node.Stop:
			return
		case <-clock.After(constants.RecallPause):
		}
	}
	controller.Node.Log.Info("workers known by a majority", "after-ms", clock.Now().Since(controller.begun).Milliseconds())
}

// recallOnce makes one round, and tells whether a majority was heard.
func (controller *Controller) recallOnce() bool {
	sets := controller.Register.Known()
	if len(sets.Acceptors) == 0 {
		return false
	}
	type heard struct {
		member messages.Member
		told   *messages.WorkersRecalled
	}
	members := register.Targets(&sets)
	answers := make(chan heard, len(members))
	for _, member := range members {
		if member.Address == controller.Node.Own.Address {
			answers <- heard{controller.Register.Identity(), &messages.WorkersRecalled{SetEpoch: sets.SetEpoch}}
			continue
		}
		go func() {
			told := &messages.WorkersRecalled{}
			if transport.Ask(controller.Node.Wire, member.Address, messages.KindWorkersRecall, &messages.WorkersRecall{From: controller.Node.Own.Address}, told, constants.CallTime) == nil {
				member.Disk = told.Disk
				answers <- heard{member, told}
			}
		}()
	}
	timer, answered := clock.NewTimer(constants.CallTime), map[string]bool{}
	defer timer.Stop()
	var all []*messages.WorkersRecalled
	for !register.Quorum(&sets, answered) {
		select {
		case one := <-answers:
			if one.told.SetEpoch <= sets.SetEpoch {
				answered[register.Identity(one.member)] = true
			}
			all = append(all, one.told)
		case <-timer.C:
			return false
		}
	}
	controller.adopt(all)
	return true
}

// adopt joins what a majority knows of workers with the file. Where one of them knows
// them at first hand, a steady worker that only files name is taken for long gone: a
// departure is forgotten after a while, and a file may be older than that.
func (controller *Controller) adopt(all []*messages.WorkersRecalled) {
	now, known, firstHand := clock.Now(), map[string]bool{}, false
	phases := map[string]messages.Phase{}
	controller.lock.Lock()
	all = append(all, &messages.WorkersRecalled{Workers: controller.recalled})
	for _, told := range all {
		firstHand = firstHand || told.Vouching
		for _, worker := range told.Workers {
			known[worker.ID] = known[worker.ID] || told.Vouching
			phases[worker.ID] = max(phases[worker.ID], worker.Phase)
		}
	}
	for _, told := range all {
		for _, worker := range told.Workers {
			// The furthest phase counts, whoever knows of it.
			worker.Phase = phases[worker.ID]
			if !firstHand || known[worker.ID] || worker.Phase != messages.PhaseSteady {
				controller.registry.Merge(worker, now)
			}
		}
	}
	controller.recalled = nil
	controller.vouching.Store(true)
	controller.lock.Unlock()
	// What was learnt is kept here as well, now that this process may join the acceptors.
	for _, worker := range controller.remembered() {
		if worker.Phase != messages.PhaseSteady {
			controller.memory.remember(worker)
		}
	}
}
