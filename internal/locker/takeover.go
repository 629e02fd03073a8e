package locker

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// takeOver makes a new epoch ready: raise it at all stores but the fault budget,
// go on from the best copy, and make one record of our own durable.
func (reign *reign) takeOver() {
	locker := reign.locker
	own := vise.Identity(locker.member())
	var copies map[string]pattern.Raised
	for {
		copies = reign.raise()
		if ledgerbox.Enough(len(reign.press.Members), len(copies), locker.budget()) && copies[own].Granted {
			break
		}
		if reign.over() {
			return
		}
		watch.Sleep(almanac.TickPeriod * 2)
	}
	best := ledgerbox.Best(copies)
	if best != own && !reign.catchUp(best, copies) {
		reign.end("best copy can't be read")
		return
	}
	last, stretches := locker.Store.State()
	reign.lock.Lock()
	reign.press = ledgerbox.NewPress(reign.duty.Epoch, reign.press.Members, locker.budget(), last+1)
	reign.applied = last
	if failure := reign.rebuild(last); failure != nil {
		reign.lock.Unlock()
		locker.Stand.Log.Error("records can't be read", "why", failure.Error())
		reign.end("records can't be read")
		return
	}
	reign.openDispatcher(last + 1)
	for _, member := range reign.press.Members {
		common := last
		if one, known := copies[vise.Identity(member)]; known {
			common = ledgerbox.Common(stretches, last, one.Stretches, one.Last)
		}
		if vise.Identity(member) == own {
			common = last
		}
		reign.feed(member, common)
	}
	index := reign.submit(pattern.Record{Kind: pattern.RecordNothing})
	reign.lock.Unlock()
	for !reign.durable(index, almanac.HoldTime) {
		if reign.over() {
			return
		}
	}
	reign.lock.Lock()
	reign.serving = true
	lots := len(reign.book.Lots())
	reign.ring()
	reign.lock.Unlock()
	locker.Stand.Log.Info("duty served", "epoch", reign.duty.Epoch, "records", last, "lots", lots)
	go watch.Every(almanac.HoldRenewal, reign.stop, reign.tell)
	go watch.Every(almanac.GossipPeriod/2, reign.stop, reign.tendSet)
	go watch.Every(almanac.GossipPeriod, reign.stop, reign.forget)
	go reign.tendItems()
	go reign.tendLag()
	reign.tell()
}

// raise asks every store of the set to take orders of this epoch only. It returns
// once enough have answered; those that answer later are fed all the same.
func (reign *reign) raise() map[string]pattern.Raised {
	locker := reign.locker
	type heard struct {
		identity string
		answer   pattern.Raised
	}
	members := reign.press.Members
	answers := make(chan heard, len(members))
	for _, member := range members {
		go func() {
			question := &pattern.Raise{Epoch: reign.duty.Epoch, Disk: member.Disk}
			one := heard{identity: vise.Identity(member)}
			var failure error
			if member.Address == locker.Stand.Own.Address {
				one.answer, failure = locker.Store.Raise(question)
			} else {
				failure = tongs.Ask(locker.Stand.Wire, member.Address, pattern.KindRaise, question, &one.answer, almanac.RoundTime)
			}
			if failure != nil {
				one.answer.Granted = false
			}
			answers <- one
		}()
	}
	copies := map[string]pattern.Raised{}
	for range members {
		one := <-answers
		if one.answer.Granted {
			copies[one.identity] = one.answer
		}
		if ledgerbox.Enough(len(members), len(copies), locker.budget()) && copies[vise.Identity(locker.member())].Granted {
			break
		}
	}
	return copies
}

// catchUp cuts our own copy where it parts from the best one and fetches the rest.
func (reign *reign) catchUp(best string, copies map[string]pattern.Raised) bool {
	locker := reign.locker
	address := ""
	for _, member := range reign.press.Members {
		if vise.Identity(member) == best {
			address = member.Address
		}
	}
	last, stretches := locker.Store.State()
	target := copies[best]
	next := ledgerbox.Common(stretches, last, target.Stretches, target.Last) + 1
	for next <= target.Last {
		if reign.over() {
			return false
		}
		fetched := &pattern.Fetched{}
		if tongs.Ask(locker.Stand.Wire, address, pattern.KindFetch, &pattern.Fetch{First: next}, fetched, almanac.BulkCallTime) != nil || len(fetched.Records) == 0 {
			return false
		}
		order := &pattern.Append{Epoch: reign.duty.Epoch, Disk: locker.Store.Disk(), PreviousIndex: next - 1,
			PreviousEpoch: locker.Store.EpochAt(next - 1), Records: fetched.Records}
		answer, failure := locker.Store.Append(order)
		if failure != nil || !answer.Granted {
			return false
		}
		next = fetched.Records[len(fetched.Records)-1].Index + 1
	}
	return true
}

// rebuild makes the book from all records. The lock is held.
func (reign *reign) rebuild(last int64) error {
	forgotten := map[string]bool{}
	var records []*pattern.Record
	for index := int64(1); index <= last; index++ {
		record, failure := reign.locker.Store.Read(index)
		if failure != nil {
			return failure
		}
		if record.Kind == pattern.RecordForget {
			forgotten[record.Lot] = true
		}
		if record.Kind == pattern.RecordOutput {
			// Its text is read from disk when it is asked for.
			record.Body = nil
		}
		records = append(records, record)
	}
	for _, record := range records {
		if forgotten[record.Lot] {
			continue
		}
		if failure := reign.book.Apply(record); failure != nil {
			return failure
		}
	}
	for _, lot := range reign.book.Lots() {
		lot.Known = reign.begun
	}
	return nil
}

// giveUp frees the hold and tells the other lockers, so that one of them takes the
// duty at once.
func (reign *reign) giveUp() {
	reign.locker.release()
	told := &pattern.HolderTold{Duty: reign.duty, Over: true}
	reign.locker.Stand.Spread(reign.locker.Stand.Live(bellows.RoleLocker), pattern.KindHolderTold, told, almanac.HoldRenewal, nil)
}

// tell makes known who holds the duty: to lockers each time, since one that does not hear
// it for a hold's length asks for the duty; to the forges in view while it is news, and
// then now and then. Whoever was missed learns it by asking any locker.
func (reign *reign) tell() {
	if !reign.locker.holds() {
		return
	}
	peers := reign.locker.Stand.Live(bellows.RoleLocker)
	if count := reign.tells.Add(1); count <= almanac.HolderReminder || count%almanac.HolderReminder == 0 {
		peers = append(peers, reign.locker.Stand.Live(bellows.RoleForge)...)
	}
	reign.locker.Stand.Spread(peers, pattern.KindHolderTold, &pattern.HolderTold{Duty: reign.duty}, almanac.HoldRenewal, nil)
}
