package store

import (
	"lemonarch/internal/batch/lots"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// feed begins to copy records to a store, from a common index on. The lock is held.
func (term *term) feed(member messages.Member, common int64) {
	identity := register.Identity(member)
	if term.feeders[identity] != nil {
		return
	}
	quit := make(chan struct{})
	term.feeders[identity] = quit
	go term.feedLoop(member, common+1, quit)
}

// unfeed stops that.
func (term *term) unfeed(member messages.Member) {
	identity := register.Identity(member)
	if quit := term.feeders[identity]; quit != nil {
		close(quit)
		delete(term.feeders, identity)
	}
}

func (term *term) feedLoop(member messages.Member, next int64, quit chan struct{}) {
	own := member.Address == term.server.Node.Own.Address
	for {
		batch, bell := term.batch(member, next)
		if batch == nil {
			select {
			case <-bell:
				continue
			case <-quit:
				return
			case <-term.stop:
				return
			}
		}
		answer := &messages.Appended{}
		var err error
		begun := clock.Now()
		if own {
			*answer, err = term.server.Store.Append(batch)
		} else {
			err = transport.Ask(term.server.Node.Wire, member.Address, messages.KindAppend, batch, answer, constants.BulkCallTime)
		}
		switch {
		case err != nil:
			// Out of reach, or its disk is full: the others go on without it.
			select {
			case <-quit:
				return
			case <-term.stop:
				return
			case <-clock.After(constants.TickPeriod * 2):
			}
		case answer.Granted:
			next = answer.Last + 1
			term.lagged(register.Identity(member), clock.Now().Since(begun))
			term.matched(register.Identity(member), answer.Last)
		case answer.Epoch > term.duty.Epoch:
			term.end("a later epoch was raised")
			return
		case answer.Stretches != nil || answer.Last < next-1:
			next = min(lots.Common(term.server.Store.Extent(), lots.ExtentBehind(answer)), next-1) + 1
		default:
			// Another disk answers at that address: the set will be mended.
			select {
			case <-quit:
				return
			case <-term.stop:
				return
			case <-clock.After(constants.HoldRenewal):
			}
		}
	}
}

// batch gathers the next records for a store; nil with a bell when there are none.
func (term *term) batch(member messages.Member, next int64) (*messages.Append, chan struct{}) {
	// A compacted part is sent as such, also where its records are still in memory.
	compacted := next <= term.server.Store.Compacted()
	term.lock.Lock()
	order := &messages.Append{Epoch: term.duty.Epoch, Disk: member.Disk, PreviousIndex: next - 1, Done: term.press.Done()}
	if next > term.press.Last() {
		bell := term.bell
		term.lock.Unlock()
		return nil, bell
	}
	fromMemory := false
	size := 0
	for index := next; !compacted && index <= term.press.Last() && size < constants.AppendBytes; index++ {
		record := term.recentAt(index)
		if record == nil {
			break
		}
		fromMemory = true
		size += len(record.Body) + 128
		order.Records = append(order.Records, *record)
	}
	previous := term.recentAt(next - 1)
	if previous != nil {
		order.PreviousEpoch = previous.Epoch
	}
	term.lock.Unlock()
	if previous == nil {
		// Asked without our lock: the store may be in the middle of a sync.
		order.PreviousEpoch = term.server.Store.EpochAt(next - 1)
	}
	if !fromMemory {
		fetched, err := term.server.Store.Fetch(&messages.Fetch{First: next})
		if err != nil || len(fetched.Records) == 0 {
			return nil, clock.Bell(constants.TickPeriod)
		}
		order.Records, order.Base, order.BaseEpoch = fetched.Records, fetched.Base, fetched.BaseEpoch
	}
	return order, nil
}
