package foreman

import (
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// setSize is how many acceptors bear the loss of the fault budget.
func (foreman *Foreman) setSize() int { return 2*foreman.Stand.Boot.Budget() + 1 }

// tendSet keeps the acceptor set whole: this process joins it in the place of its
// own forgotten self or of a member that is gone, and ends changes that were left
// half done. Each process only ever proposes itself.
func (foreman *Foreman) tendSet() {
	known := foreman.Register.Known()
	if len(known.Acceptors) == 0 {
		foreman.learnSets()
		return
	}
	// Chance keeps several newcomers from proposing at once.
	if rand.Intn(2) == 0 && watch.Now().Since(foreman.begun) > almanac.HoldTime {
		return
	}
	own := foreman.Register.Identity()
	if len(known.Previous) > 0 {
		if value, failure := foreman.Register.Change(vise.Settle); failure == nil {
			foreman.chosen(value, false)
		}
		return
	}
	var out *pattern.Member
	for index := range known.Acceptors {
		member := known.Acceptors[index]
		if vise.Identity(member) == vise.Identity(own) {
			return
		}
		if member.Address == own.Address {
			// The same machine with another disk: that member has no memory left.
			out = &member
		}
	}
	if out == nil && len(known.Acceptors) >= foreman.setSize() {
		if out = foreman.silentMember(known.Acceptors); out == nil {
			return
		}
	}
	// A member in a set that is already full may have changed since: look first.
	foreman.learnSets()
	if foreman.Register.Known().SetEpoch != known.SetEpoch {
		return
	}
	value, failure := foreman.Register.Change(vise.Join(own, out))
	if failure != nil {
		foreman.Stand.Log.Warn("set not joined", "why", failure.Error())
		return
	}
	foreman.chosen(value, false)
	if value, failure = foreman.Register.Change(vise.Settle); failure == nil {
		foreman.Stand.Log.Info("set joined", "epoch", value.SetEpoch, "members", len(value.Acceptors))
	}
}

// silentMember finds a member that nobody has heard for long.
func (foreman *Foreman) silentMember(members []pattern.Member) *pattern.Member {
	if watch.Now().Since(foreman.begun) < almanac.ReplaceAfter {
		return nil
	}
	ages := map[string]int64{}
	for _, entry := range foreman.Stand.All(bellows.RoleForeman) {
		if age, seen := ages[entry.Address]; !seen || entry.AgeMs < age {
			ages[entry.Address] = entry.AgeMs
		}
	}
	for index := range members {
		age, seen := ages[members[index].Address]
		if seen && age < almanac.ReplaceAfter.Milliseconds() {
			continue
		}
		// The last word is its own: one that answers now is not gone.
		back := &pattern.Nothing{}
		if tongs.Ask(foreman.Stand.Wire, members[index].Address, pattern.KindRosterPull, &pattern.RosterPull{}, back, almanac.RoundTime) != nil {
			return &members[index]
		}
	}
	return nil
}

// changeDuty changes duty or store set on behalf of a locker.
func (foreman *Foreman) changeDuty(question *pattern.DutyChange) (tongs.Writable, error) {
	done := false
	change := vise.SetStores(question.Holder, question.Stores, &done)
	if question.Take {
		change = vise.TakeDuty(question.Holder, question.ExpectEpoch, question.Stores, &done)
	}
	value, failure := foreman.Register.Change(change)
	if failure != nil {
		return nil, failure
	}
	value.Body = nil
	return &pattern.DutyChanged{Done: done, Known: true, Value: value}, nil
}
