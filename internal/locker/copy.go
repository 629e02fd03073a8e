package locker

import (
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// copied has a newcomer fetch what is durable from a member, and gives the index up
// to which it has it. The holder's own link carries each new record to every store;
// old ones need not take that way, and a wiped store has to be whole again soon.
func (reign *reign) copied(newcomer pattern.Member) int64 {
	identity := vise.Identity(newcomer)
	end := watch.Now().Plus(almanac.SetChange)
	for watch.Now() < end && !reign.over() {
		reign.lock.Lock()
		if reign.copying[identity] {
			// It was begun while another member was being replaced.
			reign.lock.Unlock()
			watch.Sleep(almanac.TickPeriod)
			continue
		}
		done := reign.copies[identity]
		source, target := reign.source(newcomer)
		if source == nil || target <= done || (done > 0 && target-done <= almanac.CopyGap) {
			reign.lock.Unlock()
			return done
		}
		reign.copying[identity] = true
		reign.lock.Unlock()
		further := reign.copyRound(newcomer, *source, done, target, end)
		reign.lock.Lock()
		reign.copies[identity] = further
		delete(reign.copying, identity)
		reign.lock.Unlock()
		if further < target {
			// What was copied counts; the rest comes from here.
			return further
		}
	}
	reign.lock.Lock()
	defer reign.lock.Unlock()
	return reign.copies[identity]
}

// copyRound copies up to what was durable when it began; meanwhile more comes.
func (reign *reign) copyRound(newcomer, source pattern.Member, done, target int64, end watch.Moment) int64 {
	for done < target && watch.Now() < end && !reign.over() {
		answer := &pattern.Appended{}
		question := &pattern.CopyOrder{Epoch: reign.duty.Epoch, Disk: newcomer.Disk, Source: source.Address, SourceDisk: source.Disk, First: done + 1, Last: target}
		if tongs.Ask(reign.locker.Stand.Wire, newcomer.Address, pattern.KindCopy, question, answer, almanac.BulkCallTime) != nil || !answer.Granted || answer.Last <= done {
			break
		}
		done = answer.Last
	}
	return done
}

// copyAhead begins the copies of all members that came back empty: their places
// are given one after the other, but each second counts against the fault budget.
func (reign *reign) copyAhead(members []pattern.Member, entries map[string]pattern.Entry, retired map[string]bool) {
	for _, member := range members {
		if back := wiped(member, entries, retired); back != nil {
			go reign.copied(*back)
		}
	}
}

// wiped gives a member's machine with its new disk, where it came back empty.
func wiped(member pattern.Member, entries map[string]pattern.Entry, retired map[string]bool) *pattern.Member {
	entry, known := entries[member.Name]
	if !known || entry.Disk == member.Disk || entry.Disk == "" || retired[member.Name] || entry.AgeMs >= almanac.SilentAfter.Milliseconds() {
		return nil
	}
	return &pattern.Member{Name: entry.Name, Disk: entry.Disk, Address: entry.Address, Hall: entry.Hall}
}

// source picks the member that has most of what is durable, other than this process
// and the newcomer. What a store has synced under this epoch is what we have. The
// lock is held.
func (reign *reign) source(newcomer pattern.Member) (*pattern.Member, int64) {
	var found *pattern.Member
	best := int64(0)
	own := reign.locker.Stand.Own.Address
	for place := range reign.press.Members {
		member := &reign.press.Members[place]
		match := min(reign.press.MatchOf(vise.Identity(*member)), reign.press.Done())
		if member.Address == own || member.Address == newcomer.Address {
			continue
		}
		// Two newcomers at one time had better not share one source.
		if match > best+almanac.CopyGap || (found != nil && match+almanac.CopyGap > best && rand.Intn(2) == 0) {
			found, best = member, match
		} else if found == nil && match > 0 {
			found, best = member, match
		}
	}
	return found, best
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
