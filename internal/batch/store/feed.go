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
	own := member.Address == t.server.Node.Self.Address
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
		resp := &messages.AppendResponse{}
		var err error
		start := clock.Now()
		if own {
			*resp, err = t.server.Store.Append(batch)
		} else {
			err = transport.Call(t.server.Node.Transport, member.Address, messages.KindAppend, batch, resp, constants.BulkCallTimeout)
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
		case resp.Granted:
			next = resp.Last + 1
			t.lagged(register.Identity(member), clock.Now().Sub(start))
			t.matched(register.Identity(member), resp.Last)
		case resp.Epoch > t.duty.Epoch:
			t.end("a later epoch was raised")
			return
		case resp.EpochRanges != nil || resp.Last < next-1:
			next = min(lots.Common(t.server.Store.Extent(), lots.ExtentBehind(resp)), next-1) + 1
		default:
			// Another disk answers at that address: the set will be mended.
			select {
			case <-quit:
				return
			case <-t.stop:
				return
			case <-clock.After(constants.LeaseRenewPeriod):
			}
		}
	}
}

// batch gathers the next records for a store; nil with a bell when there are none.
func (t *term) batch(member messages.Member, next int64) (*messages.AppendRequest, chan struct{}) {
	// A compacted part is sent as such, also where its records are still in memory.
	compacted := next <= t.server.Store.Compacted()
	t.lock.Lock()
	order := &messages.AppendRequest{Epoch: t.duty.Epoch, Disk: member.Disk, PreviousIndex: next - 1, CommitIndex: t.press.Done()}
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
		fetched, err := t.server.Store.Fetch(&messages.FetchRequest{First: next})
		if err != nil || len(fetched.Records) == 0 {
			return nil, clock.ClosedAfter(constants.TickPeriod)
		}
		order.Records, order.Base, order.BaseEpoch = fetched.Records, fetched.Base, fetched.BaseEpoch
	}
	return order, nil
}
