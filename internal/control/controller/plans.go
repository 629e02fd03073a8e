package controller

import (
	"slices"
	"strings"
	"sync"

	"lemonarch/internal/configuration/adapterplan"
	"lemonarch/internal/control/assignments"
	"lemonarch/internal/control/quorum"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// plans is a controller's part in the assignments of adapters: it keeps what is in
// force, puts an operator's change in force, and plans anew when a node is gone.
type plans struct {
	localRegister *quorum.Register
	lock          sync.Mutex
	board         assignments.Board
	pulling       bool
	presence      adapterplan.Presence
	changed       clock.Moment
}

func (c *Controller) registerPlans() {
	runtime := c.Node
	runtime.Answer(messages.KindPlanPull, answer(c.planPulled))
	runtime.Answer(messages.KindPlanApply, answer(c.planApply))
	runtime.Report("assignments", func() *messages.Status {
		told := c.planTold()
		return assignments.Status(&told, "", clock.DayMinute())
	})
	c.plans.localRegister.Accepted = func(int64) {
		// Accepted is not chosen: a majority is asked. The generation told is the revision.
		go func() {
			clock.Sleep(constants.PushTime)
			_, _ = c.planRead()
		}()
	}
}

func (c *Controller) planTold() messages.PlanTold {
	c.plans.lock.Lock()
	defer c.plans.lock.Unlock()
	return c.plans.board.Told()
}

// takePlan puts a chosen value in force here.
func (c *Controller) takePlan(told *messages.PlanTold) {
	c.plans.lock.Lock()
	taken := c.plans.board.Take(*told)
	if taken {
		c.plans.changed = clock.Now()
	}
	c.plans.lock.Unlock()
	if taken {
		c.Node.Log.Info("assignments taken", "revision", told.Revision, "generation", told.Generation, "gone", len(told.Gone), "collisions", len(told.Collisions))
	}
}

// planRead reads the register at a majority.
func (c *Controller) planRead() (*messages.PlanTold, error) {
	if len(c.plans.localRegister.Known().Acceptors) == 0 {
		c.learnNamed(c.plans.localRegister)
	}
	value, err := c.plans.localRegister.Read()
	if err != nil {
		return nil, err
	}
	told, err := adapterplan.Told(value.Current, value.Body)
	if err != nil {
		return nil, err
	}
	c.takePlan(told)
	return told, nil
}

// sawPlan follows another controller that has a newer plan: what it tells is chosen.
func (c *Controller) sawPlan(revision int64, address string) {
	c.plans.lock.Lock()
	behind := revision > c.plans.board.Revision() && !c.plans.pulling
	c.plans.pulling = c.plans.pulling || behind
	c.plans.lock.Unlock()
	if !behind {
		return
	}
	told := &messages.PlanTold{}
	if transport.Ask(c.Node.Wire, address, messages.KindPlanPull, &messages.PlanPull{Whole: true}, told, constants.CallTime) == nil {
		c.takePlan(told)
	}
	c.plans.lock.Lock()
	c.plans.pulling = false
	c.plans.lock.Unlock()
}

func (c *Controller) planPulled(question *messages.PlanPull) (transport.Writable, error) {
	told := c.planTold()
	if question.Settled {
		if !c.inContact() {
			return nil, Detached.New("assignments")
		}
		settled, err := c.planRead()
		if err != nil {
			return nil, err
		}
		told = *settled
	}
	if question.Whole {
		return &told, nil
	}
	return adapterplan.Part(&told, question.Node), nil
}

// planApply puts an operator's rules in force on top of the revision that they were
// planned on.
func (c *Controller) planApply(question *messages.PlanApply) (transport.Writable, error) {
	now, err := c.planRead()
	if err != nil {
		return &messages.PlanApplied{Why: "no majority of the register answers: " + err.Error()}, nil
	}
	if len(question.Rules)+len(question.Answer) > constants.PlanBody {
		return &messages.PlanApplied{Why: "rules and answer are too large for the register"}, nil
	}
	if string(now.Value.Rules) == string(question.Rules) {
		return &messages.PlanApplied{Taken: true, Revision: now.Revision, Why: "in force already"}, nil
	}
	if now.Revision != question.Base {
		return &messages.PlanApplied{Revision: now.Revision, Why: "another plan was put in force meanwhile"}, nil
	}
	value, err := adapterplan.Enact(&now.Value, question.Rules, question.Answer)
	if err != nil {
		return &messages.PlanApplied{Revision: now.Revision, Why: err.Error()}, nil
	}
	told, result, err := c.putPlan(value, question.Base)
	if err != nil {
		return &messages.PlanApplied{Unclear: errs.Of(err, register.Unclear), Why: err.Error()}, nil
	}
	if !result.Stands() {
		return &messages.PlanApplied{Revision: told.Revision, Why: "another plan was put in force meanwhile"}, nil
	}
	c.Node.Log.Info("assignments acknowledged", "revision", told.Revision, "generation", told.Generation)
	return &messages.PlanApplied{Taken: true, Revision: told.Revision}, nil
}

// putPlan writes a value on top of a revision, and waits until the set that holds it
// bears the fault budget.
func (c *Controller) putPlan(next *messages.PlanValue, base int64) (*messages.PlanTold, register.Result, error) {
	version, body, err := adapterplan.Version(next, base)
	if err != nil {
		return nil, register.ResultOther, err
	}
	value, result, err := c.plans.localRegister.Replace(version, body)
	for end := clock.Now().Plus(constants.CallTime); err == nil && !c.bears(&value); {
		if clock.Now() > end {
			return nil, result, register.Unclear.New("the set of acceptors is still growing")
		}
		clock.Sleep(constants.TickPeriod)
		value, result, err = c.plans.localRegister.Replace(version, body)
	}
	if err != nil {
		return nil, result, err
	}
	told, err := adapterplan.Told(value.Current, value.Body)
	if err == nil {
		c.takePlan(told)
	}
	return told, result, err
}

// tendPlans looks after the register of assignments, and plans anew when a node of
// the rules went or came back.
func (c *Controller) tendPlans() {
	c.tendNamed(c.plans.localRegister)
	told := c.planTold()
	if told.Revision == 0 || !c.attached() || c.learning() {
		return
	}
	now := clock.Now()
	c.plans.lock.Lock()
	gone := c.plans.presence.Gone(&told, c.present(), now)
	calm := now.Since(c.plans.changed) > constants.PlanPause
	c.plans.lock.Unlock()
	if !calm || slices.Equal(gone, told.Gone) {
		return
	}
	// Another controller may have seen it first.
	current, err := c.planRead()
	if err != nil || current.Revision != told.Revision {
		return
	}
	next, moves, err := adapterplan.Anew(&current.Value, gone)
	if err != nil {
		c.Node.Log.Error("assignments not planned anew", "gone", strings.Join(gone, ","), "why", err.Error())
		return
	}
	after, result, err := c.putPlan(next, current.Revision)
	if err != nil || (!result.Stands()) {
		return
	}
	coming, _ := assignments.Next(after.Windows, clock.DayMinute())
	for _, line := range after.Collisions {
		c.Node.Log.Warn("assignments collide, the last answer stays in force", "revision", after.Revision, "gone", strings.Join(gone, ","),
			"next-window", coming.Name, "starts", coming.Starts, "collision", line)
	}
	if len(after.Collisions) == 0 {
		c.Node.Log.Info("assignments planned anew", "revision", after.Revision, "gone", strings.Join(gone, ","), "moves", moves,
			"next-window", coming.Name, "starts", coming.Starts)
	}
}

// present names the processes and workers that were heard lately.
func (c *Controller) present() map[string]bool {
	live := map[string]bool{c.Node.Own.Name: true}
	for _, entry := range c.Node.All("") {
		if entry.AgeMs < constants.SilentAfter.Milliseconds() && !entry.Leaving {
			live[entry.Name] = true
		}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, worker := range c.registry.All(clock.Now()) {
		if worker.Phase != messages.PhaseGone && worker.AgeMs < constants.ReplaceAfter.Milliseconds() {
			live[worker.ID] = true
		}
	}
	return live
}
