package leader

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// removeDeparted has the register name the set without members that are gone, where nothing
// can be committed with them and no other store stands by to take their place. The set has lost
// members before in such a case, and every record is on all that are left, so whoever answers
// holds everything. It is the last resort: where a store stands by, reconcileSet adds it, and
// the number of copies stays.
func (t *Term) removeDeparted() {
	if !t.process.Election.HoldsLease() || !t.feeds.setChange.TryLock() {
		return
	}
	defer t.feeds.setChange.Unlock()
	t.lock.Lock()
	members := t.records.replicator.Members
	t.lock.Unlock()
	next := t.process.withoutDeparted(members)
	if len(next) == len(members) || !t.commitSet(next) {
		return
	}
	t.lock.Lock()
	for _, member := range members {
		if !containsMember(next, member) {
			t.stopFeed(member)
		}
	}
	t.lock.Unlock()
	t.process.Node.Log.Warn("departed stores removed", "stores", len(next), "removed", len(members)-len(next), "epoch", t.leadership.Epoch)
}

// withoutDeparted gives the members but those that are gone, or all of them where the set can
// go on as it is, or another store may join it.
func (p *Process) withoutDeparted(members []messages.Member) []messages.Member {
	entries := p.storeEntries()
	set := p.storeSet(members, entries, nil, nil)
	if len(members) > replication.CopiesNeeded(len(members), p.budget()) || set.uptime < constants.ReplaceAfter || set.spare("") != nil {
		return members
	}
	var present []messages.Member
	for _, member := range members {
		entry, known := entries[member.Name]
		silent := !known || clock.Milliseconds(float64(entry.AgeMs)) >= constants.ReplaceAfter
		if set.isSelf(member) || !silent || !p.isUnresponsive(member) {
			present = append(present, member)
		}
	}
	return present
}

// containsMember tells whether a set names a member, on the same disk.
func containsMember(members []messages.Member, member messages.Member) bool {
	for i := range members {
		if register.Identity(members[i]) == register.Identity(member) {
			return true
		}
	}
	return false
}
