package store

import (
	"strconv"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

func number[Whole int | int64 | uint64](value Whole) string {
	return strconv.FormatInt(int64(value), 10)
}

// reports registers what a store says to the shell.
func (s *Server) reports() {
	s.Node.Report("duty", s.reportLeadership)
	s.Node.Report("lots", s.reportJobs)
	s.Node.Report("stores", s.reportStores)
	s.Node.Report("pace", s.reportSlowness)
}

func (s *Server) reportLeadership() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"duty", "state", "epoch", "holder"}}
	row := []string{"lots", "follows", "", ""}
	s.lock.Lock()
	row[2], row[3] = number(s.announced.Epoch), s.announced.Holder
	s.lock.Unlock()
	if current := s.current(); current != nil {
		current.lock.Lock()
		row[1] = "takes over"
		if current.serving {
			row[1] = "holds"
		}
		current.lock.Unlock()
		row[2], row[3] = number(current.leadership.Epoch), current.leadership.Holder
	}
	status.Rows = [][]string{row}
	return status
}

func (s *Server) reportJobs() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"lot", "path", "age-s", "items", "listed", "acquired", "waiting-tokens", "deliveries", "lapses", "releases", "failures", "renewals", "state"}}
	current := s.current()
	if current == nil {
		return status
	}
	now := clock.WallNanos() / 1_000_000
	current.lock.Lock()
	defer current.lock.Unlock()
	for _, job := range current.jobs.Jobs() {
		state, tokens := "open", int64(0)
		if job.Ended {
			state = "ended"
		} else if !job.Open() {
			state = "done"
		}
		acquired, deliveries, lapses, releases, failures, renewals := 0, 0, 0, 0, 0, 0
		for _, item := range job.Items {
			if job.Open() && item.Unfinished() {
				tokens += item.Tokens
			}
			if item.State == dispatch.ItemAcquired {
				acquired++
			}
			deliveries += item.Runs
			lapses += item.Lapses
			releases += item.Releases
			failures += len(item.FailedBy)
			renewals += item.Renewals
		}
		status.Rows = append(status.Rows, []string{job.ID, job.Path, number((now - job.SubmittedMs) / 1000), number(job.Total()),
			number(len(job.Listings)), number(acquired), number(tokens), number(deliveries), number(lapses), number(releases), number(failures), number(renewals), state})
	}
	return status
}

func (s *Server) reportStores() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"store", "disk", "records", "missing", "state"}}
	last := s.Log.Extent().Last
	status.Rows = append(status.Rows, []string{s.Node.Self.Name, s.Log.Disk(), number(last), "", "own copy"})
	current := s.current()
	if current == nil {
		return status
	}
	current.lock.Lock()
	defer current.lock.Unlock()
	for _, member := range current.replicator.Members {
		match := current.replicator.MatchIndex(register.Identity(member))
		status.Rows = append(status.Rows, []string{member.Name, member.Disk, number(match), number(current.replicator.Last() - match), "in the set"})
	}
	return status
}
