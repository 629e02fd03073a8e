// Package assignments keeps the assignments that a node follows: which adapters hang
// where, and which window comes next. It has no I/O, and knows nothing of how they
// were planned.
package assignments

import (
	"strconv"
	"strings"

	"lemonarch/internal/platform/messages"
)

// Table is what one process follows. Its owner guards it.
type Table struct {
	plan messages.PlanResponse
}

// Apply puts a chosen plan in force, never one that is older than the present one.
func (b *Table) Apply(plan messages.PlanResponse) bool {
	if plan.Revision <= b.plan.Revision {
		return false
	}
	b.plan = plan
	return true
}

// Plan gives what is in force.
func (b *Table) Plan() messages.PlanResponse { return b.plan }

// Revision is its number, 0 for none.
func (b *Table) Revision() int64 { return b.plan.Revision }

// Next gives the window that starts next after a minute of the day.
func Next(windows []messages.PlanWindow, minute int) (messages.PlanWindow, bool) {
	const day = 24 * 60
	found, best := messages.PlanWindow{}, day+1
	for _, window := range windows {
		start, valid := minuteOf(window.Starts)
		if !valid {
			continue
		}
		wait := ((start-minute)%day + day) % day
		if wait == 0 {
			// It has begun: the next time is tomorrow.
			wait = day
		}
		if wait < best || (wait == best && window.Name < found.Name) {
			found, best = window, wait
		}
	}
	return found, best <= day
}

func minuteOf(starts string) (int, bool) {
	hours, minutes, truncated := strings.Cut(starts, ":")
	hour, wrongHour := strconv.Atoi(hours)
	minute, wrongMinute := strconv.Atoi(minutes)
	return hour*60 + minute, truncated && wrongHour == nil && wrongMinute == nil
}

// Status shows what is in force on a node, or on all where node is empty: one row a
// copy, and one for each collision.
func Status(plan *messages.PlanResponse, node string, minute int) *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"revision", "generation", "next-window", "node", "window", "adapter", "state"}}
	if plan.Revision == 0 {
		return status
	}
	coming := "(none)"
	if window, found := Next(plan.Windows, minute); found {
		coming = window.Name + " " + window.Starts
	}
	row := func(node, window, adapter, state string) {
		status.Rows = append(status.Rows, []string{strconv.FormatInt(plan.Revision, 10), strconv.FormatInt(plan.Generation, 10),
			coming, node, window, adapter, state})
	}
	for _, line := range plan.Collisions {
		row("", "", "", "COLLISION, the last answer stays in force: "+line)
	}
	for _, name := range plan.Absent {
		if node == "" || name == node {
			row(name, "", "", "gone")
		}
	}
	for _, key := range plan.Placements {
		if node == "" || key.Node == node {
			row(key.Node, key.Window, key.Adapter, "in force")
		}
	}
	if len(status.Rows) == 0 {
		row(node, "", "", "carries nothing")
	}
	return status
}
