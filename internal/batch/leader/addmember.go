package leader

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// addMember copies all records to a joiner and starts to send it new ones. It returns when the
// joiner has caught up or the attempt has ended. target is the index up to which the joiner must
// have synced before its copy counts.
func (t *Term) addMember(change replacement, offset int, deadline *CopyDeadline) (target int64) {
	from := t.CopyTo(change.in, offset, deadline)
	t.lock.Lock()
	// The last copied record is sent again from here, to verify that the copy is contiguous with
	// this process's records.
	t.startFeed(change.in, max(from-1, 0))
	target = t.records.replicator.Last()
	t.lock.Unlock()
	outName := ""
	if change.out != nil {
		outName = change.out.Name
	}
	t.process.Node.Log.Info("store set change started", "in", change.in.Name, "out", outName, "copied", from, "records", target, "epoch", t.leadership.Epoch)
	sentAt := clock.Now()
	for !t.hasSynced(change.in, target) && !t.Closed() && !deadline.passed() {
		clock.Sleep(constants.TickPeriod)
		if clock.Now().Sub(sentAt) < constants.LeaseDuration {
			continue
		}
		if t.process.isUnresponsive(change.in) {
			// The joiner has departed again. The other joiners must not wait for it.
			break
		}
		sentAt = clock.Now()
	}
	return target
}

// hasSynced reports whether a store has synced all records up to an index.
func (t *Term) hasSynced(member messages.Member, index int64) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.records.replicator.MatchIndex(register.Identity(member)) >= index
}

// syncJoiners copies records to all joiners concurrently. It returns the replacements whose joiners
// are complete, and stops sending records to the others. Once one joiner is complete, the others
// get the same time again plus constants.JoinerWait. A set that lacks one copy is closer to complete
// than one that lacks two, and what was copied to the others is kept for a later attempt.
func (t *Term) syncJoiners(replacements []replacement) (complete []replacement) {
	targets, ended, deadline := make([]int64, len(replacements)), make(chan int, len(replacements)), NewCopyDeadline()
	start := clock.Now()
	for i := range replacements {
		go func() {
			targets[i] = t.addMember(replacements[i], i, deadline)
			ended <- i
		}()
	}
	var waitElapsed chan struct{}
	for remaining := len(replacements); remaining > 0; {
		select {
		case i := <-ended:
			remaining--
			if waitElapsed == nil && t.hasSynced(replacements[i].in, targets[i]) {
				waitElapsed = clock.ClosedAfter(clock.Now().Sub(start) + constants.JoinerWait)
			}
		case <-waitElapsed:
			deadline.closed.Store(true)
			waitElapsed = nil
		}
	}
	for i, change := range replacements {
		if !t.Closed() && t.hasSynced(change.in, targets[i]) {
			complete = append(complete, change)
			continue
		}
		t.process.Node.Log.Warn("joiner not added to the store set", "in", change.in.Name, "records", targets[i])
		t.lock.Lock()
		t.stopFeed(change.in)
		t.lock.Unlock()
	}
	return complete
}

// changeSet copies all records to the joiners, and then commits the set in which the complete
// ones replace members or are added.
func (t *Term) changeSet(replacements []replacement) {
	if replacements = t.syncJoiners(replacements); len(replacements) == 0 {
		return
	}
	t.feeds.setChange.Lock()
	defer t.feeds.setChange.Unlock()
	t.lock.Lock()
	// Members may have been removed since the joiners began to copy.
	next := withReplacements(t.records.replicator.Members, replacements)
	t.lock.Unlock()
	if !t.commitSet(next) {
		return
	}
	t.lock.Lock()
	for _, change := range replacements {
		if change.out != nil {
			t.stopFeed(*change.out)
		}
	}
	t.lock.Unlock()
	for _, change := range replacements {
		t.process.Node.Log.Info("store set changed", "in", change.in.Name, "stores", len(next), "epoch", t.leadership.Epoch)
	}
}
