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
func (reign *reign) copied(newcomer pattern.Member) int64 {
	locker := reign.locker
	reign.lock.Lock()
	source, target := reign.source(newcomer)
	reign.lock.Unlock()
	if source == nil {
		return 0
	}
	done := int64(0)
	for end := watch.Now().Plus(almanac.SetChange); done < target && watch.Now() < end && !reign.over(); {
		answer := &pattern.Appended{}
		question := &pattern.CopyOrder{Epoch: reign.duty.Epoch, Disk: newcomer.Disk, Source: source.Address, SourceDisk: source.Disk, First: done + 1, Last: target}
		if tongs.Ask(locker.Stand.Wire, newcomer.Address, pattern.KindCopy, question, answer, almanac.BulkCallTime) != nil || !answer.Granted || answer.Last <= done {
			// What was copied counts; the rest comes from here.
			break
		}
		done = answer.Last
	}
	return done
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
		if member.Address != own && member.Address != newcomer.Address && match > best {
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
