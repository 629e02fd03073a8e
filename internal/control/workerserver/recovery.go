package workerserver

import (
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// A controller that has just started knows the workers only from its file. That file may lack a drain
// that was acknowledged while the process was down, or that was never written to this disk. So until a
// majority of the acceptors has responded, the controller sends none of it to other processes, except in
// responses to other controllers that are recovering too. A drain that was acknowledged is on the disk,
// or in the memory, of at least one acceptor of any majority.

// handleRecover handles the request of a controller that has just started. It responds with the workers
// of the table and, while this process is itself recovering, those of the file.
func (s *Server) handleRecover(_ *messages.WorkersRecoverRequest) (*messages.WorkersRecoverResponse, error) {
	resp := &messages.WorkersRecoverResponse{Disk: s.replica.Disk(), SetEpoch: s.replica.Known().SetEpoch}
	s.lock.Lock()
	defer s.lock.Unlock()
	resp.Authoritative = s.recovered.Load()
	resp.Workers = append(s.registry.All(clock.Now()), s.fromFile...)
	return resp, nil
}

// Recover requests the workers from the acceptors until a majority has responded or the
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

// RecoverRound sends one request to each acceptor, and reports whether a majority responded. If so, the
// workers are then recovered.
func (s *Server) RecoverRound() bool {
	sets := s.replica.Known()
	ahead := len(sets.Acceptors) == 0
	var responses []*messages.WorkersRecoverResponse
	recovered := registerserver.QuorumCall(&sets, 0, s.recoverFrom(sets.SetEpoch), func(resp *messages.WorkersRecoverResponse) bool {
		responses = append(responses, resp)
		if resp.SetEpoch > sets.SetEpoch {
			// The acceptor is ahead and may be in another set: its response counts once this process
			// knows that set.
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

// recoverFrom returns the function that calls one acceptor. A response counts for the disk that it
// reports. For this process itself no request is sent: mergeRecovered adds its own file.
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

// mergeRecovered merges the responses of a majority and the workers of the own file into the registry. If
// one of the responses is authoritative, a steady worker that is only in files counts as departed long ago
// and is left out: departures are forgotten after a while, and a file may be older than that.
func (s *Server) mergeRecovered(responses []*messages.WorkersRecoverResponse) {
	now := clock.Now()
	s.lock.Lock()
	responses = append(responses, &messages.WorkersRecoverResponse{Workers: s.fromFile})
	known, phases, authoritative := summarize(responses)
	for _, resp := range responses {
		for _, worker := range resp.Workers {
			// The latest phase in any response counts.
			worker.Phase = phases[worker.ID]
			if !authoritative || known[worker.ID] || worker.Phase != messages.PhaseSteady {
				s.registry.Merge(worker, now)
			}
		}
	}
	s.fromFile = nil
	s.recovered.Store(true)
	s.lock.Unlock()
	// The rewrite persists the recovered workers on this disk as well, since this process may now join the
	// acceptors. It also removes the workers that were left out, which the next start would read again.
	s.file.requestRewrite()
}

// summarize returns the workers that are in an authoritative response, the latest phase of
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
