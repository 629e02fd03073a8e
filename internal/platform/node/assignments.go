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
func (runtime *Node) sawPlan(revision int64, address string) {
	runtime.lock.Lock()
	behind := revision > runtime.assigned.board.Revision() && !runtime.assigned.pulling && runtime.Own.Role != membership.RoleController
	runtime.assigned.pulling = runtime.assigned.pulling || behind
	runtime.lock.Unlock()
	if !behind {
		return
	}
	go runtime.pullPlan(address)
}

func (runtime *Node) pullPlan(address string) {
	told := &messages.PlanTold{}
	err := transport.Ask(runtime.Wire, address, messages.KindPlanPull, &messages.PlanPull{Node: runtime.Own.Name}, told, constants.CallTime)
	runtime.lock.Lock()
	runtime.assigned.pulling = false
	taken := err == nil && runtime.assigned.board.Take(*told)
	runtime.lock.Unlock()
	if taken {
		runtime.Log.Info("assignments taken", "revision", told.Revision, "generation", told.Generation, "copies", len(told.Places))
	}
}

// Assigned gives what this node carries, for each window.
func (runtime *Node) Assigned() messages.PlanTold {
	runtime.lock.Lock()
	defer runtime.lock.Unlock()
	return runtime.assigned.board.Told()
}

func (runtime *Node) reportAssigned() *messages.Status {
	told := runtime.Assigned()
	return assignments.Status(&told, runtime.Own.Name, clock.DayMinute())
}
