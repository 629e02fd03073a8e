package foreman

import (
	"math"
	"math/rand"
	"os"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/boot"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
	"lemonarch/internal/whetstone"
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
	change := foreman.tending().Step(known)
	if change == nil {
		return
	}
	if len(known.Previous) == 0 {
		// A member may have changed since: look before asking for its place.
		foreman.learnSets()
		if foreman.Register.Known().SetEpoch != known.SetEpoch {
			return
		}
	}
	value, failure := foreman.Register.Change(change)
	if failure != nil {
		foreman.Stand.Log.Warn("set not changed", "why", failure.Error())
		return
	}
	foreman.chosen(value, false)
	if len(known.Previous) > 0 {
		return
	}
	if value, failure = foreman.Register.Change(vise.Settle); failure == nil {
		foreman.Stand.Log.Info("set changed", "epoch", value.SetEpoch, "members", len(value.Acceptors))
	}
}

// tending gathers what the decision on the set needs.
func (foreman *Foreman) tending() vise.Tending {
	blank := map[string]bool{}
	for _, entry := range foreman.Stand.Live(bellows.RoleForeman) {
		blank[entry.Address] = entry.Disk == ""
	}
	return vise.Tending{Own: foreman.Register.Identity(), Votes: votes(foreman.Stand.Boot), Size: foreman.setSize(),
		Blank: func(member pattern.Member) bool { return blank[member.Address] },
		Gone:  foreman.silent}
}

// votes tells whether a process takes part in the register: one without a disk
// forgets at each start what it promised. Where no control machine has a disk, the
// settings count those without one in the quorum all the same.
func votes(settings *boot.Boot) bool { return settings.DataDir != "" || settings.InQuorum }

// openDisk gives the folder of the settings, or one in memory where there is none.
func openDisk(settings *boot.Boot) (whetstone.Disk, error) {
	if settings.DataDir == "" {
		return whetstone.NewFleeting(), nil
	}
	if failure := os.MkdirAll(settings.DataDir, 0o755); failure != nil {
		return nil, Damaged.Wrap(failure, "data-dir")
	}
	return whetstone.Folder(settings.DataDir), nil
}

// bears tells whether what is acknowledged now outlasts the fault budget. A set
// that can't grow, because nobody else has a disk or came in time, has to do.
func (foreman *Foreman) bears(value *pattern.Register) bool {
	if watch.Now().Since(foreman.begun) > almanac.GrowTime {
		return true
	}
	inside, others, heard := map[string]bool{}, 0, map[string]bool{}
	for _, member := range value.Acceptors {
		inside[member.Address] = true
	}
	for _, entry := range foreman.Stand.Live(bellows.RoleForeman) {
		heard[entry.Address] = entry.Disk != ""
		if entry.Disk != "" && !inside[entry.Address] {
			others++
		}
	}
	for _, member := range value.Acceptors {
		// At the first start a seed may turn out to have no disk: it gives way first.
		if foreman.Stand.Boot.Bootstrap && member.Address != foreman.Stand.Own.Address && !heard[member.Address] {
			return false
		}
	}
	if own := foreman.Register.Identity(); votes(foreman.Stand.Boot) && !inside[own.Address] {
		others++
	}
	return vise.Bears(value, foreman.setSize(), others)
}

// silent tells whether nobody has heard a member for long. One in our own hall is
// taken for replaced by us, and sooner: until we have its place, the set bears one
// loss less.
func (foreman *Foreman) silent(member pattern.Member) bool {
	patience, age, known := almanac.ReplaceAfter, int64(0), false
	for _, entry := range foreman.Stand.All(bellows.RoleForeman) {
		if entry.Address != member.Address || (known && entry.AgeMs >= age) {
			continue
		}
		age, known = entry.AgeMs, true
		if entry.Hall == foreman.Stand.Own.Hall {
			patience = almanac.SilentAfter
		}
	}
	if known && age < patience.Milliseconds() {
		return false
	}
	// Who has just started knows too little of who was silent for how long.
	up := watch.Now().Since(foreman.begun)
	if (!known && up < almanac.ReplaceAfter) || up < almanac.HoldTime {
		return false
	}
	// The last word is its own: one that answers now is not gone.
	back := &pattern.Nothing{}
	return tongs.Ask(foreman.Stand.Wire, member.Address, pattern.KindRosterPull, &pattern.RosterPull{Since: math.MaxUint64}, back, almanac.RoundTime) != nil
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
