package store

import (
	"strconv"

	"lemonarch/internal/batch/leader"
	"lemonarch/internal/platform/messages"
)

// registerReports registers a store's responses to the status queries of the shell.
func (s *Server) registerReports() {
	s.Node.Report(messages.QueryLeadership, s.reportLeadership)
	s.Node.Report(messages.QueryJobs, s.reportJobs)
	s.Node.Report(messages.QuerySlowness, s.election.ReportSlowness)
	s.Node.Report("stores", s.reportStores)
}

// reportLeadership reports the leader that this process knows, and its epoch.
func (s *Server) reportLeadership() *messages.StatusResponse {
	known, state := s.election.Announced(), "follows"
	if term := s.currentTerm(); term != nil {
		known, state = term.Leadership(), "takes over"
		if term.Serving() {
			state = "holds"
		}
	}
	return &messages.StatusResponse{Columns: []string{"duty", "state", "epoch", "holder"},
		Rows: [][]string{{"lots", state, strconv.FormatUint(known.Epoch, 10), known.Holder}}}
}

// reportJobs lists the jobs if this process leads; otherwise the list is empty.
func (s *Server) reportJobs() *messages.StatusResponse {
	if term := s.currentTerm(); term != nil {
		return term.ReportJobs()
	}
	return leader.JobsReport()
}

// reportStores reports the last index of this process's log and, if this process leads, those
// of all members of the store set.
func (s *Server) reportStores() *messages.StatusResponse {
	last := strconv.FormatInt(s.Log.Extent().Last, 10)
	status := &messages.StatusResponse{Columns: []string{"store", "disk", "records", "missing", "state"},
		Rows: [][]string{{s.Node.Self.Name, s.Log.Disk(), last, "", "own copy"}}}
	if term := s.currentTerm(); term != nil {
		status.Rows = append(status.Rows, term.ReportStores()...)
	}
	return status
}
