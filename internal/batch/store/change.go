package store

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// bringIn copies everything to a newcomer and begins to send it what is new; target is
// the index from which on its copy counts.
func (t *term) bringIn(s swap, i int, timeout *copySpan) (target int64) {
	from := t.copied(s.in, i, timeout)
	t.lock.Lock()
	// The last copied record goes once more, from here: it shows that the copy joins on.
	t.feed(s.in, max(from-1, 0))
	target = t.press.Last()
	t.lock.Unlock()
	left := ""
	if s.out != nil {
		left = s.out.Name
	}
	t.server.Node.Log.Info("store set begins to change", "in", s.in.Name, "out", left, "copied", from, "records", target, "epoch", t.duty.Epoch)
	sentAt := clock.Now()
	for !t.has(s.in, target) && !t.over() && !timeout.over() {
		clock.Sleep(constants.TickPeriod)
		if clock.Now().Sub(sentAt) < constants.LeaseDuration {
			continue
		}
		if t.server.silent(s.in) {
			// Gone again: others that come in with it must not wait for it.
			break
		}
		sentAt = clock.Now()
	}
	return target
}

// has tells whether a store has synced all up to an index.
func (t *term) has(member messages.Member, index int64) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.press.MatchOf(register.Identity(member)) >= index
}

// ready brings all newcomers in at the same time, and gives the swaps of those that
// have everything; the others are sent nothing further. Once one is whole, the others have
// as long again and a little more: a set that lacks one copy is nearer to whole than one
// that lacks two, and what was copied to the others stays there.
func (t *term) ready(swaps []swap) (whole []swap) {
	targets, ended, timeout := make([]int64, len(swaps)), make(chan int, len(swaps)), newCopySpan()
	start := clock.Now()
	for i := range swaps {
		go func() {
			targets[i] = t.bringIn(swaps[i], i, timeout)
			ended <- i
		}()
	}
	var patience chan struct{}
	for left := len(swaps); left > 0; {
		select {
		case i := <-ended:
			left--
			if patience == nil && t.has(swaps[i].in, targets[i]) {
				patience = clock.ClosedAfter(clock.Now().Sub(start) + constants.JoinerWait)
			}
		case <-patience:
			timeout.closed.Store(true)
			patience = nil
		}
	}
	for i, s := range swaps {
		if !t.over() && t.has(s.in, targets[i]) {
			whole = append(whole, s)
			continue
		}
		t.server.Node.Log.Warn("store set not changed", "in", s.in.Name, "records", targets[i])
		t.lock.Lock()
		t.unfeed(s.in)
		t.lock.Unlock()
	}
	return whole
}

// changeSet copies everything to the newcomers, then counts their copies as well as
// the old set's, then has the register name the new set.
func (t *term) changeSet(members []messages.Member, swaps []swap) {
	server := t.server
	if swaps = t.ready(swaps); len(swaps) == 0 {
		return
	}
	next := swapped(members, swaps)
	// From here on a record is durable only where it is in both sets.
	t.lock.Lock()
	t.press.Next = next
	index := t.submit(messages.Record{Kind: messages.RecordNoop})
	t.lock.Unlock()
	for !t.durable(index, constants.LeaseDuration) {
		if t.over() {
			return
		}
	}
	for !t.over() {
		changed, known := server.changeDuty(&messages.RegisterChangeRequest{Holder: t.duty, Stores: next})
		if !known {
			// It may be in force: both sets count until that is known.
			clock.Sleep(constants.TickPeriod * 2)
			continue
		}
		if !changed.Applied {
			t.end("the set was changed under another epoch")
			return
		}
		server.lock.Lock()
		server.value, server.read = changed.Value, clock.Now()
		server.lock.Unlock()
		t.lock.Lock()
		t.press.Members, t.press.Next = next, nil
		for _, s := range swaps {
			if s.out != nil {
				t.unfeed(*s.out)
			}
		}
		t.press.Settle()
		t.applyDone()
		t.ring()
		t.lock.Unlock()
		for _, s := range swaps {
			server.Node.Log.Info("store set changed", "in", s.in.Name, "stores", len(next), "epoch", t.duty.Epoch)
		}
		return
	}
}
