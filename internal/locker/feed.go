package locker

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// feed begins to copy records to a store, from a common index on. The lock is held.
func (reign *reign) feed(member pattern.Member, common int64) {
	identity := vise.Identity(member)
	if reign.feeders[identity] != nil {
		return
	}
	quit := make(chan struct{})
	reign.feeders[identity] = quit
	go reign.feedLoop(member, common+1, quit)
}

// unfeed stops that.
func (reign *reign) unfeed(member pattern.Member) {
	identity := vise.Identity(member)
	if quit := reign.feeders[identity]; quit != nil {
		close(quit)
		delete(reign.feeders, identity)
	}
}

func (reign *reign) feedLoop(member pattern.Member, next int64, quit chan struct{}) {
	own := member.Address == reign.locker.Stand.Own.Address
	for {
		batch, bell := reign.batch(member, next)
		if batch == nil {
			select {
			case <-bell:
				continue
			case <-quit:
				return
			case <-reign.stop:
				return
			}
		}
		answer := &pattern.Appended{}
		var failure error
		begun := watch.Now()
		if own {
			*answer, failure = reign.locker.Store.Append(batch)
		} else {
			failure = tongs.Ask(reign.locker.Stand.Wire, member.Address, pattern.KindAppend, batch, answer, almanac.BulkCallTime)
		}
		switch {
		case failure != nil:
			// Out of reach, or its disk is full: the others go on without it.
			select {
			case <-quit:
				return
			case <-reign.stop:
				return
			case <-watch.After(almanac.TickPeriod * 2):
			}
		case answer.Granted:
			next = answer.Last + 1
			reign.lagged(vise.Identity(member), watch.Now().Since(begun))
			reign.matched(vise.Identity(member), answer.Last)
		case answer.Epoch > reign.duty.Epoch:
			reign.end("a later epoch was raised")
			return
		case answer.Stretches != nil || answer.Last < next-1:
			last, stretches := reign.locker.Store.State()
			next = min(ledgerbox.Common(stretches, last, answer.Stretches, answer.Last), next-1) + 1
		default:
			// Another disk answers at that address: the set will be mended.
			select {
			case <-quit:
				return
			case <-reign.stop:
				return
			case <-watch.After(almanac.HoldRenewal):
			}
		}
	}
}

// batch gathers the next records for a store; nil with a bell when there are none.
func (reign *reign) batch(member pattern.Member, next int64) (*pattern.Append, chan struct{}) {
	reign.lock.Lock()
	order := &pattern.Append{Epoch: reign.duty.Epoch, Disk: member.Disk, PreviousIndex: next - 1, Done: reign.press.Done()}
	if next > reign.press.Last() {
		bell := reign.bell
		reign.lock.Unlock()
		return nil, bell
	}
	fromMemory := false
	size := 0
	for index := next; index <= reign.press.Last() && size < almanac.AppendBytes; index++ {
		record := reign.recentAt(index)
		if record == nil {
			break
		}
		fromMemory = true
		size += len(record.Body) + 128
		order.Records = append(order.Records, *record)
	}
	previous := reign.recentAt(next - 1)
	if previous != nil {
		order.PreviousEpoch = previous.Epoch
	}
	reign.lock.Unlock()
	if previous == nil {
		// Asked without our lock: the store may be in the middle of a sync.
		order.PreviousEpoch = reign.locker.Store.EpochAt(next - 1)
	}
	if !fromMemory {
		fetched, failure := reign.locker.Store.Fetch(&pattern.Fetch{First: next})
		if failure != nil || len(fetched.Records) == 0 {
			return nil, watch.Bell(almanac.TickPeriod)
		}
		order.Records = fetched.Records
	}
	return order, nil
}
