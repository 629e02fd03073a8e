package store

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// bringIn copies everything to a newcomer and begins to send it what is new; target is
// the index from which on its copy counts.
func (t *term) bringIn(one swap, place int, span *copySpan) (target int64) {
	from := t.copied(one.in, place, span)
	t.lock.Lock()
	// The last copied record goes once more, from here: it shows that the copy joins on.
	t.feed(one.in, max(from-1, 0))
	target = t.press.Last()
	t.lock.Unlock()
	left := ""
	if one.out != nil {
		left = one.out.Name
	}
	t.server.Node.Log.Info("store set begins to change", "in", one.in.Name, "out", left, "copied", from, "records", target, "epoch", t.duty.Epoch)
	asked := clock.Now()
	for !t.has(one.in, target) && !t.over() && !span.over() {
		clock.Sleep(constants.TickPeriod)
		if clock.Now().Since(asked) < constants.HoldTime {
			continue
		}
		if t.server.silent(one.in) {
			// Gone again: others that come in with it must not wait for it.
			break
		}
		asked = clock.Now()
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
	targets, ended, span := make([]int64, len(swaps)), make(chan int, len(swaps)), newCopySpan()
	begun := clock.Now()
	for place := range swaps {
		go func() {
			targets[place] = t.bringIn(swaps[place], place, span)
			ended <- place
		}()
	}
	var patience chan struct{}
	for left := len(swaps); left > 0; {
		select {
		case place := <-ended:
			left--
			if patience == nil && t.has(swaps[place].in, targets[place]) {
				patience = clock.Bell(clock.Now().Since(begun) + constants.NewcomerPatience)
			}
		case <-patience:
			span.closed.Store(true)
			patience = nil
		}
	}
	for place, one := range swaps {
		if !t.over() && t.has(one.in, targets[place]) {
			whole = append(whole, one)
			continue
		}
		t.server.Node.Log.Warn("store set not changed", "in", one.in.Name, "records", targets[place])
		t.lock.Lock()
		t.unfeed(one.in)
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
	index := t.submit(messages.Record{Kind: messages.RecordNothing})
	t.lock.Unlock()
	for !t.durable(index, constants.HoldTime) {
		if t.over() {
			return
		}
	}
	for !t.over() {
		changed, known := server.changeDuty(&messages.DutyChange{Holder: t.duty, Stores: next})
		if !known {
			// It may be in force: both sets count until that is known.
			clock.Sleep(constants.TickPeriod * 2)
			continue
		}
		if !changed.Done {
			t.end("the set was changed under another epoch")
			return
		}
		server.lock.Lock()
		server.value, server.read = changed.Value, clock.Now()
		server.lock.Unlock()
		t.lock.Lock()
		t.press.Members, t.press.Next = next, nil
		for _, one := range swaps {
			if one.out != nil {
				t.unfeed(*one.out)
			}
		}
		t.press.Settle()
		t.applyDone()
		t.ring()
		t.lock.Unlock()
		for _, one := range swaps {
			server.Node.Log.Info("store set changed", "in", one.in.Name, "stores", len(next), "epoch", t.duty.Epoch)
		}
		return
	}
}
