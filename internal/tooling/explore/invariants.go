package explore

import (
	"fmt"
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// vote notes that an acceptor accepted a value. Once that value is chosen by it, it
// gives the acceptors that chose it.
func (one *fleet) vote(ballot messages.Ballot, value valueID, by messages.Member) []messages.Member {
	place, known := slices.BinarySearchFunc(one.votes, ballot, func(cast vote, sought messages.Ballot) int {
		if cast.ballot == sought {
			return 0
		}
		if register.Less(cast.ballot, sought) {
			return -1
		}
		return 1
	})
	if !known {
		one.votes = slices.Insert(one.votes, place, vote{ballot: ballot, value: value})
	}
	cast := &one.votes[place]
	if cast.value != value {
		one.broken = fmt.Errorf("two values under ballot %v", ballot)
		return nil
	}
	if cast.chosen || slices.Contains(cast.by, by) {
		return nil
	}
	cast.by = append(slices.Clone(cast.by), by)
	voters := map[string]bool{}
	for _, member := range cast.by {
		voters[register.Identity(member)] = true
	}
	if !register.Quorum(one.table.at(value), voters) {
		return nil
	}
	list := cast.by
	cast.chosen, cast.by = true, nil
	one.chosen(cast)
	return list
}

// chosen checks a value that was just chosen against all others that ever were: in
// the order of their ballots, each is built on the one before.
func (one *fleet) chosen(fresh *vote) {
	for index := range one.votes {
		other := &one.votes[index]
		if !other.chosen || other.ballot == fresh.ballot {
			continue
		}
		earlier, later := other, fresh
		if register.Less(fresh.ballot, other.ballot) {
			earlier, later = fresh, other
		}
		if !follows(one.table.at(later.value), one.table.at(earlier.value)) {
			one.broken = fmt.Errorf("chosen values that do not follow each other: %s and %s", one.brief(earlier), one.brief(later))
		}
	}
}

func (one *fleet) brief(cast *vote) string {
	value := one.table.at(cast.value)
	return fmt.Sprintf("%v versions=%v epoch=%d", cast.ballot, versions(value), value.SetEpoch)
}

// told notes what a writer's operator is told.
func (one *fleet) told(run *proposer, value *messages.Register, result register.Result) {
	if run.version.Generation == 0 {
		return
	}
	if result.Stands() && !one.wasChosen(run.version) {
		one.broken = fmt.Errorf("acknowledged and never chosen: %v", run.version)
	}
	if !result.Stands() && one.wasChosen(run.version) {
		one.broken = fmt.Errorf("refused and chosen: %v", run.version)
	}
	run.told = true
	if run.versions+1 < one.plan.Versions {
		run.versions, run.told = run.versions+1, false
		run.version = messages.Version{Generation: one.newest() + 1, Base: value.Current.Generation, Hash: run.version.Hash}
	}
}

// newest is the highest generation used so far.
func (one *fleet) newest() int64 {
	var newest int64
	for place := range one.processes {
		if run := one.processes[place].proposer; run != nil {
			newest = max(newest, run.version.Generation)
		}
	}
	for index := range one.votes {
		newest = max(newest, one.table.at(one.votes[index].value).Current.Generation)
	}
	return newest
}

// wasChosen tells whether a version stands in a value that was chosen.
func (one *fleet) wasChosen(version messages.Version) bool {
	for index := range one.votes {
		if one.votes[index].chosen && slices.Contains(versions(one.table.at(one.votes[index].value)), version) {
			return true
		}
	}
	return false
}

// Check gives the invariant that the state breaks.
func (one *fleet) Check() error {
	if one.broken != nil {
		return one.broken
	}
	newest := -1
	for index := range one.votes {
		if one.votes[index].chosen && (newest < 0 || register.Less(one.votes[newest].ballot, one.votes[index].ballot)) {
			newest = index
		}
	}
	if newest < 0 {
		return nil
	}
	cast := &one.votes[newest]
	if one.missable(cast, one.table.at(cast.value)) {
		return fmt.Errorf("a majority does not know of the chosen %s", one.brief(cast))
	}
	for place := range one.processes {
		if known := one.table.at(one.processes[place].known); one.missable(cast, known) {
			return fmt.Errorf("%s, which knows the sets of epoch %d, can miss the chosen %s", one.processes[place].name, known.SetEpoch, one.brief(cast))
		}
	}
	return nil
}

// missable tells whether a proposal to the sets of a value could miss what was chosen:
// whether acceptors that hold neither the chosen value nor a later one, and know of no
// newer sets, make a quorum.
func (one *fleet) missable(cast *vote, sets *messages.Register) bool {
	ignorant := map[string]bool{}
	for place := range one.processes {
		at := &one.processes[place]
		newer := at.value != none && one.table.at(at.value).SetEpoch > sets.SetEpoch
		ignorant[register.Identity(at.member())] = !newer && register.Less(at.accepted, cast.ballot)
	}
	return register.Quorum(sets, ignorant)
}
