// Package assignments is the table of the assignments that a process follows: which adapters are placed
// on which nodes, and which window starts next. It does no I/O, and does not depend on how the
// assignments were planned.
package assignments

import (
	"strconv"
	"strings"

	"lemonarch/internal/platform/messages"
)

// Table is the plan that one process follows. It is not safe for concurrent use: its owner locks it.
type Table struct {
	plan messages.PlanResponse
}

// Apply puts a chosen plan in force if it is newer than the current one, and reports whether it did.
func (t *Table) Apply(plan messages.PlanResponse) bool {
	if plan.Revision <= t.plan.Revision {
		return false
	}
	t.plan = plan
	return true
}

// Plan returns the plan in force.
func (t *Table) Plan() messages.PlanResponse { return t.plan }

// Revision returns the revision of the plan in force, 0 for none.
func (t *Table) Revision() int64 { return t.plan.Revision }

// Next returns the window that starts next after a minute of the day, and whether there is one. Of
// windows that start at the same minute it returns the first by name.
func Next(windows []messages.PlanWindow, minute int) (messages.PlanWindow, bool) {
	const day = 24 * 60
	next, shortestWait := messages.PlanWindow{}, day+1
	for _, window := range windows {
		start, valid := minuteOf(window.Starts)
		if !valid {
			continue
		}
		wait := ((start-minute)%day + day) % day
		if wait == 0 {
			// The window has started now, so its next start is tomorrow.
			wait = day
		}
		if wait < shortestWait || (wait == shortestWait && window.Name < next.Name) {
			next, shortestWait = window, wait
		}
	}
	return next, shortestWait <= day
}

// minuteOf parses a time of day such as "22:30" into a minute of the day, and reports whether it has
// that form. It does not check the range of the hour and the minute.
func minuteOf(starts string) (int, bool) {
	hours, minutes, separated := strings.Cut(starts, ":")
	hour, hourErr := strconv.Atoi(hours)
	minute, minuteErr := strconv.Atoi(minutes)
	return hour*60 + minute, separated && hourErr == nil && minuteErr == nil
}

// Status lists the assignments in force on a node, or on all nodes if node is empty. It has one row for
// each placement of an adapter, each absent node and each collision, or one row that says that there
// are none. A plan of revision 0 has no rows.
func Status(plan *messages.PlanResponse, node string, minute int) *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"revision", "generation", "next-window", "node", "window", "adapter", "state"}}
	if plan.Revision == 0 {
		return status
	}
	nextWindow := "(none)"
	if window, found := Next(plan.Windows, minute); found {
		nextWindow = window.Name + " " + window.Starts
	}
	row := func(node, window, adapter, state string) {
		status.Rows = append(status.Rows, []string{strconv.FormatInt(plan.Revision, 10), strconv.FormatInt(plan.Generation, 10),
			nextWindow, node, window, adapter, state})
	}
	for _, collision := range plan.Collisions {
		row("", "", "", "COLLISION, the last answer stays in force: "+collision)
	}
	for _, name := range plan.Absent {
		if node == "" || name == node {
			row(name, "", "", "gone")
		}
	}
	for _, placement := range plan.Placements {
		if node == "" || placement.Node == node {
			row(placement.Node, placement.Window, placement.Adapter, "in force")
		}
	}
	if len(status.Rows) == 0 {
		row(node, "", "", "carries nothing")
	}
	return status
}
