package locker

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// copied has a newcomer fetch what is durable from a member, and gives the index up
// to which it has it. The holder's own link carries each new record to every store;
// old ones need not take that way, and a wiped store has to be whole again soon.
func (reign *reign) copied(newcomer pattern.Member, place int) int64 {
	identity := vise.Identity(newcomer)
	end := watch.Now().Plus(almanac.SetChange)
	for !reign.beginCopy(identity) {
		// It was begun ahead of the change: two at a time would only share the link.
		if watch.Now() >= end || reign.over() {
			return 0
		}
		watch.Sleep(almanac.TickPeriod)
	}
	defer reign.endCopy(identity)
	last := int64(0)
	for {
		reign.lock.Lock()
		done := reign.copies[identity]
		source, target := reign.source(newcomer, place)
		reign.lock.Unlock()
		if source == nil || target <= done || (done > 0 && caughtUp(target-done, last)) || watch.Now() >= end || reign.over() {
			return done
		}
		last = target - done
		further := reign.copyRound(newcomer, *source, done, target, end)
		reign.lock.Lock()
		reign.copies[identity] = further
		reign.lock.Unlock()
		if further < target {
			// What was copied counts; the rest comes from here.
			return further
		}
	}
}

// beginCopy marks a newcomer as being copied to; false while it is already.
func (reign *reign) beginCopy(identity string) bool {
	reign.lock.Lock()
	defer reign.lock.Unlock()
	if reign.copying[identity] {
		return false
	}
	reign.copying[identity] = true
	return true
}

func (reign *reign) endCopy(identity string) {
	reign.lock.Lock()
	defer reign.lock.Unlock()
	delete(reign.copying, identity)
}

// caughtUp tells whether another round of copying is not worth it: little is lacking, or
// hardly less than in the round before, since as much comes as is copied. Then only
// the holder, which sends what is new as it comes, can bring the rest.
func caughtUp(lacking, before int64) bool {
	return lacking <= almanac.CopyGap || (before > 0 && lacking*4 > before*3)
}

// copyRound copies up to what was durable when it began; meanwhile more comes.
func (reign *reign) copyRound(newcomer, source pattern.Member, done, target int64, end watch.Moment) int64 {
	first, begun := done, watch.Now()
	defer func() {
		reign.locker.Stand.Log.Info("store copied to", "store", newcomer.Name, "source", source.Name, "from", first, "to", done, "of", target,
			"took-ms", watch.Now().Since(begun).Milliseconds())
	}()
	for done < target && watch.Now() < end && !reign.over() {
		answer := &pattern.Appended{}
		question := &pattern.CopyOrder{Epoch: reign.duty.Epoch, Disk: newcomer.Disk, Source: source.Address, SourceDisk: source.Disk, First: done + 1, Last: target}
		if failure := tongs.Ask(reign.locker.Stand.Wire, newcomer.Address, pattern.KindCopy, question, answer, almanac.BulkCallTime); failure != nil || !answer.Granted || answer.Last <= done {
			reign.locker.Stand.Log.Info("store copy ends early", "store", newcomer.Name, "source", source.Name, "at", done, "granted", answer.Granted, "failed", failure != nil)
			break
		}
		done = answer.Last
	}
	return done
}

// wiped gives a member's machine with its new disk, where it came back empty.
func wiped(member pattern.Member, entries map[string]pattern.Entry, retired map[string]bool) *pattern.Member {
	entry, known := entries[member.Name]
	if !known || entry.Disk == member.Disk || entry.Disk == "" || retired[member.Name] || entry.AgeMs >= almanac.SilentAfter.Milliseconds() {
		return nil
	}
	return &pattern.Member{Name: entry.Name, Disk: entry.Disk, Address: entry.Address, Hall: entry.Hall}
}

// source picks a member that has most of what is durable, other than this process
// and the newcomer. What a store has synced under this epoch is what we have. place
// tells newcomers of one time apart: they had better not share one source's link. The
// lock is held.
func (reign *reign) source(newcomer pattern.Member, place int) (*pattern.Member, int64) {
	best, own := int64(0), reign.locker.Stand.Own.Address
	has := func(member pattern.Member) int64 {
		if member.Address == own || member.Address == newcomer.Address {
			return 0
		}
		return min(reign.press.MatchOf(vise.Identity(member)), reign.press.Done())
	}
	for _, member := range reign.press.Members {
		best = max(best, has(member))
	}
	var able []*pattern.Member
	for index := range reign.press.Members {
		if match := has(reign.press.Members[index]); match > 0 && match+almanac.CopyGap >= best {
			able = append(able, &reign.press.Members[index])
		}
	}
	if len(able) == 0 {
		return nil, 0
	}
	found := able[place%len(able)]
	return found, has(*found)
}

// copyFrom fetches one stretch of records from another store and keeps it.
func (locker *Locker) copyFrom(body []byte) ([]byte, error) {
	order := &pattern.CopyOrder{}
	if failure := tongs.Read(body, order); failure != nil {
		return nil, failure
	}
	locker.fenced(order.Epoch)
	fetched := &pattern.Fetched{}
	question := &pattern.Fetch{First: order.First, Epoch: order.Epoch, Disk: order.SourceDisk}
	if failure := tongs.Ask(locker.Stand.Wire, order.Source, pattern.KindFetch, question, fetched, almanac.BulkCallTime/2); failure != nil {
		return nil, failure
	}
	records := fetched.Records
	for len(records) > 0 && records[len(records)-1].Index > order.Last {
		records = records[:len(records)-1]
	}
	if !fetched.Granted || len(records) == 0 {
		return tongs.Write(&pattern.Appended{})
	}
	answer, failure := locker.Store.Append(&pattern.Append{Epoch: order.Epoch, Disk: order.Disk, PreviousIndex: order.First - 1,
		PreviousEpoch: locker.Store.EpochAt(order.First - 1), Records: records})
	if failure != nil {
		return nil, failure
	}
	return tongs.Write(&answer)
}
