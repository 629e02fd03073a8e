package leader

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// A member whose machine came back with an empty disk is removed from the set at once, and
// joins again once it has a copy of everything. Otherwise the members that are left could not
// be told from those that may still hold a record: while the copying lasts, a further loss
// would leave a new leader short of answers although it has every record itself.

// removeLostDisks has the register name the set without the members whose disks are lost.
func (t *Term) removeLostDisks() {
	if !t.process.Election.HoldsLease() || !t.feeds.setChange.TryLock() {
		return
	}
	defer t.feeds.setChange.Unlock()
	lost := t.markLostDisks()
	if len(lost) == 0 {
		return
	}
	t.lock.Lock()
	var next []messages.Member
	for _, member := range t.records.replicator.Members {
		if !lost[register.Identity(member)] {
			next = append(next, member)
		}
	}
	t.lock.Unlock()
	if !t.commitSet(next) {
		return
	}
	t.lock.Lock()
	for identity := range lost {
		t.stopFeedOf(identity)
	}
	t.lock.Unlock()
	t.process.Node.Log.Info("stores that lost their disks removed", "lost", len(lost), "stores", len(next), "epoch", t.leadership.Epoch)
}

// markLostDisks finds the members whose disks are lost, leaves them out of the count of copies,
// and gives them by identity.
func (t *Term) markLostDisks() (lost map[string]bool) {
	lost = t.findLostDisks()
	t.noteLostDisks(lost)
	return lost
}

// findLostDisks gives the members whose machines answer with another disk, by identity. It asks
// each such machine itself, since what others say of it may be old.
func (t *Term) findLostDisks() (lost map[string]bool) {
	entries := t.process.storeEntries()
	t.lock.Lock()
	members := t.records.replicator.Members
	t.lock.Unlock()
	lost = map[string]bool{}
	for _, member := range members {
		if diskLost(member, entries, nil) != nil && t.confirmDiskLost(member, entries[member.Name].Address) {
			lost[register.Identity(member)] = true
		}
	}
	return lost
}

// noteLostDisks leaves lost disks out of the count of copies, and applies what is committed by that.
func (t *Term) noteLostDisks(lost map[string]bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for identity := range lost {
		if t.records.replicator.MarkLost(identity) {
			t.applyCommittedLocked()
			t.notifyLocked()
		}
	}
}

// confirmDiskLost asks a member's machine, at its present address, whether it still has the
// disk by which the set names it.
func (t *Term) confirmDiskLost(member messages.Member, address string) bool {
	if member.Name == t.process.Node.Self.Name {
		return false
	}
	member.Address = address
	resp, err := t.fence(member)
	return err == nil && replication.RefusedForDisk(t.leadership.Epoch, &resp)
}
