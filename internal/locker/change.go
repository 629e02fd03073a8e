package locker

import (
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// bringIn copies everything to a newcomer and begins to send it what is new; target is
// the index from which on its copy counts.
func (reign *reign) bringIn(one swap, place int) (target int64) {
	from := reign.copied(one.in, place)
	reign.lock.Lock()
	// The last copied record goes once more, from here: it shows that the copy joins on.
	reign.feed(one.in, max(from-1, 0))
	target = reign.press.Last()
	reign.lock.Unlock()
	left := ""
	if one.out != nil {
		left = one.out.Name
	}
	reign.locker.Stand.Log.Info("store set begins to change", "in", one.in.Name, "out", left, "copied", from, "records", target, "epoch", reign.duty.Epoch)
	end, asked := watch.Now().Plus(almanac.SetChange), watch.Now()
	for !reign.has(one.in, target) && !reign.over() && watch.Now() < end {
		watch.Sleep(almanac.TickPeriod)
		if watch.Now().Since(asked) < almanac.HoldTime {
			continue
		}
		if reign.locker.silent(one.in) {
			// Gone again: others that come in with it must not wait for it.
			break
		}
		asked = watch.Now()
	}
	return target
}

// has tells whether a store has synced all up to an index.
func (reign *reign) has(member pattern.Member, index int64) bool {
	reign.lock.Lock()
	defer reign.lock.Unlock()
	return reign.press.MatchOf(vise.Identity(member)) >= index
}

// ready brings all newcomers in at the same time, and gives the swaps of those that
// have everything; the others are sent nothing further.
func (reign *reign) ready(swaps []swap) (whole []swap) {
	targets := make([]int64, len(swaps))
	var group sync.WaitGroup
	for place := range swaps {
		group.Add(1)
		go func() {
			defer group.Done()
			targets[place] = reign.bringIn(swaps[place], place)
		}()
	}
	group.Wait()
	for place, one := range swaps {
		if !reign.over() && reign.has(one.in, targets[place]) {
			whole = append(whole, one)
			continue
		}
		reign.locker.Stand.Log.Warn("store set not changed", "in", one.in.Name, "records", targets[place])
		reign.lock.Lock()
		reign.unfeed(one.in)
		reign.lock.Unlock()
	}
	return whole
}

// changeSet copies everything to the newcomers, then counts their copies as well as
// the old set's, then has the register name the new set.
func (reign *reign) changeSet(members []pattern.Member, swaps []swap) {
	locker := reign.locker
	if swaps = reign.ready(swaps); len(swaps) == 0 {
		return
	}
	next := swapped(members, swaps)
	// From here on a record is durable only where it is in both sets.
	reign.lock.Lock()
	reign.press.Next = next
	index := reign.submit(pattern.Record{Kind: pattern.RecordNothing})
	reign.lock.Unlock()
	for !reign.durable(index, almanac.HoldTime) {
		if reign.over() {
			return
		}
	}
	for !reign.over() {
		changed, known := locker.changeDuty(&pattern.DutyChange{Holder: reign.duty, Stores: next})
		if !known {
			// It may be in force: both sets count until that is known.
			watch.Sleep(almanac.TickPeriod * 2)
			continue
		}
		if !changed.Done {
			reign.end("the set was changed under another epoch")
			return
		}
		locker.lock.Lock()
		locker.value, locker.read = changed.Value, watch.Now()
		locker.lock.Unlock()
		reign.lock.Lock()
		reign.press.Members, reign.press.Next = next, nil
		for _, one := range swaps {
			if one.out != nil {
				reign.unfeed(*one.out)
			}
		}
		reign.press.Settle()
		reign.applyDone()
		reign.ring()
		reign.lock.Unlock()
		for _, one := range swaps {
			locker.Stand.Log.Info("store set changed", "in", one.in.Name, "stores", len(next), "epoch", reign.duty.Epoch)
		}
		return
	}
}
