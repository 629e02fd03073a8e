package foreman

import (
	"math"
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

// silentMember finds a member that nobody has heard for long. One in our own hall
// is taken for replaced by us, and sooner: until we have its place, the set bears
// one loss less.
func (foreman *Foreman) silentMember(members []pattern.Member) *pattern.Member {
	seen := map[string]pattern.Entry{}
	for _, entry := range foreman.Stand.All(bellows.RoleForeman) {
		if have, known := seen[entry.Address]; !known || entry.AgeMs < have.AgeMs {
			seen[entry.Address] = entry
		}
	}
	up := watch.Now().Since(foreman.begun)
	for index := range members {
		entry, known := seen[members[index].Address]
		patience := almanac.ReplaceAfter
		if known && entry.Hall == foreman.Stand.Own.Hall {
			patience = almanac.SilentAfter
		}
		if known && entry.AgeMs < patience.Milliseconds() {
			continue
		}
		// Who has just started knows too little of who was silent for how long.
		if (!known && up < almanac.ReplaceAfter) || up < almanac.HoldTime {
			continue
		}
		// The last word is its own: one that answers now is not gone.
		back := &pattern.Nothing{}
		if tongs.Ask(foreman.Stand.Wire, members[index].Address, pattern.KindRosterPull, &pattern.RosterPull{Since: math.MaxUint64}, back, almanac.RoundTime) != nil {
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
