package explore

import (
	"fmt"
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// vote notes that an acceptor accepted a value. Once that value is chosen by it, it
// gives the acceptors that chose it.
func (f *fleet) vote(ballot messages.Ballot, value valueID, by messages.Member) []messages.Member {
	i, known := slices.BinarySearchFunc(f.votes, ballot, func(cast vote, sought messages.Ballot) int {
		if cast.ballot == sought {
			return 0
		}
		if register.Less(cast.ballot, sought) {
			return -1
		}
		return 1
	})
	if !known {
		f.votes = slices.Insert(f.votes, i, vote{ballot: ballot, value: value})
	}
	cast := &f.votes[i]
	if cast.value != value {
		f.broken = fmt.Errorf("two values under ballot %v", ballot)
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
	if !register.Quorum(f.table.at(value), voters) {
		return nil
	}
	list := cast.by
	cast.chosen, cast.by = true, nil
	f.chosen(cast)
	return list
}

// chosen checks a value that was just chosen against all others that ever were: in
// the order of their ballots, each is built on the one before.
func (f *fleet) chosen(fresh *vote) {
	for index := range f.votes {
		other := &f.votes[index]
		if !other.chosen || other.ballot == fresh.ballot {
			continue
		}
		earlier, later := other, fresh
		if register.Less(fresh.ballot, other.ballot) {
			earlier, later = fresh, other
		}
		if !follows(f.table.at(later.value), f.table.at(earlier.value)) {
			f.broken = fmt.Errorf("chosen values that do not follow each other: %s and %s", f.brief(earlier), f.brief(later))
		}
	}
}

func (f *fleet) brief(cast *vote) string {
	value := f.table.at(cast.value)
	return fmt.Sprintf("%v versions=%v epoch=%d", cast.ballot, versions(value), value.SetEpoch)
}

// told notes what a writer's operator is told.
func (f *fleet) told(run *proposer, value *messages.RegisterValue, result register.Result) {
	if run.version.Generation == 0 {
		return
	}
	if result.InForce() && !f.wasChosen(run.version) {
		f.broken = fmt.Errorf("acknowledged and never chosen: %v", run.version)
	}
	if !result.InForce() && f.wasChosen(run.version) {
		f.broken = fmt.Errorf("refused and chosen: %v", run.version)
	}
	run.told = true
	if run.versions+1 < f.plan.Versions {
		run.versions, run.told = run.versions+1, false
		run.version = messages.Version{Generation: f.newest() + 1, Base: value.Current.Generation, Hash: run.version.Hash}
	}
}

// newest is the highest generation used so far.
func (f *fleet) newest() int64 {
	var newest int64
	for i := range f.processes {
		if run := f.processes[i].proposer; run != nil {
			newest = max(newest, run.version.Generation)
		}
	}
	for index := range f.votes {
		newest = max(newest, f.table.at(f.votes[index].value).Current.Generation)
	}
	return newest
}

// wasChosen tells whether a version stands in a value that was chosen.
func (f *fleet) wasChosen(version messages.Version) bool {
	for index := range f.votes {
		if f.votes[index].chosen && slices.Contains(versions(f.table.at(f.votes[index].value)), version) {
			return true
		}
	}
	return false
}

// Check gives the invariant that the state breaks.
func (f *fleet) Check() error {
	if f.broken != nil {
		return f.broken
	}
	newest := -1
	for index := range f.votes {
		if f.votes[index].chosen && (newest < 0 || register.Less(f.votes[newest].ballot, f.votes[index].ballot)) {
			newest = index
		}
	}
	if newest < 0 {
		return nil
	}
	cast := &f.votes[newest]
	if f.missable(cast, f.table.at(cast.value)) {
		return fmt.Errorf("a majority does not know of the chosen %s", f.brief(cast))
	}
	for i := range f.processes {
		if known := f.table.at(f.processes[i].known); f.missable(cast, known) {
			return fmt.Errorf("%s, which knows the sets of epoch %d, can miss the chosen %s", f.processes[i].name, known.SetEpoch, f.brief(cast))
		}
	}
	return nil
}

// missable tells whether a proposal to the sets of a value could miss what was chosen:
// whether acceptors that hold neither the chosen value nor a later one, and know of no
// newer sets, make a quorum.
func (f *fleet) missable(cast *vote, sets *messages.RegisterValue) bool {
	ignorant := map[string]bool{}
	for i := range f.processes {
		at := &f.processes[i]
		newer := at.value != none && f.table.at(at.value).SetEpoch > sets.SetEpoch
		ignorant[register.Identity(at.member())] = !newer && register.Less(at.accepted, cast.ballot)
	}
	return register.Quorum(sets, ignorant)
}
