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

// registerRecovery registers the calls about the files of workers.
func (c *Controller) registerRecovery() {
	c.Node.Handle(messages.KindWorkersPersist, handle(c.handleWorkersPersist))
	c.Node.Handle(messages.KindWorkersRecover, handle(func(_ *messages.WorkersRecoverRequest) (transport.Marshaler, error) {
		resp := &messages.WorkersRecoverResponse{Disk: c.Register.Disk(), SetEpoch: c.Register.Known().SetEpoch}
		c.lock.Lock()
		defer c.lock.Unlock()
		resp.Authoritative = c.recovered.Load()
		resp.Workers = append(c.registry.All(clock.Now()), c.fromFile...)
		return resp, nil
	}))
}

// recoverWorkers asks the acceptors until a majority was heard.
func (c *Controller) recoverWorkers() {
	for !c.recoverRound() {
		select {
		case <-c.Node.Stop:
			return
		case <-clock.After(constants.RecoverBackoff):
		}
	}
	c.Node.Log.Info("workers known by a majority", "after-ms", clock.Now().Sub(c.startedAt).Milliseconds())
}

// recoverResult is an acceptor's answer to WorkersRecoverRequest.
type recoverResult struct {
	member messages.Member
	resp   *messages.WorkersRecoverResponse
	err    error
}

// recoverRound makes one round, and tells whether a majority was heard.
func (c *Controller) recoverRound() bool {
	sets := c.Register.Known()
	members := register.Targets(&sets)
	responses := make(chan recoverResult, len(members))
	for _, member := range members {
		go func() { responses <- c.recoverFrom(member, sets.SetEpoch) }()
	}
	answered, ahead := map[string]bool{}, len(members) == 0
	var all []*messages.WorkersRecoverResponse
	for range members {
		answer := <-responses
		if answer.err != nil {
			continue
		}
		all = append(all, answer.resp)
		if answer.resp.SetEpoch > sets.SetEpoch {
			// It may be of another set: it counts once that set is known here.
			ahead = true
			continue
		}
		answered[register.Identity(answer.member)] = true
		if register.Quorum(&sets, answered) {
			c.mergeRecovered(all)
			return true
		}
	}
	if ahead {
		c.syncSets()
	}
	return false
}

// recoverFrom asks one acceptor. Its answer counts for the disk that gave it.
func (c *Controller) recoverFrom(member messages.Member, epoch uint64) recoverResult {
	if member.Address == c.Node.Self.Address {
		return recoverResult{member: c.Register.Identity(), resp: &messages.WorkersRecoverResponse{SetEpoch: epoch}}
	}
	resp := &messages.WorkersRecoverResponse{}
	req := &messages.WorkersRecoverRequest{From: c.Node.Self.Address}
	err := transport.Call(c.Node.Transport, member.Address, messages.KindWorkersRecover, req, resp, constants.CallTimeout)
	member.Disk = resp.Disk
	return recoverResult{member, resp, err}
}

// mergeRecovered joins what a majority knows of workers with the file. Where one of them knows
// them at first hand, a steady worker that only files name is taken for long gone: a
// departure is forgotten after a while, and a file may be older than that.
func (c *Controller) mergeRecovered(all []*messages.WorkersRecoverResponse) {
	now, known, firstHand := clock.Now(), map[string]bool{}, false
	phases := map[string]messages.Phase{}
	c.lock.Lock()
	all = append(all, &messages.WorkersRecoverResponse{Workers: c.fromFile})
	for _, resp := range all {
		firstHand = firstHand || resp.Authoritative
		for _, worker := range resp.Workers {
			known[worker.ID] = known[worker.ID] || resp.Authoritative
			phases[worker.ID] = max(phases[worker.ID], worker.Phase)
		}
	}
	for _, resp := range all {
		for _, worker := range resp.Workers {
			// The furthest phase counts, whoever knows of it.
			worker.Phase = phases[worker.ID]
			if !firstHand || known[worker.ID] || worker.Phase != messages.PhaseSteady {
				c.registry.Merge(worker, now)
			}
		}
	}
	c.fromFile = nil
	c.recovered.Store(true)
	c.lock.Unlock()
	// What was learnt is kept here as well, now that this process may join the acceptors,
	// and what was left out is not: the next start would recall it.
	c.workerFile.requestRewrite()
}
