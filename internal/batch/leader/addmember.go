package leader

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// addMember copies everything to a joiner and begins to send it what is new; target is
// the index from which on its copy counts.
func (t *Term) addMember(s replacement, i int, timeout *CopyDeadline) (target int64) {
	from := t.CopyTo(s.in, i, timeout)
	t.lock.Lock()
	// The last copied record goes once more, from here: it shows that the copy joins on.
	t.startFeed(s.in, max(from-1, 0))
	target = t.records.replicator.Last()
	t.lock.Unlock()
	left := ""
	if s.out != nil {
		left = s.out.Name
	}
	t.process.Node.Log.Info("store set begins to change", "in", s.in.Name, "out", left, "copied", from, "records", target, "epoch", t.leadership.Epoch)
	sentAt := clock.Now()
	for !t.has(s.in, target) && !t.Closed() && !timeout.passed() {
		clock.Sleep(constants.TickPeriod)
		if clock.Now().Sub(sentAt) < constants.LeaseDuration {
			continue
		}
		if t.process.isUnresponsive(s.in) {
			// Gone again: others that come in with it must not wait for it.
			break
		}
		sentAt = clock.Now()
	}
	return target
}

// has tells whether a store has synced all up to an index.
func (t *Term) has(member messages.Member, index int64) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.records.replicator.MatchIndex(register.Identity(member)) >= index
}

// syncJoiners brings all joiners in at the same time, and gives the swaps of those that
// have everything; the others are sent nothing further. Once one is complete, the others have
// as long again and a little more: a set that lacks one copy is nearer to complete than one
// that lacks two, and what was copied to the others stays there.
func (t *Term) syncJoiners(replacements []replacement) (complete []replacement) {
	targets, ended, timeout := make([]int64, len(replacements)), make(chan int, len(replacements)), NewCopyDeadline()
	start := clock.Now()
	for i := range replacements {
		go func() {
			targets[i] = t.addMember(replacements[i], i, timeout)
			ended <- i
		}()
	}
	var patience chan struct{}
	for left := len(replacements); left > 0; {
		select {
		case i := <-ended:
			left--
			if patience == nil && t.has(replacements[i].in, targets[i]) {
				patience = clock.ClosedAfter(clock.Now().Sub(start) + constants.JoinerWait)
			}
		case <-patience:
			timeout.closed.Store(true)
			patience = nil
		}
	}
	for i, s := range replacements {
		if !t.Closed() && t.has(s.in, targets[i]) {
			complete = append(complete, s)
			continue
		}
		t.process.Node.Log.Warn("store set not changed", "in", s.in.Name, "records", targets[i])
		t.lock.Lock()
		t.stopFeed(s.in)
		t.lock.Unlock()
	}
	return complete
}

// changeSet copies everything to the joiners, and then has them counted.
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
	for _, s := range replacements {
		if s.out != nil {
			t.stopFeed(*s.out)
		}
	}
	t.lock.Unlock()
	for _, s := range replacements {
		t.process.Node.Log.Info("store set changed", "in", s.in.Name, "stores", len(next), "epoch", t.leadership.Epoch)
	}
}
