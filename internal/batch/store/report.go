package store

import (
	"strconv"

	"lemonarch/internal/batch/lots"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

func number[Whole int | int64 | uint64](value Whole) string {
	return strconv.FormatInt(int64(value), 10)
}

// reports registers what a store says to the shell.
func (s *Server) reports() {
	s.Node.Report("duty", s.reportDuty)
	s.Node.Report("lots", s.reportLots)
	s.Node.Report("stores", s.reportStores)
	s.Node.Report("pace", s.reportPace)
}

func (s *Server) reportDuty() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"duty", "state", "epoch", "holder"}}
	row := []string{"lots", "follows", "", ""}
	s.lock.Lock()
	row[2], row[3] = number(s.told.Epoch), s.told.Holder
	s.lock.Unlock()
	if current := s.current(); current != nil {
		current.lock.Lock()
		row[1] = "takes over"
		if current.serving {
			row[1] = "holds"
		}
		current.lock.Unlock()
		row[2], row[3] = number(current.duty.Epoch), current.duty.Holder
	}
	status.Rows = [][]string{row}
	return status
}

func (s *Server) reportLots() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"lot", "path", "age-s", "items", "listed", "acquired", "waiting-tokens", "deliveries", "lapses", "releases", "failures", "renewals", "state"}}
	current := s.current()
	if current == nil {
		return status
	}
	now := clock.WallNanos() / 1_000_000
	current.lock.Lock()
	defer current.lock.Unlock()
	for _, lot := range current.book.Lots() {
		state, tokens := "open", int64(0)
		if lot.Ended {
			state = "ended"
		} else if !lot.Open() {
			state = "done"
		}
		acquired, deliveries, lapses, releases, failures, renewals := 0, 0, 0, 0, 0, 0
		for _, item := range lot.Items {
			if lot.Open() && item.Waits() {
				tokens += item.Tokens
			}
			if item.State == lots.ItemAcquired {
				acquired++
			}
			deliveries += item.Runs
			lapses += item.Lapses
			releases += item.Releases
			failures += len(item.FailedBy)
			renewals += item.Renewals
		}
		status.Rows = append(status.Rows, []string{lot.ID, lot.Path, number((now - lot.SentMs) / 1000), number(lot.Sum()),
			number(len(lot.Listings)), number(acquired), number(tokens), number(deliveries), number(lapses), number(releases), number(failures), number(renewals), state})
	}
	return status
}

func (s *Server) reportStores() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"store", "disk", "records", "missing", "state"}}
	last := s.Store.Extent().Last
	status.Rows = append(status.Rows, []string{s.Node.Self.Name, s.Store.Disk(), number(last), "", "own copy"})
	current := s.current()
	if current == nil {
		return status
	}
	current.lock.Lock()
	defer current.lock.Unlock()
	for _, member := range current.press.Members {
		match := current.press.MatchOf(register.Identity(member))
		status.Rows = append(status.Rows, []string{member.Name, member.Disk, number(match), number(current.press.Last() - match), "in the set"})
	}
	return status
}
