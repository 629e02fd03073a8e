package store

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
)

// registerHandlers registers the requests of other processes.
func (s *Server) registerHandlers() {
	runtime := s.Node.Runtime
	process.Handle(runtime, messages.KindFence, s.handleFence)
	process.Handle(runtime, messages.KindAppend, s.handleAppend)
	process.Handle(runtime, messages.KindFetch, s.Log.Fetch)
	process.Handle(runtime, messages.KindCopy, s.handleCopy)
	process.Handle(runtime, messages.KindLeaderAnnouncement, s.handleAnnouncement)
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
	s.observeEpoch(req.Epoch)
	return &resp, nil
}

// handleAppend takes a leader's records.
func (s *Server) handleAppend(req *messages.AppendRequest) (*messages.AppendResponse, error) {
	s.observeEpoch(req.Epoch)
	resp, err := s.Log.Append(req)
	if err != nil {
		s.Node.Log.Error("records not appended", "err", err.Error())
		return nil, err
	}
	return &resp, nil
}

// handleAnnouncement notes who leads, or that the leader has resigned.
func (s *Server) handleAnnouncement(announcement *messages.LeaderAnnouncement) (*messages.Ack, error) {
	s.lock.Lock()
	if announcement.Leadership.Epoch >= s.announced.Epoch {
		s.announced, s.announcedAt = announcement.Leadership, clock.Now()
		if announcement.Resigned {
			s.announcedAt, s.lastRead = 0, 0
		}
	}
	s.lock.Unlock()
	s.observeEpoch(announcement.Leadership.Epoch)
	return &messages.Ack{Accepted: true}, nil
}

// handleAcquire hands items to an executor where this process leads.
func (s *Server) handleAcquire(req *messages.AcquireRequest) (*messages.AcquireResponse, error) {
	return s.acquire(req), nil
}

// handleAcknowledge takes an executor's acknowledgements where this process leads.
func (s *Server) handleAcknowledge(req *messages.AcknowledgeRequest) (*messages.AcknowledgeResponse, error) {
	return s.acknowledge(req), nil
}

// handleStopJob breaks off what runs here of a job that has ended.
func (s *Server) handleStopJob(req *messages.StopJobRequest) (*messages.Ack, error) {
	s.executor.stopJob(req.Job)
	return &messages.Ack{Accepted: true}, nil
}
