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
func (server *Server) reports() {
	server.Node.Report("duty", server.reportDuty)
	server.Node.Report("lots", server.reportLots)
	server.Node.Report("stores", server.reportStores)
	server.Node.Report("pace", server.reportPace)
}

func (server *Server) reportDuty() *messages.Status {
	status := &messages.Status{Columns: []string{"duty", "state", "epoch", "holder"}}
	row := []string{"lots", "follows", "", ""}
	server.lock.Lock()
	row[2], row[3] = number(server.told.Epoch), server.told.Holder
	server.lock.Unlock()
	if current := server.current(); current != nil {
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

func (server *Server) reportLots() *messages.Status {
	status := &messages.Status{Columns: []string{"lot", "path", "age-s", "items", "listed", "acquired", "waiting-tokens", "deliveries", "lapses", "releases", "failures", "renewals", "state"}}
	current := server.current()
	if current == nil {
		return status
	}
	now := clock.Wall() / 1_000_000
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

func (server *Server) reportStores() *messages.Status {
	status := &messages.Status{Columns: []string{"store", "disk", "records", "missing", "state"}}
	last := server.Store.Extent().Last
	status.Rows = append(status.Rows, []string{server.Node.Own.Name, server.Store.Disk(), number(last), "", "own copy"})
	current := server.current()
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
