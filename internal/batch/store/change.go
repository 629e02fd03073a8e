package store

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// bringIn copies everything to a newcomer and begins to send it what is new; target is
// the index from which on its copy counts.
func (term *term) bringIn(one swap, place int, span *copySpan) (target int64) {
	from := term.copied(one.in, place, span)
	term.lock.Lock()
	// The last copied record goes once more, from here: it shows that the copy joins on.
	term.feed(one.in, max(from-1, 0))
	target = term.press.Last()
	term.lock.Unlock()
	left := ""
	if one.out != nil {
		left = one.out.Name
	}
	term.server.Node.Log.Info("store set begins to change", "in", one.in.Name, "out", left, "copied", from, "records", target, "epoch", term.duty.Epoch)
	asked := clock.Now()
	for !term.has(one.in, target) && !term.over() && !span.over() {
		clock.Sleep(constants.TickPeriod)
		if clock.Now().Since(asked) < constants.HoldTime {
			continue
		}
		if term.server.silent(one.in) {
			// Gone again: others that come in with it must not wait for it.
			break
		}
		asked = clock.Now()
	}
	return target
}

// has tells whether a store has synced all up to an index.
func (term *term) has(member messages.Member, index int64) bool {
	term.lock.Lock()
	defer term.lock.Unlock()
	return term.press.MatchOf(register.Identity(member)) >= index
}

// ready brings all newcomers in at the same time, and gives the swaps of those that
// have everything; the others are sent nothing further. Once one is whole, the others have
// as long again and a little more: a set that lacks one copy is nearer to whole than one
// that lacks two, and what was copied to the others stays there.
func (term *term) ready(swaps []swap) (whole []swap) {
	targets, ended, span := make([]int64, len(swaps)), make(chan int, len(swaps)), newCopySpan()
	begun := clock.Now()
	for place := range swaps {
		go func() {
			targets[place] = term.bringIn(swaps[place], place, span)
			ended <- place
		}()
	}
	var patience chan struct{}
	for left := len(swaps); left > 0; {
		select {
		case place := <-ended:
			left--
			if patience == nil && term.has(swaps[place].in, targets[place]) {
				patience = clock.Bell(clock.Now().Since(begun) + constants.NewcomerPatience)
			}
		case <-patience:
			span.closed.Store(true)
			patience = nil
		}
	}
	for place, one := range swaps {
		if !term.over() && term.has(one.in, targets[place]) {
			whole = append(whole, one)
			continue
		}
		term.server.Node.Log.Warn("store set not changed", "in", one.in.Name, "records", targets[place])
		term.lock.Lock()
		term.unfeed(one.in)
		term.lock.Unlock()
	}
	return whole
}

// changeSet copies everything to the newcomers, then counts their copies as well as
// the old set's, then has the register name the new set.
func (term *term) changeSet(members []messages.Member, swaps []swap) {
	server := term.server
	if swaps = term.ready(swaps); len(swaps) == 0 {
		return
	}
	next := swapped(members, swaps)
	// From here on a record is durable only where it is in both sets.
	term.lock.Lock()
	term.press.Next = next
	index := term.submit(messages.Record{Kind: messages.RecordNothing})
	term.lock.Unlock()
	for !term.durable(index, constants.HoldTime) {
		if term.over() {
			return
		}
	}
	for !term.over() {
		changed, known := server.changeDuty(&messages.DutyChange{Holder: term.duty, Stores: next})
		if !known {
			// It may be in force: both sets count until that is known.
			clock.Sleep(constants.TickPeriod * 2)
			continue
		}
		if !changed.Done {
			term.end("the set was changed under another epoch")
			return
		}
		server.lock.Lock()
		server.value, server.read = changed.Value, clock.Now()
		server.lock.Unlock()
		term.lock.Lock()
		term.press.Members, term.press.Next = next, nil
		for _, one := range swaps {
			if one.out != nil {
				term.unfeed(*one.out)
			}
		}
		term.press.Settle()
		term.applyDone()
		term.ring()
		term.lock.Unlock()
		for _, one := range swaps {
			server.Node.Log.Info("store set changed", "in", one.in.Name, "stores", len(next), "epoch", term.duty.Epoch)
		}
		return
	}
}
