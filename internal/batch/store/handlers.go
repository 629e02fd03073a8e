package store

import (
	"net/http"

	"lemonarch/internal/batch/leader"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/transport"
)

// registerHandlers registers the handlers of requests from other processes.
func (s *Server) registerHandlers() {
	runtime := s.Node.Runtime
	process.Handle(runtime, messages.KindFence, s.handleFence)
	process.Handle(runtime, messages.KindAppend, s.handleAppend)
	process.Handle(runtime, messages.KindAppendForwarded, s.handleAppendForwarded)
	process.Handle(runtime, messages.KindFetch, s.Log.Fetch)
	process.Handle(runtime, messages.KindCopy, s.handleCopy)
	process.Handle(runtime, messages.KindLeaderAnnouncement, s.election.HandleAnnouncement)
	process.Handle(runtime, messages.KindJobCall, s.handleJobCall)
	process.Handle(runtime, messages.KindAcquire, s.handleAcquire)
	process.Handle(runtime, messages.KindAcknowledge, s.handleAcknowledge)
	process.Handle(runtime, messages.KindStopJob, s.handleStopJob)
}

// handleFence makes this store reject requests of earlier epochs.
func (s *Server) handleFence(req *messages.FenceRequest) (*messages.FenceResponse, error) {
	resp, err := s.Log.Fence(req)
	if err != nil {
		return nil, err
	}
	s.election.ObserveEpoch(req.Epoch)
	return &resp, nil
}

// handleAppend appends a leader's records to the log.
func (s *Server) handleAppend(req *messages.AppendRequest) (*messages.AppendResponse, error) {
	s.election.ObserveEpoch(req.Epoch)
	if req.Forward != nil {
		// Forwarded before the local write, so that neither store waits for the other's disk.
		s.forwarder.enqueue(req)
	}
	resp, err := s.Log.Append(req)
	if err != nil {
		s.Node.Log.Error("failed to append records", "err", err.Error())
		return nil, err
	}
	return &resp, nil
}

// handleAppendForwarded processes a store's response to records that another store forwarded
// to it.
func (s *Server) handleAppendForwarded(forwarded *messages.AppendForwarded) (*messages.Ack, error) {
	if term := s.currentTerm(); term != nil {
		term.HandleForwarded(forwarded)
	}
	return &messages.Ack{Accepted: true}, nil
}

// handleCopy fetches one range of records from another store and appends it to the log.
func (s *Server) handleCopy(req *messages.CopyRequest) (*messages.AppendResponse, error) {
	s.election.ObserveEpoch(req.Epoch)
	fetched := &messages.FetchResponse{}
	fetch := &messages.FetchRequest{First: req.First, Epoch: req.Epoch, Disk: req.SourceDisk}
	if err := transport.Call(s.Node.Transport, req.Source, messages.KindFetch, fetch, fetched, constants.BulkCallTimeout/2); err != nil {
		return nil, err
	}
	records := fetched.Records
	// Records that the source has compacted are committed, so they are kept even past the
	// requested range.
	last := max(req.Last, fetched.Base)
	for len(records) > 0 && records[len(records)-1].Index > last {
		records = records[:len(records)-1]
	}
	if !fetched.Granted || len(records) == 0 {
		return &messages.AppendResponse{}, nil
	}
	resp, err := s.Log.Append(&messages.AppendRequest{Epoch: req.Epoch, Disk: req.Disk, PreviousIndex: req.First - 1,
		PreviousEpoch: s.Log.EpochAt(req.First - 1), Records: records, Base: fetched.Base, BaseEpoch: fetched.BaseEpoch})
	if err != nil {
		return nil, err
	}
	return &resp, nil
}

// handleJobCall responds to a client's call on a job, forwarded by a gateway.
func (s *Server) handleJobCall(call *messages.JobCallRequest) (*messages.JobCallResponse, error) {
	if !s.isFirstCopy(call, clock.Now()) {
		// The first copy gets the response; a second execution might have another outcome.
		return leader.OutcomeUnknown(), nil
	}
	term := s.currentTerm()
	if term == nil {
		return s.notLeader(), nil
	}
	resp := term.Serve(call)
	if s.election.HoldsLease() && !term.Closed() {
		return resp, nil
	}
	// The lease expired or the term ended meanwhile, so this process's state may be stale and
	// must not be returned.
	if call.Method != http.MethodPost {
		return s.notLeader(), nil
	}
	if resp.Status != http.StatusAccepted && !resp.NotLeader {
		return leader.OutcomeUnknown(), nil
	}
	return resp, nil
}

// isFirstCopy reports whether a call arrives for the first time. It also converts the call's
// time to live into an instant of this process's clock.
func (s *Server) isFirstCopy(call *messages.JobCallRequest, now clock.Instant) bool {
	if call.TTLMs > 0 {
		call.ExpiresAt = int64(now.Add(clock.Milliseconds(float64(call.TTLMs))))
	}
	return s.deduplicator.First(call.RequestID, now)
}

// notLeader returns the response of a process that does not lead. It names the leader, if
// known.
func (s *Server) notLeader() *messages.JobCallResponse {
	return &messages.JobCallResponse{NotLeader: true, Leader: s.election.OtherLeader()}
}

func (s *Server) handleAcquire(req *messages.AcquireRequest) (*messages.AcquireResponse, error) {
	return s.Acquire(req), nil
}

func (s *Server) handleAcknowledge(req *messages.AcknowledgeRequest) (*messages.AcknowledgeResponse, error) {
	return s.Acknowledge(req), nil
}

// handleStopJob stops this process's runs of a job that has ended.
func (s *Server) handleStopJob(req *messages.StopJobRequest) (*messages.Ack, error) {
	s.executor.StopJob(req.Job)
	return &messages.Ack{Accepted: true}, nil
}

// Acquire assigns items to an executor. If this process does not lead, the response names the
// leader, if known.
func (s *Server) Acquire(req *messages.AcquireRequest) *messages.AcquireResponse {
	if term := s.currentTerm(); term != nil {
		return term.Acquire(req)
	}
	return &messages.AcquireResponse{NotLeader: true, Leader: s.election.OtherLeader()}
}

// Acknowledge processes an executor's acknowledgements. If this process does not lead, the
// response names the leader, if known.
func (s *Server) Acknowledge(req *messages.AcknowledgeRequest) *messages.AcknowledgeResponse {
	if term := s.currentTerm(); term != nil {
		return term.Acknowledge(req)
	}
	return &messages.AcknowledgeResponse{NotLeader: true, Leader: s.election.OtherLeader()}
}

// LeaderAddress returns the address of the leader, or "" if it is unknown.
func (s *Server) LeaderAddress() string { return s.election.LeaderAddress() }

// LeaderEpoch returns the epoch of the last leader that this process knows, or zero if there was none.
func (s *Server) LeaderEpoch() uint64 { return s.election.LeaderEpoch() }
