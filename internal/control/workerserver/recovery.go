package workerserver

import (
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// A controller that has just started knows the workers from its file alone. That file may
// lack a drain that was acknowledged meanwhile, or never reached this disk. So nothing of
// it is told to anybody until a majority of the acceptors responded: a drain that was
// acknowledged is on the disk, or in the memory, of at least one of them.

// handleRecover answers a controller that has just started.
func (s *Server) handleRecover(_ *messages.WorkersRecoverRequest) (*messages.WorkersRecoverResponse, error) {
	resp := &messages.WorkersRecoverResponse{Disk: s.replica.Disk(), SetEpoch: s.replica.Known().SetEpoch}
	s.lock.Lock()
	defer s.lock.Unlock()
	resp.Authoritative = s.recovered.Load()
	resp.Workers = append(s.registry.All(clock.Now()), s.fromFile...)
	return resp, nil
}

// Recover asks the acceptors what they know of workers until a majority responded or the
// process stops.
func (s *Server) Recover() {
	for !s.RecoverRound() {
		select {
		case <-s.node.Stop:
			return
		case <-clock.After(constants.RecoverBackoff):
		}
	}
	s.node.Log.Info("workers recovered from quorum", "after-ms", clock.Now().Sub(s.node.StartedAt).Milliseconds())
}

// RecoverRound asks each acceptor once, and tells whether a majority responded.
func (s *Server) RecoverRound() bool {
	sets := s.replica.Known()
	ahead := len(sets.Acceptors) == 0
	var responses []*messages.WorkersRecoverResponse
	recovered := registerserver.QuorumCall(&sets, 0, s.recoverFrom(sets.SetEpoch), func(resp *messages.WorkersRecoverResponse) bool {
		responses = append(responses, resp)
		if resp.SetEpoch > sets.SetEpoch {
			// It may be of another set: it counts once that set is known here.
			ahead = true
			return false
		}
		return true
	})
	if recovered {
		s.mergeRecovered(responses)
		return true
	}
	if ahead {
		s.replica.SyncSets()
	}
	return false
}

// recoverFrom gives the call to one acceptor. Its response counts for the disk that gave it;
// this process knows itself.
func (s *Server) recoverFrom(epoch uint64) func(messages.Member) (messages.Member, *messages.WorkersRecoverResponse, error) {
	return func(member messages.Member) (messages.Member, *messages.WorkersRecoverResponse, error) {
		if member.Address == s.node.Self.Address {
			return s.replica.Identity(), &messages.WorkersRecoverResponse{SetEpoch: epoch}, nil
		}
		resp := &messages.WorkersRecoverResponse{}
		req := &messages.WorkersRecoverRequest{From: s.node.Self.Address}
		err := transport.Call(s.node.Transport, member.Address, messages.KindWorkersRecover, req, resp, constants.CallTimeout)
		member.Disk = resp.Disk
		return member, resp, err
	}
}

// mergeRecovered joins what a majority knows of workers with the file. Where one of them
// knows them authoritatively, a steady worker that only files name is taken for long
// departed: a departure is forgotten after a while, and a file may be older than that.
func (s *Server) mergeRecovered(responses []*messages.WorkersRecoverResponse) {
	now := clock.Now()
	s.lock.Lock()
	responses = append(responses, &messages.WorkersRecoverResponse{Workers: s.fromFile})
	known, phases, authoritative := summarize(responses)
	for _, resp := range responses {
		for _, worker := range resp.Workers {
			// The furthest phase counts, whoever knows of it.
			worker.Phase = phases[worker.ID]
			if !authoritative || known[worker.ID] || worker.Phase != messages.PhaseSteady {
				s.registry.Merge(worker, now)
			}
		}
	}
	s.fromFile = nil
	s.recovered.Store(true)
	s.lock.Unlock()
	// What was recovered is kept here as well, now that this process may join the acceptors,
	// and what was left out is not: the next start would read it again.
	s.file.requestRewrite()
}

// summarize gives the workers that an authoritative response names, the furthest phase of
// every worker, and whether any response is authoritative.
func summarize(responses []*messages.WorkersRecoverResponse) (known map[string]bool, phases map[string]messages.Phase, authoritative bool) {
	known, phases = map[string]bool{}, map[string]messages.Phase{}
	for _, resp := range responses {
		authoritative = authoritative || resp.Authoritative
		for _, worker := range resp.Workers {
			known[worker.ID] = known[worker.ID] || resp.Authoritative
			phases[worker.ID] = max(phases[worker.ID], worker.Phase)
		}
	}
	return known, phases, authoritative
}
