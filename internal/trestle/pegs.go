package trestle

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/pegboard"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// pegs is what a process that is no foreman knows of the assignments: its own part.
type pegs struct {
	board   pegboard.Board
	pulling bool
}

// sawPlan pulls this node's part of a newer plan from the foreman that told of it.
func (trestle *Trestle) sawPlan(revision int64, address string) {
	trestle.lock.Lock()
	behind := revision > trestle.pegs.board.Revision() && !trestle.pegs.pulling && trestle.Own.Role != bellows.RoleForeman
	trestle.pegs.pulling = trestle.pegs.pulling || behind
	trestle.lock.Unlock()
	if !behind {
		return
	}
	go trestle.pullPlan(address)
}

func (trestle *Trestle) pullPlan(address string) {
	told := &pattern.PlanTold{}
	failure := tongs.Ask(trestle.Wire, address, pattern.KindPlanPull, &pattern.PlanPull{Node: trestle.Own.Name}, told, almanac.CallTime)
	trestle.lock.Lock()
	trestle.pegs.pulling = false
	taken := failure == nil && trestle.pegs.board.Take(*told)
	trestle.lock.Unlock()
	if taken {
		trestle.Log.Info("assignments taken", "revision", told.Revision, "generation", told.Generation, "copies", len(told.Places))
	}
}

// Assigned gives what this node carries, for each window.
func (trestle *Trestle) Assigned() pattern.PlanTold {
	trestle.lock.Lock()
	defer trestle.lock.Unlock()
	return trestle.pegs.board.Told()
}

func (trestle *Trestle) reportPegs() *pattern.Status {
	told := trestle.Assigned()
	return pegboard.Status(&told, trestle.Own.Name, watch.DayMinute())
}
