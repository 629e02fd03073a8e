package foreman

import (
	"slices"
	"strings"
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/fixture"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/pegboard"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// plans is a foreman's part in the assignments of adapters: it keeps what is in
// force, puts an operator's change in force, and plans anew when a node is gone.
type plans struct {
	register *Register
	lock     sync.Mutex
	board    pegboard.Board
	pulling  bool
	presence fixture.Presence
	changed  watch.Moment
}

func (foreman *Foreman) planAnswerers() {
	stand := foreman.Stand
	stand.Answer(pattern.KindPlanPull, answer(foreman.planPulled))
	stand.Answer(pattern.KindPlanApply, answer(foreman.planApply))
	stand.Report("assignments", func() *pattern.Status {
		told := foreman.planTold()
		return pegboard.Status(&told, "", watch.DayMinute())
	})
	foreman.plans.register.accepted = func(int64) {
		// Accepted is not chosen: a majority is asked. The generation told is the revision.
		go func() {
			watch.Sleep(almanac.PushTime)
			_, _ = foreman.planRead()
		}()
	}
}

func (foreman *Foreman) planTold() pattern.PlanTold {
	foreman.plans.lock.Lock()
	defer foreman.plans.lock.Unlock()
	return foreman.plans.board.Told()
}

// takePlan puts a chosen value in force here.
func (foreman *Foreman) takePlan(told *pattern.PlanTold) {
	foreman.plans.lock.Lock()
	taken := foreman.plans.board.Take(*told)
	if taken {
		foreman.plans.changed = watch.Now()
	}
	foreman.plans.lock.Unlock()
	if taken {
		foreman.Stand.Log.Info("assignments taken", "revision", told.Revision, "generation", told.Generation, "gone", len(told.Gone), "collisions", len(told.Collisions))
	}
}

// planRead reads the register at a majority.
func (foreman *Foreman) planRead() (*pattern.PlanTold, error) {
	if len(foreman.plans.register.Known().Acceptors) == 0 {
		foreman.learnNamed(foreman.plans.register)
	}
	value, failure := foreman.plans.register.Read()
	if failure != nil {
		return nil, failure
	}
	told, failure := fixture.Told(value.Current, value.Body)
	if failure != nil {
		return nil, failure
	}
	foreman.takePlan(told)
	return told, nil
}

// sawPlan follows another foreman that has a newer plan: what it tells is chosen.
func (foreman *Foreman) sawPlan(revision int64, address string) {
	foreman.plans.lock.Lock()
	behind := revision > foreman.plans.board.Revision() && !foreman.plans.pulling
	foreman.plans.pulling = foreman.plans.pulling || behind
	foreman.plans.lock.Unlock()
	if !behind {
		return
	}
	told := &pattern.PlanTold{}
	if tongs.Ask(foreman.Stand.Wire, address, pattern.KindPlanPull, &pattern.PlanPull{Whole: true}, told, almanac.CallTime) == nil {
		foreman.takePlan(told)
	}
	foreman.plans.lock.Lock()
	foreman.plans.pulling = false
	foreman.plans.lock.Unlock()
}

func (foreman *Foreman) planPulled(question *pattern.PlanPull) (tongs.Writable, error) {
	told := foreman.planTold()
	if question.Settled {
		settled, failure := foreman.planRead()
		if failure != nil {
			return nil, failure
		}
		told = *settled
	}
	if question.Whole {
		return &told, nil
	}
	return fixture.Part(&told, question.Node), nil
}

// planApply puts an operator's rules in force on top of the revision that they were
// planned on.
func (foreman *Foreman) planApply(question *pattern.PlanApply) (tongs.Writable, error) {
	now, failure := foreman.planRead()
	if failure != nil {
		return &pattern.PlanApplied{Why: "no majority of the register answers: " + failure.Error()}, nil
	}
	if len(question.Rules)+len(question.Answer) > almanac.PlanBody {
		return &pattern.PlanApplied{Why: "rules and answer are too large for the register"}, nil
	}
	if string(now.Value.Rules) == string(question.Rules) {
		return &pattern.PlanApplied{Taken: true, Revision: now.Revision, Why: "in force already"}, nil
	}
	if now.Revision != question.Base {
		return &pattern.PlanApplied{Revision: now.Revision, Why: "another plan was put in force meanwhile"}, nil
	}
	value, failure := fixture.Enact(&now.Value, question.Rules, question.Answer)
	if failure != nil {
		return &pattern.PlanApplied{Revision: now.Revision, Why: failure.Error()}, nil
	}
	told, outcome, failure := foreman.putPlan(value, question.Base)
	if failure != nil {
		return &pattern.PlanApplied{Unclear: mishap.Of(failure, vise.Unclear), Why: failure.Error()}, nil
	}
	if outcome != vise.OutcomeTaken && outcome != vise.OutcomeAlready {
		return &pattern.PlanApplied{Revision: told.Revision, Why: "another plan was put in force meanwhile"}, nil
	}
	foreman.Stand.Log.Info("assignments acknowledged", "revision", told.Revision, "generation", told.Generation)
	return &pattern.PlanApplied{Taken: true, Revision: told.Revision}, nil
}

// putPlan writes a value on top of a revision, and waits until the set that holds it
// bears the fault budget.
func (foreman *Foreman) putPlan(next *pattern.PlanValue, base int64) (*pattern.PlanTold, vise.Outcome, error) {
	version, body, failure := fixture.Version(next, base)
	if failure != nil {
		return nil, vise.OutcomeOther, failure
	}
	var outcome vise.Outcome
	value, failure := foreman.plans.register.Change(vise.Replace(version, body, &outcome))
	for end := watch.Now().Plus(almanac.CallTime); failure == nil && !foreman.bears(&value); {
		if watch.Now() > end {
			return nil, outcome, vise.Unclear.New("the set of acceptors is still growing")
		}
		watch.Sleep(almanac.TickPeriod)
		value, failure = foreman.plans.register.Change(vise.Replace(version, body, &outcome))
	}
	if failure != nil {
		return nil, outcome, failure
	}
	told, failure := fixture.Told(value.Current, value.Body)
	if failure == nil {
		foreman.takePlan(told)
	}
	return told, outcome, failure
}

// tendPlans looks after the register of assignments, and plans anew when a node of
// the rules went or came back.
func (foreman *Foreman) tendPlans() {
	foreman.tendNamed(foreman.plans.register)
	told := foreman.planTold()
	if told.Revision == 0 || !foreman.judging() {
		return
	}
	now := watch.Now()
	foreman.plans.lock.Lock()
	gone := foreman.plans.presence.Gone(&told, foreman.present(), now)
	calm := now.Since(foreman.plans.changed) > almanac.PlanPause
	foreman.plans.lock.Unlock()
	if !calm || slices.Equal(gone, told.Gone) {
		return
	}
	// Another foreman may have seen it first.
	current, failure := foreman.planRead()
	if failure != nil || current.Revision != told.Revision {
		return
	}
	next, moves, failure := fixture.Anew(&current.Value, gone)
	if failure != nil {
		foreman.Stand.Log.Error("assignments not planned anew", "gone", strings.Join(gone, ","), "why", failure.Error())
		return
	}
	after, outcome, failure := foreman.putPlan(next, current.Revision)
	if failure != nil || (outcome != vise.OutcomeTaken && outcome != vise.OutcomeAlready) {
		return
	}
	coming, _ := pegboard.Next(after.Windows, watch.DayMinute())
	for _, line := range after.Collisions {
		foreman.Stand.Log.Warn("assignments collide, the last answer stays in force", "revision", after.Revision, "gone", strings.Join(gone, ","),
			"next-window", coming.Name, "starts", coming.Starts, "collision", line)
	}
	if len(after.Collisions) == 0 {
		foreman.Stand.Log.Info("assignments planned anew", "revision", after.Revision, "gone", strings.Join(gone, ","), "moves", moves,
			"next-window", coming.Name, "starts", coming.Starts)
	}
}

// present names the processes and workers that were heard lately.
func (foreman *Foreman) present() map[string]bool {
	live := map[string]bool{foreman.Stand.Own.Name: true}
	for _, entry := range foreman.Stand.All("") {
		if entry.AgeMs < almanac.SilentAfter.Milliseconds() && !entry.Leaving {
			live[entry.Name] = true
		}
	}
	foreman.lock.Lock()
	defer foreman.lock.Unlock()
	for _, worker := range foreman.roster.All(watch.Now()) {
		if worker.Phase != pattern.PhaseGone && worker.AgeMs < almanac.ReplaceAfter.Milliseconds() {
			live[worker.ID] = true
		}
	}
	return live
}
