package leader

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// A member whose machine returned with an empty disk is removed from the set immediately, and joins
// again once it has a copy of all records. If it remained in the set, it would count as a member
// that may have a record. If another member was lost during the copying, a new leader would then
// receive too few responses to take over, although it has every record itself.

// removeLostDisks removes the members whose disks are lost from the store set.
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
	t.process.Node.Log.Info("stores with lost disks removed from the store set", "lost", len(lost), "stores", len(next), "epoch", t.leadership.Epoch)
}

// markLostDisks finds the members whose disks are lost, excludes them from the count of copies, and
// returns their identities.
func (t *Term) markLostDisks() (lost map[string]bool) {
	lost = t.findLostDisks()
	t.recordLostDisks(lost)
	return lost
}

// findLostDisks returns the identities of the members whose machines respond with a different disk.
// It sends a request to each such machine, since the gossiped information may be out of date.
func (t *Term) findLostDisks() (lost map[string]bool) {
	nodes := t.process.knownStores()
	t.lock.Lock()
	members := t.records.replicator.Members
	t.lock.Unlock()
	lost = map[string]bool{}
	for _, member := range members {
		if diskLost(member, nodes, nil) != nil && t.confirmDiskLost(member, nodes[member.Name].Address) {
			lost[register.Identity(member)] = true
		}
	}
	return lost
}

// recordLostDisks excludes lost disks from the count of copies, and applies the records that are
// committed as a result.
func (t *Term) recordLostDisks(lost map[string]bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for identity := range lost {
		if t.records.replicator.MarkLost(identity) {
			t.applyCommittedLocked()
			t.notifyLocked()
		}
	}
}

// confirmDiskLost sends a fence request to a member's machine, at its current address, and reports
// whether the machine rejected it because it no longer has the disk listed in the set.
func (t *Term) confirmDiskLost(member messages.Member, address string) bool {
	if member.Name == t.process.Node.Self.Name {
		return false
	}
	member.Address = address
	resp, err := t.fence(member)
	return err == nil && replication.RejectedForDisk(t.leadership.Epoch, &resp)
}
