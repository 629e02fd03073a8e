package leader

import (
	"slices"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// reconcileSet keeps the store set complete: a member that is to be emptied, that came back
// with an empty disk, or that stays silent is replaced by one that first gets a copy of
// everything.
func (t *Term) reconcileSet() {
	process := t.process
	if !process.Election.HoldsLease() {
		return
	}
	t.lock.Lock()
	members, busy := t.records.replicator.Members, t.records.replicator.Next != nil
	t.lock.Unlock()
	if t.tooSlow(clock.Now()) {
		t.Close("this machine or its disk is slow")
		t.Resign()
		return
	}
	if busy {
		return
	}
	if process.Election.RegisterAge() > constants.GossipPeriod && !process.Election.ReadRegister() {
		return
	}
	t.checkRegisterSet(members)
	retired := map[string]bool{}
	for _, name := range process.Election.Register().Retired {
		retired[name] = true
	}
	if retired[process.Node.Self.Name] {
		// Another has to lead the way out: this machine's copies go elsewhere.
		t.Close("this machine is to be emptied")
		t.Resign()
		return
	}
	entries := process.storeEntries()
	out, joiner := process.nextResponsiveChange(members, entries, retired)
	if joiner == nil {
		return
	}
	replacements := []replacement{{out, *joiner}}
	switch {
	case out == nil:
		// All that are lacking join in one change: each second in which the set is too small
		// counts against the fault budget.
		replacements = process.fillReplacements(members, entries, retired)
	case out.Name == joiner.Name:
		replacements = replacements[:0]
		for i := range members {
			if resp := diskLost(members[i], entries, retired); resp != nil && members[i].Name != process.Node.Self.Name {
				replacements = append(replacements, replacement{&members[i], *resp})
			}
		}
	}
	t.changeSet(replacements)
}

// checkRegisterSet writes a line where the register names another store set for this term than
// the one by which it counts copies.
func (t *Term) checkRegisterSet(members []messages.Member) {
	value := t.process.Election.Register()
	if value.Leadership.Epoch != t.leadership.Epoch || register.SameMembers(value.Stores, members) {
		return
	}
	t.process.Node.Log.Error("store set differs from the register's", "epoch", t.leadership.Epoch, "counted", len(members), "named", len(value.Stores))
}

// storeEntries gives the stores that are known, by name.
func (p *Process) storeEntries() map[string]messages.NodeInfo {
	entries := map[string]messages.NodeInfo{}
	for _, entry := range p.Node.All(membership.RoleStore) {
		entries[entry.Name] = entry
	}
	return entries
}

// fillers gives the stores that make a set complete which is too small, the best first. Slow
// ones are left out.
func (p *Process) fillReplacements(members []messages.Member, entries map[string]messages.NodeInfo, retired map[string]bool) []replacement {
	var fillers []replacement
	set := p.storeSet(slices.Clone(members), entries, retired, nil)
	for {
		_, joiner := set.fill()
		if joiner == nil {
			return fillers
		}
		if p.isSlow(*joiner) {
			delete(entries, joiner.Name)
			continue
		}
		set.members = append(set.members, *joiner)
		fillers = append(fillers, replacement{nil, *joiner})
	}
}

// replacement puts a joiner into a member's place, or adds it where out is nil.
type replacement struct {
	out *messages.Member
	in  messages.Member
}

// withReplacements gives the set after the swaps.
func withReplacements(members []messages.Member, replacements []replacement) []messages.Member {
	next := make([]messages.Member, 0, len(members)+1)
	for _, member := range members {
		stays := true
		for _, s := range replacements {
			stays = stays && (s.out == nil || register.Identity(member) != register.Identity(*s.out))
		}
		if stays {
			next = append(next, member)
		}
	}
	for _, s := range replacements {
		next = append(next, s.in)
	}
	return next
}
