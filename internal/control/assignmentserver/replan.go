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

// commit writes a value on top of a revision, and waits until the set that holds it
// tolerates the fault budget.
func (s *Server) commit(next *messages.PlanValue, base int64) (*messages.PlanResponse, register.Result, error) {
	version, body, err := adapterplan.Version(next, base)
	if err != nil {
		return nil, register.ResultConflict, err
	}
	always := func(register.Result) bool { return true }
	value, result, err := s.sets.CommitTolerant(version, body, always)
	if err != nil {
		return nil, result, err
	}
	plan, err := adapterplan.Told(value.Current, value.Body)
	if err == nil {
		s.apply(plan)
	}
	return plan, result, err
}

// ReconcileSet keeps the register's acceptor set complete.
func (s *Server) ReconcileSet() { s.sets.Reconcile() }

// Reconcile keeps the register's acceptor set complete, and plans anew when a node of the
// rules absent or came back.
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

// replanDue gives the nodes of the plan that are absent, and whether a plan without them is
// due.
func (s *Server) replanDue(plan *messages.PlanResponse) (absent []string, due bool) {
	now := clock.Now()
	s.lock.Lock()
	absent = s.presence.Gone(plan, s.present(), now)
	calm := now.Sub(s.changedAt) > constants.PlanBackoff
	s.lock.Unlock()
	return absent, calm && !slices.Equal(absent, plan.Absent)
}

// replan puts a plan without the absent nodes in force.
func (s *Server) replan(plan *messages.PlanResponse, absent []string) {
	// Another controller may have seen it first.
	current, err := s.Read()
	if err != nil || current.Revision != plan.Revision {
		return
	}
	next, moves, err := adapterplan.Anew(&current.Value, absent)
	if err != nil {
		s.node.Log.Error("assignments not planned anew", "absent", strings.Join(absent, ","), "err", err.Error())
		return
	}
	after, result, err := s.commit(next, current.Revision)
	if err != nil || !result.InForce() {
		return
	}
	s.logReplan(after, absent, moves)
}

// logReplan logs a new plan, or the collisions that keep the one before in force.
func (s *Server) logReplan(after *messages.PlanResponse, absent []string, moves int) {
	coming, _ := assignments.Next(after.Windows, clock.DayMinute())
	for _, line := range after.Collisions {
		s.node.Log.Warn("assignments collide, the last answer stays in force", "revision", after.Revision, "absent", strings.Join(absent, ","),
			"next-window", coming.Name, "starts", coming.Starts, "collision", line)
	}
	if len(after.Collisions) == 0 {
		s.node.Log.Info("assignments planned anew", "revision", after.Revision, "absent", strings.Join(absent, ","), "moves", moves,
			"next-window", coming.Name, "starts", coming.Starts)
	}
}

// present names the processes and workers that were in contact lately.
func (s *Server) present() map[string]bool {
	present := map[string]bool{s.node.Self.Name: true}
	for _, entry := range s.node.All("") {
		if entry.AgeMs < constants.SuspectAfter.Milliseconds() && !entry.Draining {
			present[entry.Name] = true
		}
	}
	for _, worker := range s.workers.Present() {
		present[worker] = true
	}
	return present
}
