package locker

import (
	"strconv"

	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

func number[Whole int | int64 | uint64](value Whole) string {
	return strconv.FormatInt(int64(value), 10)
}

// reports registers what a locker says to the shell.
func (locker *Locker) reports() {
	locker.Stand.Report("duty", locker.reportDuty)
	locker.Stand.Report("lots", locker.reportLots)
	locker.Stand.Report("stores", locker.reportStores)
	locker.Stand.Report("pace", locker.reportPace)
}

func (locker *Locker) reportDuty() *pattern.Status {
	status := &pattern.Status{Columns: []string{"duty", "state", "epoch", "holder"}}
	row := []string{"lots", "follows", "", ""}
	locker.lock.Lock()
	row[2], row[3] = number(locker.told.Epoch), locker.told.Holder
	locker.lock.Unlock()
	if current := locker.current(); current != nil {
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

func (locker *Locker) reportLots() *pattern.Status {
	status := &pattern.Status{Columns: []string{"lot", "path", "age-s", "items", "listed", "acquired", "waiting-tokens", "deliveries", "lapses", "releases", "failures", "renewals", "state"}}
	current := locker.current()
	if current == nil {
		return status
	}
	now := watch.Wall() / 1_000_000
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
			if item.State == ledgerbox.ItemAcquired {
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

func (locker *Locker) reportStores() *pattern.Status {
	status := &pattern.Status{Columns: []string{"store", "disk", "records", "missing", "state"}}
	last, _ := locker.Store.State()
	status.Rows = append(status.Rows, []string{locker.Stand.Own.Name, locker.Store.Disk(), number(last), "", "own copy"})
	current := locker.current()
	if current == nil {
		return status
	}
	current.lock.Lock()
	defer current.lock.Unlock()
	for _, member := range current.press.Members {
		match := current.press.MatchOf(vise.Identity(member))
		status.Rows = append(status.Rows, []string{member.Name, member.Disk, number(match), number(current.press.Last() - match), "in the set"})
	}
	return status
}
