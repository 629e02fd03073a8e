package controller

import (
	"slices"
	"strings"
	"sync"

	"lemonarch/internal/configuration/adapterplan"
	"lemonarch/internal/control/assignments"
	"lemonarch/internal/control/register"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// planState is a controller's part in the assignments of adapters: it keeps what is in
// force, puts an operator's change in force, and plans anew when a node is gone.
type planState struct {
	replica  *registerserver.Replica
	lock     sync.Mutex
	table    assignments.Table
	pulling  bool
	presence adapterplan.Presence
	changed  clock.Instant
}

func (c *Controller) registerPlans() {
	runtime := c.Node
	runtime.Handle(messages.KindPlanPull, handle(c.handlePlanRequest))
	runtime.Handle(messages.KindPlanApply, handle(c.handlePlanApply))
	runtime.Report("assignments", func() *messages.StatusResponse {
		plan := c.currentPlan()
		return assignments.Status(&plan, "", clock.DayMinute())
	})
	c.plans.replica.OnAccepted = func(int64) {
		// Accepted is not chosen: a majority is asked. The generation told is the revision.
		go func() {
			clock.Sleep(constants.PushTimeout)
			_, _ = c.readPlan()
		}()
	}
}

func (c *Controller) currentPlan() messages.PlanResponse {
	c.plans.lock.Lock()
	defer c.plans.lock.Unlock()
	return c.plans.table.Plan()
}

// applyPlan puts a chosen value in force here.
func (c *Controller) applyPlan(plan *messages.PlanResponse) {
	c.plans.lock.Lock()
	taken := c.plans.table.Apply(*plan)
	if taken {
		c.plans.changed = clock.Now()
	}
	c.plans.lock.Unlock()
	if taken {
		c.Node.Log.Info("assignments taken", "revision", plan.Revision, "generation", plan.Generation, "gone", len(plan.Absent), "collisions", len(plan.Collisions))
	}
}

// readPlan reads the register at a majority.
func (c *Controller) readPlan() (*messages.PlanResponse, error) {
	if len(c.plans.replica.Known().Acceptors) == 0 {
		c.syncNamedSets(c.plans.replica)
	}
	value, err := c.plans.replica.Read()
	if err != nil {
		return nil, err
	}
	plan, err := adapterplan.Told(value.Current, value.Body)
	if err != nil {
		return nil, err
	}
	c.applyPlan(plan)
	return plan, nil
}

// observePlan follows another controller that has a newer plan: what it tells is chosen.
func (c *Controller) observePlan(revision int64, address string) {
	c.plans.lock.Lock()
	behind := revision > c.plans.table.Revision() && !c.plans.pulling
	c.plans.pulling = c.plans.pulling || behind
	c.plans.lock.Unlock()
	if !behind {
		return
	}
	plan := &messages.PlanResponse{}
	if transport.Call(c.Node.Transport, address, messages.KindPlanPull, &messages.PlanRequest{Complete: true}, plan, constants.CallTimeout) == nil {
		c.applyPlan(plan)
	}
	c.plans.lock.Lock()
	c.plans.pulling = false
	c.plans.lock.Unlock()
}

func (c *Controller) handlePlanRequest(req *messages.PlanRequest) (transport.Marshaler, error) {
	plan := c.currentPlan()
	if req.Linearizable {
		if !c.awaitContact() {
			return nil, ErrNoContact.New("assignments")
		}
		decided, err := c.readPlan()
		if err != nil {
			return nil, err
		}
		plan = *decided
	}
	if req.Complete {
		return &plan, nil
	}
	return adapterplan.Part(&plan, req.Node), nil
}

// handlePlanApply puts an operator's rules in force on top of the revision that they were
// planned on.
func (c *Controller) handlePlanApply(req *messages.PlanApplyRequest) (transport.Marshaler, error) {
	now, err := c.readPlan()
	if err != nil {
		return &messages.PlanApplyResponse{Reason: "no majority of the register answers: " + err.Error()}, nil
	}
	if len(req.Rules)+len(req.Solution) > constants.PlanBody {
		return &messages.PlanApplyResponse{Reason: "rules and answer are too large for the register"}, nil
	}
	if string(now.Value.Rules) == string(req.Rules) {
		return &messages.PlanApplyResponse{Applied: true, Revision: now.Revision, Reason: "in force already"}, nil
	}
	if now.Revision != req.Base {
		return &messages.PlanApplyResponse{Revision: now.Revision, Reason: "another plan was put in force meanwhile"}, nil
	}
	value, err := adapterplan.Enact(&now.Value, req.Rules, req.Solution)
	if err != nil {
		return &messages.PlanApplyResponse{Revision: now.Revision, Reason: err.Error()}, nil
	}
	plan, result, err := c.commitPlan(value, req.Base)
	if err != nil {
		return &messages.PlanApplyResponse{Unclear: errs.Is(err, register.ErrOutcomeUnknown), Reason: err.Error()}, nil
	}
	if !result.InForce() {
		return &messages.PlanApplyResponse{Revision: plan.Revision, Reason: "another plan was put in force meanwhile"}, nil
	}
	c.Node.Log.Info("assignments acknowledged", "revision", plan.Revision, "generation", plan.Generation)
	return &messages.PlanApplyResponse{Applied: true, Revision: plan.Revision}, nil
}

// commitPlan writes a value on top of a revision, and waits until the set that holds it
// bears the fault budget.
func (c *Controller) commitPlan(next *messages.PlanValue, base int64) (*messages.PlanResponse, register.Result, error) {
	version, body, err := adapterplan.Version(next, base)
	if err != nil {
		return nil, register.ResultConflict, err
	}
	value, result, err := c.plans.replica.Replace(version, body)
	for end := clock.Now().Add(constants.CallTimeout); err == nil && !c.toleratesBudget(&value); {
		if clock.Now() > end {
			return nil, result, register.ErrOutcomeUnknown.New("the set of acceptors is still growing")
		}
		clock.Sleep(constants.TickPeriod)
		value, result, err = c.plans.replica.Replace(version, body)
	}
	if err != nil {
		return nil, result, err
	}
	plan, err := adapterplan.Told(value.Current, value.Body)
	if err == nil {
		c.applyPlan(plan)
	}
	return plan, result, err
}

// reconcilePlan looks after the register of assignments, and plans anew when a node of
// the rules went or came back.
func (c *Controller) reconcilePlan() {
	c.reconcileNamedSet(c.plans.replica)
	plan := c.currentPlan()
	if plan.Revision == 0 || !c.hasContact() || c.recovering() {
		return
	}
	now := clock.Now()
	c.plans.lock.Lock()
	departed := c.plans.presence.Gone(&plan, c.present(), now)
	calm := now.Sub(c.plans.changed) > constants.PlanBackoff
	c.plans.lock.Unlock()
	if !calm || slices.Equal(departed, plan.Absent) {
		return
	}
	// Another controller may have seen it first.
	current, err := c.readPlan()
	if err != nil || current.Revision != plan.Revision {
		return
	}
	next, moves, err := adapterplan.Anew(&current.Value, departed)
	if err != nil {
		c.Node.Log.Error("assignments not planned anew", "gone", strings.Join(departed, ","), "why", err.Error())
		return
	}
	after, result, err := c.commitPlan(next, current.Revision)
	if err != nil || (!result.InForce()) {
		return
	}
	coming, _ := assignments.Next(after.Windows, clock.DayMinute())
	for _, line := range after.Collisions {
		c.Node.Log.Warn("assignments collide, the last answer stays in force", "revision", after.Revision, "gone", strings.Join(departed, ","),
			"next-window", coming.Name, "starts", coming.Starts, "collision", line)
	}
	if len(after.Collisions) == 0 {
		c.Node.Log.Info("assignments planned anew", "revision", after.Revision, "gone", strings.Join(departed, ","), "moves", moves,
			"next-window", coming.Name, "starts", coming.Starts)
	}
}

// present names the processes and workers that were heard lately.
func (c *Controller) present() map[string]bool {
	live := map[string]bool{c.Node.Self.Name: true}
	for _, entry := range c.Node.All("") {
		if entry.AgeMs < constants.SuspectAfter.Milliseconds() && !entry.Draining {
			live[entry.Name] = true
		}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, worker := range c.registry.All(clock.Now()) {
		if worker.Phase != messages.PhaseDeparted && worker.AgeMs < constants.ReplaceAfter.Milliseconds() {
			live[worker.ID] = true
		}
	}
	return live
}
