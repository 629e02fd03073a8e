package assignmentserver

import (
	"slices"
	"strings"

	"lemonarch/internal/configuration/adapterplan"
	"lemonarch/internal/control/assignments"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// commit writes a plan based on a revision, and waits until the acceptor set that stores it
// tolerates the fault budget.
func (s *Server) commit(next *messages.PlanValue, base int64) (*messages.PlanResponse, register.Result, error) {
	version, body, err := adapterplan.Version(next, base)
	if err != nil {
		return nil, register.ResultConflict, err
	}
	anyResult := func(register.Result) bool { return true }
	value, result, err := s.sets.CommitTolerant(version, body, anyResult)
	if err != nil {
		return nil, result, err
	}
	plan, err := adapterplan.DecodePlan(value.Current, value.Body)
	if err == nil {
		s.apply(plan)
	}
	return plan, result, err
}

// ReconcileSet adds or replaces acceptors of the register as needed for a complete set.
func (s *Server) ReconcileSet() { s.sets.Reconcile() }

// Reconcile reconciles the register's acceptor set, and replans when a node that the rules name became
// absent or came back.
func (s *Server) Reconcile() {
	s.ReconcileSet()
	plan := s.Plan()
	if plan.Revision == 0 || !s.contact.Valid() || s.workers.Recovering() {
		return
	}
	if absent, due := s.replanDue(&plan); due {
		s.replan(&plan, absent)
	}
}

// replanDue returns the nodes of the plan that are absent now, and whether a plan without them is due.
// It is due if they differ from the nodes for whose absence the plan in force was made, and that plan
// was applied more than constants.PlanBackoff ago.
func (s *Server) replanDue(plan *messages.PlanResponse) (absent []string, due bool) {
	now := clock.Now()
	s.lock.Lock()
	absent = s.presence.Absent(plan, s.present(), now)
	backoffOver := now.Sub(s.changedAt) > constants.PlanBackoff
	s.lock.Unlock()
	return absent, backoffOver && !slices.Equal(absent, plan.Absent)
}

// replan computes a plan without the absent nodes and puts it in force.
func (s *Server) replan(plan *messages.PlanResponse, absent []string) {
	// Another controller may have replanned already.
	current, err := s.Read()
	if err != nil || current.Revision != plan.Revision {
		return
	}
	next, moves, err := adapterplan.Replan(&current.Value, absent)
	if err != nil {
		s.node.Log.Error("failed to replan assignments", "absent", strings.Join(absent, ","), "err", err.Error())
		return
	}
	committed, result, err := s.commit(next, current.Revision)
	if err != nil || !result.InForce() {
		return
	}
	s.logReplan(committed, absent, moves)
}

// logReplan logs a new plan, or the collisions because of which the previous placements stay in force.
func (s *Server) logReplan(plan *messages.PlanResponse, absent []string, moves int) {
	window, _ := assignments.Next(plan.Windows, clock.DayMinute())
	for _, collision := range plan.Collisions {
		s.node.Log.Warn("assignments collide, previous placements stay in force", "revision", plan.Revision, "absent", strings.Join(absent, ","),
			"next-window", window.Name, "starts", window.Starts, "collision", collision)
	}
	if len(plan.Collisions) == 0 {
		s.node.Log.Info("assignments replanned", "revision", plan.Revision, "absent", strings.Join(absent, ","), "moves", moves,
			"next-window", window.Name, "starts", window.Starts)
	}
}

// present returns the names of the processes and workers that were in contact lately: this process, others
// that are not draining and were in contact within constants.SuspectAfter, and the workers that
// workerserver.Table.Present returns.
func (s *Server) present() map[string]bool {
	present := map[string]bool{s.node.Self.Name: true}
	for _, info := range s.node.All("") {
		if info.AgeMs < constants.SuspectAfter.Milliseconds() && !info.Draining {
			present[info.Name] = true
		}
	}
	for _, worker := range s.workers.Present() {
		present[worker] = true
	}
	return present
}
