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
func (t *term) feed(member messages.Member, common int64) {
	identity := register.Identity(member)
	if t.feeders[identity] != nil {
		return
	}
	quit := make(chan struct{})
	t.feeders[identity] = quit
	go t.feedLoop(member, common+1, quit)
}

// unfeed stops that.
func (t *term) unfeed(member messages.Member) {
	identity := register.Identity(member)
	if quit := t.feeders[identity]; quit != nil {
		close(quit)
		delete(t.feeders, identity)
	}
}

func (t *term) feedLoop(member messages.Member, next int64, quit chan struct{}) {
	own := member.Address == t.server.Node.Own.Address
	for {
		batch, bell := t.batch(member, next)
		if batch == nil {
			select {
			case <-bell:
				continue
			case <-quit:
				return
			case <-t.stop:
				return
			}
		}
		answer := &messages.Appended{}
		var err error
		begun := clock.Now()
		if own {
			*answer, err = t.server.Store.Append(batch)
		} else {
			err = transport.Ask(t.server.Node.Wire, member.Address, messages.KindAppend, batch, answer, constants.BulkCallTime)
		}
		switch {
		case err != nil:
			// Out of reach, or its disk is full: the others go on without it.
			select {
			case <-quit:
				return
			case <-t.stop:
				return
			case <-clock.After(constants.TickPeriod * 2):
			}
		case answer.Granted:
			next = answer.Last + 1
			t.lagged(register.Identity(member), clock.Now().Since(begun))
			t.matched(register.Identity(member), answer.Last)
		case answer.Epoch > t.duty.Epoch:
			t.end("a later epoch was raised")
			return
		case answer.Stretches != nil || answer.Last < next-1:
			next = min(lots.Common(t.server.Store.Extent(), lots.ExtentBehind(answer)), next-1) + 1
		default:
			// Another disk answers at that address: the set will be mended.
			select {
			case <-quit:
				return
			case <-t.stop:
				return
			case <-clock.After(constants.HoldRenewal):
			}
		}
	}
}

// batch gathers the next records for a store; nil with a bell when there are none.
func (t *term) batch(member messages.Member, next int64) (*messages.Append, chan struct{}) {
	// A compacted part is sent as such, also where its records are still in memory.
	compacted := next <= t.server.Store.Compacted()
	t.lock.Lock()
	order := &messages.Append{Epoch: t.duty.Epoch, Disk: member.Disk, PreviousIndex: next - 1, Done: t.press.Done()}
	if next > t.press.Last() {
		bell := t.bell
		t.lock.Unlock()
		return nil, bell
	}
	fromMemory := false
	size := 0
	for index := next; !compacted && index <= t.press.Last() && size < constants.AppendBytes; index++ {
		record := t.recentAt(index)
		if record == nil {
			break
		}
		fromMemory = true
		size += len(record.Body) + 128
		order.Records = append(order.Records, *record)
	}
	previous := t.recentAt(next - 1)
	if previous != nil {
		order.PreviousEpoch = previous.Epoch
	}
	t.lock.Unlock()
	if previous == nil {
		// Asked without our lock: the store may be in the middle of a sync.
		order.PreviousEpoch = t.server.Store.EpochAt(next - 1)
	}
	if !fromMemory {
		fetched, err := t.server.Store.Fetch(&messages.Fetch{First: next})
		if err != nil || len(fetched.Records) == 0 {
			return nil, clock.Bell(constants.TickPeriod)
		}
		order.Records, order.Base, order.BaseEpoch = fetched.Records, fetched.Base, fetched.BaseEpoch
	}
	return order, nil
}
