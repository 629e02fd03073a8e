package node

import (
	"lemonarch/internal/control/assignments"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// assigned is what a process that is no controller knows of the assignments: its own part.
type assigned struct {
	board   assignments.Board
	pulling bool
}

// sawPlan pulls this node's part of a newer plan from the controller that told of it.
func (n *Node) sawPlan(revision int64, address string) {
	n.lock.Lock()
	behind := revision > n.assigned.board.Revision() && !n.assigned.pulling && n.Own.Role != membership.RoleController
	n.assigned.pulling = n.assigned.pulling || behind
	n.lock.Unlock()
	if !behind {
		return
	}
	go n.pullPlan(address)
}

func (n *Node) pullPlan(address string) {
	told := &messages.PlanTold{}
	err := transport.Ask(n.Wire, address, messages.KindPlanPull, &messages.PlanPull{Node: n.Own.Name}, told, constants.CallTime)
	n.lock.Lock()
	n.assigned.pulling = false
	taken := err == nil && n.assigned.board.Take(*told)
	n.lock.Unlock()
	if taken {
		n.Log.Info("assignments taken", "revision", told.Revision, "generation", told.Generation, "copies", len(told.Places))
	}
}

// Assigned gives what this node carries, for each window.
func (n *Node) Assigned() messages.PlanTold {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.assigned.board.Told()
}

func (n *Node) reportAssigned() *messages.Status {
	told := n.Assigned()
	return assignments.Status(&told, n.Own.Name, clock.DayMinute())
}
