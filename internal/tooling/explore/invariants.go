package explore

import (
	"fmt"
	"slices"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// recordVote records that an acceptor accepted a value. If this vote makes the value chosen, it
// returns the acceptors that chose it.
func (f *registerState) recordVote(ballot messages.Ballot, value valueID, voter messages.Member) []messages.Member {
	i, known := slices.BinarySearchFunc(f.votes, ballot, func(ballotVotes vote, sought messages.Ballot) int {
		if ballotVotes.ballot == sought {
			return 0
		}
		if register.Less(ballotVotes.ballot, sought) {
			return -1
		}
		return 1
	})
	if !known {
		f.votes = slices.Insert(f.votes, i, vote{ballot: ballot, value: value})
	}
	ballotVotes := &f.votes[i]
	if ballotVotes.value != value {
		f.violation = fmt.Errorf("two different values accepted under ballot %v", ballot)
		return nil
	}
	if ballotVotes.chosen || slices.Contains(ballotVotes.voters, voter) {
		return nil
	}
	ballotVotes.voters = append(slices.Clone(ballotVotes.voters), voter)
	voters := map[string]bool{}
	for _, member := range ballotVotes.voters {
		voters[register.Identity(member)] = true
	}
	if !register.Quorum(f.table.value(value), voters) {
		return nil
	}
	list := ballotVotes.voters
	ballotVotes.chosen, ballotVotes.voters = true, nil
	f.checkChosen(ballotVotes)
	return list
}

// checkChosen checks a newly chosen value against all values chosen before: in the order of
// their ballots, each value must be built on the one before.
func (f *registerState) checkChosen(justChosen *vote) {
	for index := range f.votes {
		other := &f.votes[index]
		if !other.chosen || other.ballot == justChosen.ballot {
			continue
		}
		earlier, later := other, justChosen
		if register.Less(justChosen.ballot, other.ballot) {
			earlier, later = justChosen, other
		}
		if !follows(f.table.value(later.value), f.table.value(earlier.value)) {
			f.violation = fmt.Errorf("chosen value is not built on the previous one: %s and %s", f.describe(earlier), f.describe(later))
		}
	}
}

func (f *registerState) describe(chosen *vote) string {
	value := f.table.value(chosen.value)
	return fmt.Sprintf("%v versions=%v epoch=%d", chosen.ballot, versions(value), value.SetEpoch)
}

// recordResult checks and records the result that a writer's operator receives.
func (f *registerState) recordResult(run *proposer, value *messages.RegisterValue, result register.Result) {
	if run.version.Generation == 0 {
		return
	}
	if result.InForce() && !f.wasChosen(run.version) {
		f.violation = fmt.Errorf("version was acknowledged but never chosen: %v", run.version)
	}
	if !result.InForce() && f.wasChosen(run.version) {
		f.violation = fmt.Errorf("version was rejected but chosen: %v", run.version)
	}
	run.responded = true
	if run.versions+1 < f.plan.Versions {
		run.versions, run.responded = run.versions+1, false
		run.version = messages.Version{Generation: f.newest() + 1, Base: value.Current.Generation, Hash: run.version.Hash}
	}
}

// newest returns the highest generation used so far.
func (f *registerState) newest() int64 {
	var newest int64
	for i := range f.processes {
		if run := f.processes[i].proposer; run != nil {
			newest = max(newest, run.version.Generation)
		}
	}
	for index := range f.votes {
		newest = max(newest, f.table.value(f.votes[index].value).Current.Generation)
	}
	return newest
}

// wasChosen reports whether a version is part of a value that was chosen.
func (f *registerState) wasChosen(version messages.Version) bool {
	for index := range f.votes {
		if f.votes[index].chosen && slices.Contains(versions(f.table.value(f.votes[index].value)), version) {
			return true
		}
	}
	return false
}

// Check returns an error if the state violates an invariant: a recorded violation, or a chosen
// value that a proposal could miss.
func (f *registerState) Check() error {
	if f.violation != nil {
		return f.violation
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
	chosen := &f.votes[newest]
	if f.canMiss(chosen, f.table.value(chosen.value)) {
		return fmt.Errorf("a quorum of acceptors does not know the chosen value %s", f.describe(chosen))
	}
	for i := range f.processes {
		if known := f.table.value(f.processes[i].known); f.canMiss(chosen, known) {
			return fmt.Errorf("a proposal by %s to the sets of epoch %d can miss the chosen value %s", f.processes[i].name, known.SetEpoch, f.describe(chosen))
		}
	}
	return nil
}

// canMiss reports whether a proposal to the sets of a value could miss the chosen value. An
// acceptor is unaware of the chosen value if it has accepted no value of that ballot or a later one,
// and no value with newer sets. A proposal can miss the chosen value if the unaware acceptors form
// a quorum of the sets.
func (f *registerState) canMiss(chosen *vote, sets *messages.RegisterValue) bool {
	unaware := map[string]bool{}
	for i := range f.processes {
		proc := &f.processes[i]
		newer := proc.value != none && f.table.value(proc.value).SetEpoch > sets.SetEpoch
		unaware[register.Identity(proc.member())] = !newer && register.Less(proc.accepted, chosen.ballot)
	}
	return register.Quorum(sets, unaware)
}
