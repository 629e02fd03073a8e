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

// registerHandlers registers the requests of other processes.
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

// handleFence has this store refuse the orders of earlier epochs.
func (s *Server) handleFence(req *messages.FenceRequest) (*messages.FenceResponse, error) {
	resp, err := s.Log.Fence(req)
	if err != nil {
		return nil, err
	}
	s.election.ObserveEpoch(req.Epoch)
	return &resp, nil
}

// handleAppend takes a leader's records.
func (s *Server) handleAppend(req *messages.AppendRequest) (*messages.AppendResponse, error) {
	s.election.ObserveEpoch(req.Epoch)
	if req.Forward != nil {
		// Passed on before it is written here: neither waits for the other's disk.
		s.forward.pass(req)
	}
	resp, err := s.Log.Append(req)
	if err != nil {
		s.Node.Log.Error("records not appended", "err", err.Error())
		return nil, err
	}
	return &resp, nil
}

// handleAppendForwarded takes what a store answered to records that another passed on to it.
func (s *Server) handleAppendForwarded(forwarded *messages.AppendForwarded) (*messages.Ack, error) {
	if current := s.current(); current != nil {
		current.HandleForwarded(forwarded)
	}
	return &messages.Ack{Accepted: true}, nil
}

// handleCopy fetches one range of records from another store and keeps it.
func (s *Server) handleCopy(req *messages.CopyRequest) (*messages.AppendResponse, error) {
	s.election.ObserveEpoch(req.Epoch)
	fetched := &messages.FetchResponse{}
	fetch := &messages.FetchRequest{First: req.First, Epoch: req.Epoch, Disk: req.SourceDisk}
	if err := transport.Call(s.Node.Transport, req.Source, messages.KindFetch, fetch, fetched, constants.BulkCallTimeout/2); err != nil {
		return nil, err
	}
	records := fetched.Records
	// What the source has compacted is committed, also behind what was asked for.
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

// handleJobCall answers a client's call on a job that a gateway forwarded.
func (s *Server) handleJobCall(call *messages.JobCallRequest) (*messages.JobCallResponse, error) {
	if !s.firstCopy(call, clock.Now()) {
		// The first copy is answered, or will be; a second might end otherwise.
		return leader.OutcomeUnknown(), nil
	}
	current := s.current()
	if current == nil {
		return s.notLeader(), nil
	}
	resp := current.Serve(call)
	if s.election.HoldsLease() && !current.Closed() {
		return resp, nil
	}
	// A lease that expired meanwhile makes what this process knows old: nothing of it is told.
	if call.Method != http.MethodPost {
		return s.notLeader(), nil
	}
	if resp.Status != http.StatusAccepted && !resp.NotLeader {
		return leader.OutcomeUnknown(), nil
	}
	return resp, nil
}

// firstCopy tells whether a call comes for the first time, and turns the time to live that
// it brought into an instant of this process's own clock.
func (s *Server) firstCopy(call *messages.JobCallRequest, now clock.Instant) bool {
	if call.TTLMs > 0 {
		call.ExpiresAt = int64(now.Add(clock.Milliseconds(float64(call.TTLMs))))
	}
	return s.deduplicator.First(call.RequestID, now)
}

// notLeader is the answer where this process does not lead; it names the leader, if known.
func (s *Server) notLeader() *messages.JobCallResponse {
	return &messages.JobCallResponse{NotLeader: true, Leader: s.election.OtherLeader()}
}

func (s *Server) handleAcquire(req *messages.AcquireRequest) (*messages.AcquireResponse, error) {
	return s.Acquire(req), nil
}

func (s *Server) handleAcknowledge(req *messages.AcknowledgeRequest) (*messages.AcknowledgeResponse, error) {
	return s.Acknowledge(req), nil
}

// handleStopJob breaks off what runs here of a job that has ended.
func (s *Server) handleStopJob(req *messages.StopJobRequest) (*messages.Ack, error) {
	s.executor.StopJob(req.Job)
	return &messages.Ack{Accepted: true}, nil
}

// Acquire hands items to an executor where this process leads.
func (s *Server) Acquire(req *messages.AcquireRequest) *messages.AcquireResponse {
	if current := s.current(); current != nil {
		return current.Acquire(req)
	}
	return &messages.AcquireResponse{NotLeader: true, Leader: s.election.OtherLeader()}
}

// Acknowledge takes an executor's acknowledgements where this process leads.
func (s *Server) Acknowledge(req *messages.AcknowledgeRequest) *messages.AcknowledgeResponse {
	if current := s.current(); current != nil {
		return current.Acknowledge(req)
	}
	return &messages.AcknowledgeResponse{NotLeader: true, Leader: s.election.OtherLeader()}
}

// LeaderAddress is the address of the leader, or nothing.
func (s *Server) LeaderAddress() string { return s.election.LeaderAddress() }

// LeaderEpoch is the epoch of the leader, as far as this process knows.
func (s *Server) LeaderEpoch() uint64 { return s.election.LeaderEpoch() }
