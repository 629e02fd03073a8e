package leader

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// A change of the store set is made in the register, under the leader's epoch. The next leader
// relies on the set that it reads there to have every committed record. So the leader first
// appends a marker record after all of them, and waits until enough members of the next set have
// synced it. The current set need not have the marker: an earlier leader is fenced there and
// can't commit any more, and a later leader reads one of the two sets. Members that are silent or
// lost therefore can't delay their own removal. Until the outcome of the change is known, a record
// is committed only once enough members of each of the two sets have synced it.

// commitSet writes the next set to the register, once that set has all records. It returns false if
// the next set did not sync in time or the term ended. The caller holds feeds.setChange.
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
			// The change may have been applied: both sets count until the outcome is known.
			t.process.Node.Log.Warn("store set change outcome unknown; retrying", "epoch", t.leadership.Epoch, "stores", len(next))
			clock.Sleep(constants.TickPeriod * 2)
			continue
		}
		if !changed.Applied {
			t.Close("store set was changed in another epoch")
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

// awaitInNextSet waits until enough members of the next set have synced all records up to an index.
// It returns false if that takes longer than constants.SetAgreementTimeout or the term ended. After
// a timeout the current set remains, and a different change may succeed.
func (t *Term) awaitInNextSet(index int64) bool {
	end := clock.Now().Add(constants.SetAgreementTimeout)
	for checkedAt := clock.Now(); !t.Closed() && clock.Now() < end; clock.Sleep(constants.TickPeriod) {
		if t.inNextSet(index) {
			return true
		}
		if clock.Now().Sub(checkedAt) >= constants.LeaseDuration {
			// Too few members of the next set may be left for the usual number of copies.
			t.markLostDisks()
			checkedAt = clock.Now()
		}
	}
	return t.inNextSet(index) && !t.Closed()
}

func (t *Term) inNextSet(index int64) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.records.replicator.InNextSet(index)
}

// abandonNextSet continues with the current set alone. The next set must not have been requested
// from the register.
func (t *Term) abandonNextSet() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.process.Node.Log.Warn("store set change abandoned", "epoch", t.leadership.Epoch, "stores", len(t.records.replicator.Next))
	t.records.replicator.Next = nil
	t.records.replicator.AdvanceCommit()
	t.applyCommittedLocked()
	t.notifyLocked()
}
