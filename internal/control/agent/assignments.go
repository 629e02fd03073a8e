package agent

import (
	"lemonarch/internal/control/assignments"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// planFollower is what a process that is no controller knows of the assignments: its own
// part.
type planFollower struct {
	table   assignments.Table
	pulling bool
}

// observePlan pulls this node's part of a newer plan from the controller that told of it.
func (a *Agent) observePlan(revision int64, address string) {
	a.lock.Lock()
	behind := revision > a.plan.table.Revision() && !a.plan.pulling && a.Self.Role != membership.RoleController
	a.plan.pulling = a.plan.pulling || behind
	a.lock.Unlock()
	if !behind {
		return
	}
	go a.pullPlan(address)
}

func (a *Agent) pullPlan(address string) {
	plan := &messages.PlanResponse{}
	err := transport.Call(a.Transport, address, messages.KindPlanPull, &messages.PlanRequest{Node: a.Self.Name}, plan, constants.CallTimeout)
	a.lock.Lock()
	a.plan.pulling = false
	applied := err == nil && a.plan.table.Apply(*plan)
	a.lock.Unlock()
	if applied {
		a.Log.Info("assignments applied", "revision", plan.Revision, "generation", plan.Generation, "copies", len(plan.Placements))
	}
}

// Assigned gives what this node carries, for each window.
func (a *Agent) Assigned() messages.PlanResponse {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.plan.table.Plan()
}

func (a *Agent) reportAssigned() *messages.StatusResponse {
	plan := a.Assigned()
	return assignments.Status(&plan, a.Self.Name, clock.DayMinute())
}
