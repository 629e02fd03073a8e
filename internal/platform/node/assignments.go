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
	board   assignments.Table
	pulling bool
}

// observePlan pulls this node's part of a newer plan from the controller that told of it.
func (n *Node) observePlan(revision int64, address string) {
	n.lock.Lock()
	behind := revision > n.assigned.board.Revision() && !n.assigned.pulling && n.Self.Role != membership.RoleController
	n.assigned.pulling = n.assigned.pulling || behind
	n.lock.Unlock()
	if !behind {
		return
	}
	go n.pullPlan(address)
}

func (n *Node) pullPlan(address string) {
	plan := &messages.PlanResponse{}
	err := transport.Call(n.Transport, address, messages.KindPlanPull, &messages.PlanRequest{Node: n.Self.Name}, plan, constants.CallTimeout)
	n.lock.Lock()
	n.assigned.pulling = false
	taken := err == nil && n.assigned.board.Apply(*plan)
	n.lock.Unlock()
	if taken {
		n.Log.Info("assignments taken", "revision", plan.Revision, "generation", plan.Generation, "copies", len(plan.Placements))
	}
}

// Assigned gives what this node carries, for each window.
func (n *Node) Assigned() messages.PlanResponse {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.assigned.board.Plan()
}

func (n *Node) reportAssigned() *messages.StatusResponse {
	plan := n.Assigned()
	return assignments.Status(&plan, n.Self.Name, clock.DayMinute())
}
