package agent

import (
	"lemonarch/internal/control/assignments"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// planFollower stores the assignments of this node, on a process that is not a controller.
type planFollower struct {
	table assignments.Table
	// pulling is set while a newer plan is being pulled.
	pulling bool
}

// observePlan pulls this node's share of the plan from the controller that reported the revision, if
// the revision is newer than the known one. It does nothing on a controller or during another pull.
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

// Assigned returns the placements assigned to this node, for each window.
func (a *Agent) Assigned() messages.PlanResponse {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.plan.table.Plan()
}

func (a *Agent) reportAssigned() *messages.StatusResponse {
	plan := a.Assigned()
	return assignments.Status(&plan, a.Self.Name, clock.DayMinute())
}
