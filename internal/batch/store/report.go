package store

import (
	"strconv"

	"lemonarch/internal/batch/leader"
	"lemonarch/internal/platform/messages"
)

// registerReports registers what a store answers to the status queries of the shell.
func (s *Server) registerReports() {
	s.Node.Report(messages.QueryLeadership, s.reportLeadership)
	s.Node.Report(messages.QueryJobs, s.reportJobs)
	s.Node.Report(messages.QuerySlowness, s.election.ReportSlowness)
	s.Node.Report("stores", s.reportStores)
}

// reportLeadership tells who leads, as far as this process knows.
func (s *Server) reportLeadership() *messages.StatusResponse {
	known, state := s.election.Announced(), "follows"
	if current := s.current(); current != nil {
		known, state = current.Leadership(), "takes over"
		if current.Serving() {
			state = "holds"
		}
	}
	return &messages.StatusResponse{Columns: []string{"duty", "state", "epoch", "holder"},
		Rows: [][]string{{"lots", state, strconv.FormatUint(known.Epoch, 10), known.Holder}}}
}

// reportJobs lists the jobs, where this process leads.
func (s *Server) reportJobs() *messages.StatusResponse {
	if current := s.current(); current != nil {
		return current.ReportJobs()
	}
	return leader.JobsReport()
}

// reportStores tells how far this process's log reaches, and where it leads those of the
// other members.
func (s *Server) reportStores() *messages.StatusResponse {
	last := strconv.FormatInt(s.Log.Extent().Last, 10)
	status := &messages.StatusResponse{Columns: []string{"store", "disk", "records", "missing", "state"},
		Rows: [][]string{{s.Node.Self.Name, s.Log.Disk(), last, "", "own copy"}}}
	if current := s.current(); current != nil {
		status.Rows = append(status.Rows, current.ReportStores()...)
	}
	return status
}
