package leader

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// removeDeparted removes departed members from the store set if nothing can be committed with them
// in it and there is no spare store to replace them. The set has then already lost members before,
// and every record is on all remaining members, so every member that responds has all records. It
// is the last resort: if there is a spare store, reconcileSet adds it, and the number of copies
// stays the same.
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
	t.process.Node.Log.Warn("departed stores removed from the store set", "stores", len(next), "removed", len(members)-len(next), "epoch", t.leadership.Epoch)
}

// withoutDeparted returns the members that have not departed. It returns all members if the set can
// continue unchanged, a spare store can join it, or this process has not yet been running for
// constants.ReplaceAfter.
func (p *Process) withoutDeparted(members []messages.Member) []messages.Member {
	nodes := p.knownStores()
	set := p.storeSet(members, nodes, nil, nil)
	if len(members) > replication.CopiesNeeded(len(members), p.budget()) || set.uptime < constants.ReplaceAfter || set.spare("") != nil {
		return members
	}
	var present []messages.Member
	for _, member := range members {
		node, known := nodes[member.Name]
		silent := !known || clock.Milliseconds(float64(node.AgeMs)) >= constants.ReplaceAfter
		if set.isSelf(member) || !silent || !p.isUnresponsive(member) {
			present = append(present, member)
		}
	}
	return present
}

// containsMember reports whether a set contains a member with the same address and disk.
func containsMember(members []messages.Member, member messages.Member) bool {
	for i := range members {
		if register.Identity(members[i]) == register.Identity(member) {
			return true
		}
	}
	return false
}
