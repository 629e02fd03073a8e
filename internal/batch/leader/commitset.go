package leader

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// A change of the store set is made by the register, under the leader's epoch. What the next
// leader needs is that the set which it reads there holds every committed record, so the leader
// first has a marker, which stands behind all of them, synced by enough of the set to come.
// The set in force need not have it: an earlier leader is fenced there and commits nothing more,
// and a later one reads one of the two sets. So members that are silent or lost can't hold up
// their own removal. Until the outcome is known, a record is committed only in both sets.

// commitSet has the register name the next set, once that holds everything. It is false where
// the term ended before. The caller holds feeds.setChange.
func (t *Term) commitSet(next []messages.Member) bool {
	t.lock.Lock()
	t.records.replicator.Next = next
	marker := t.appendRecord(messages.Record{Kind: messages.RecordNoop})
	t.feeds.changes++
	req := &messages.RegisterChangeRequest{Holder: t.leadership, Stores: next, Sequence: t.feeds.changes}
	t.lock.Unlock()
	if !t.awaitInNextSet(marker) {
		if !t.Closed() {
			t.abandonNextSet()
		}
		return false
	}
	for !t.Closed() {
		changed, known := t.process.Election.ChangeRegister(req)
		if !known {
			// It may be in force: both sets count until that is known.
			t.process.Node.Log.Warn("store set change unconfirmed", "epoch", t.leadership.Epoch, "stores", len(next))
			clock.Sleep(constants.TickPeriod * 2)
			continue
		}
		if !changed.Applied {
			t.Close("the set was changed under another epoch")
			return false
		}
		t.process.Election.SetRegister(changed.Value)
		t.lock.Lock()
		t.records.replicator.Members, t.records.replicator.Next = next, nil
		t.records.replicator.AdvanceCommit()
		t.applyCommittedLocked()
		t.notifyLocked()
		t.lock.Unlock()
		return true
	}
	return false
}

// awaitInNextSet waits until enough of the set to come has synced all up to an index. Where that
// takes too long the set in force stays, and another change may help; false as well where the term
// ended before.
func (t *Term) awaitInNextSet(index int64) bool {
	end := clock.Now().Add(constants.SetAgreementTimeout)
	for lookedAt := clock.Now(); !t.Closed() && clock.Now() < end; clock.Sleep(constants.TickPeriod) {
		if t.inNextSet(index) {
			return true
		}
		if clock.Now().Sub(lookedAt) >= constants.LeaseDuration {
			// Too few of the set to come may be left for as many copies as usual.
			t.markLostDisks()
			lookedAt = clock.Now()
		}
	}
	return t.inNextSet(index) && !t.Closed()
}

func (t *Term) inNextSet(index int64) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.records.replicator.InNextSet(index)
}

// abandonNextSet goes on with the set in force alone. The register must not have been asked for
// the other one.
func (t *Term) abandonNextSet() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.process.Node.Log.Warn("store set change abandoned", "epoch", t.leadership.Epoch, "stores", len(t.records.replicator.Next))
	t.records.replicator.Next = nil
	t.records.replicator.AdvanceCommit()
	t.applyCommittedLocked()
	t.notifyLocked()
}
