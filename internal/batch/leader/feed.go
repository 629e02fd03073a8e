package leader

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// startFeed begins to copy records to a store, from a common index on. The lock is held.
func (t *Term) startFeed(member messages.Member, common int64) {
	identity := register.Identity(member)
	if t.feeds.feeders[identity] != nil {
		return
	}
	quit := make(chan struct{})
	t.feeds.feeders[identity] = quit
	go t.feedLoop(member, common+1, quit)
}

// stopFeed stops that.
func (t *Term) stopFeed(member messages.Member) {
	identity := register.Identity(member)
	if quit := t.feeds.feeders[identity]; quit != nil {
		close(quit)
		delete(t.feeds.feeders, identity)
	}
}

func (t *Term) feedLoop(member messages.Member, next int64, quit chan struct{}) {
	own := member.Address == t.process.Node.Self.Address
	for {
		batch, changed := t.nextBatch(member, next)
		if batch == nil {
			select {
			case <-changed:
				continue
			case <-quit:
				return
			case <-t.life.stop:
				return
			}
		}
		resp := &messages.AppendResponse{}
		var err error
		start := clock.Now()
		if own {
			*resp, err = t.process.Log.Append(batch)
		} else {
			err = transport.Call(t.process.Node.Transport, member.Address, messages.KindAppend, batch, resp, constants.BulkCallTimeout)
		}
		switch {
		case err != nil:
			// Out of reach, or its disk is full: the others go on without it.
			select {
			case <-quit:
				return
			case <-t.life.stop:
				return
			case <-clock.After(constants.TickPeriod * 2):
			}
		case resp.Granted:
			next = resp.Last + 1
			t.noteAppendLatency(register.Identity(member), clock.Now().Sub(start))
			t.handleMatch(register.Identity(member), resp.Last)
		case resp.Epoch > t.leadership.Epoch:
			t.Close("a later epoch was raised")
			return
		case resp.EpochRanges != nil || resp.Last < next-1:
			next = min(replication.CommonIndex(t.process.Log.Extent(), replication.ExtentOfAppend(resp)), next-1) + 1
		default:
			// Another disk answers at that address: the set will be mended.
			select {
			case <-quit:
				return
			case <-t.life.stop:
				return
			case <-clock.After(constants.LeaseRenewPeriod):
			}
		}
	}
}

// nextBatch gathers the next records for a store; nil with a bell when there are none.
func (t *Term) nextBatch(member messages.Member, next int64) (*messages.AppendRequest, chan struct{}) {
	// A compacted part is sent as such, also where its records are still in memory.
	compacted := next <= t.process.Log.Compacted()
	t.lock.Lock()
	req := &messages.AppendRequest{Epoch: t.leadership.Epoch, Disk: member.Disk, PreviousIndex: next - 1, CommitIndex: t.records.replicator.CommitIndex()}
	if next > t.records.replicator.Last() {
		changed := t.records.changed
		t.lock.Unlock()
		return nil, changed
	}
	fromMemory := false
	size := 0
	for index := next; !compacted && index <= t.records.replicator.Last() && size < constants.AppendBytes; index++ {
		record := t.recentAt(index)
		if record == nil {
			break
		}
		fromMemory = true
		size += len(record.Body) + 128
		req.Records = append(req.Records, *record)
	}
	previous := t.recentAt(next - 1)
	if previous != nil {
		req.PreviousEpoch = previous.Epoch
	}
	t.lock.Unlock()
	if previous == nil {
		// Asked without our lock: the store may be in the middle of a sync.
		req.PreviousEpoch = t.process.Log.EpochAt(next - 1)
	}
	if !fromMemory {
		fetched, err := t.process.Log.Fetch(&messages.FetchRequest{First: next})
		if err != nil || len(fetched.Records) == 0 {
			return nil, clock.ClosedAfter(constants.TickPeriod)
		}
		req.Records, req.Base, req.BaseEpoch = fetched.Records, fetched.Base, fetched.BaseEpoch
	}
	return req, nil
}
