package leader

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// recordOverhead is about what a record takes in a message beside its body, in bytes.
const recordOverhead = 128

// feeder sends records to one store of the set, or to a joiner, until it is stopped or the
// term ends.
type feeder struct {
	term   *Term
	member messages.Member
	// next is the index of the next record to be sent. It is guarded by Term.lock, as is
	// delegation.
	next       int64
	delegation delegation
	// progressAt is when the store last confirmed records. It is guarded by Term.lock.
	progressAt clock.Instant
	quit       chan struct{}
}

// startFeed begins to send records to a store, from a common index on. The lock is held.
func (t *Term) startFeed(member messages.Member, common int64) {
	identity := register.Identity(member)
	if t.feeds.feeders[identity] != nil {
		return
	}
	f := &feeder{term: t, member: member, next: common + 1, progressAt: clock.Now(), quit: make(chan struct{})}
	t.feeds.feeders[identity] = f
	go f.run()
}

// stopFeed stops that. The lock is held.
func (t *Term) stopFeed(member messages.Member) { t.stopFeedOf(register.Identity(member)) }

// stopFeedOf is stopFeed by the identity of the store. The lock is held.
func (t *Term) stopFeedOf(identity string) {
	if f := t.feeds.feeders[identity]; f != nil {
		close(f.quit)
		delete(t.feeds.feeders, identity)
	}
}

func (f *feeder) run() {
	for {
		if !f.awaitDelegated() {
			return
		}
		batch, changed := f.nextBatch()
		if batch == nil {
			if !f.wait(changed) {
				return
			}
			continue
		}
		start := clock.Now()
		resp, err := f.send(batch)
		if err != nil {
			// Out of reach, or its disk is full: the others go on without it.
			f.failDownstream()
			if !f.pause(constants.TickPeriod * 2) {
				return
			}
			continue
		}
		if !f.handle(resp, clock.Now().Sub(start)) {
			return
		}
		// What comes meanwhile goes together: each order costs this process and three others
		// their wake-ups, whatever its length.
		if left := constants.AppendSpacing - clock.Now().Sub(start); left > 0 && !f.pause(left) {
			return
		}
	}
}

// wait returns at the next change; false when the feeder has to end.
func (f *feeder) wait(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-f.quit:
		return false
	case <-f.term.life.stop:
		return false
	}
}

// pause waits for a while; false when the feeder has to end.
func (f *feeder) pause(duration clock.Duration) bool {
	select {
	case <-clock.After(duration):
		return true
	case <-f.quit:
		return false
	case <-f.term.life.stop:
		return false
	}
}

func (f *feeder) send(batch *messages.AppendRequest) (messages.AppendResponse, error) {
	process := f.term.process
	if f.member.Address == process.Node.Self.Address {
		return process.Log.Append(batch)
	}
	resp := messages.AppendResponse{}
	err := transport.Call(process.Node.Transport, f.member.Address, messages.KindAppend, batch, &resp, constants.BulkCallTimeout)
	return resp, err
}

// handle takes a store's response, which took a time; false when the feeder has to end.
func (f *feeder) handle(resp messages.AppendResponse, took clock.Duration) bool {
	t, identity := f.term, register.Identity(f.member)
	switch {
	case resp.Granted:
		f.setNext(resp.Last + 1)
		t.noteAppendLatency(identity, took)
		t.handleMatch(identity, resp.Last)
	case resp.Epoch > t.leadership.Epoch:
		t.Close("a later epoch was raised")
		return false
	case resp.EpochRanges != nil || resp.Last < f.next-1:
		// The records do not join on to those of the store: go further back.
		common := replication.CommonIndex(t.process.Log.Extent(), replication.ExtentOfAppend(&resp))
		f.setNext(min(common, f.next-1) + 1)
	default:
		// Another disk answers at that address: the set will be repaired.
		return f.pause(constants.LeaseRenewPeriod)
	}
	return true
}

// setNext notes from which record on the store is to be sent.
func (f *feeder) setNext(next int64) {
	f.term.lock.Lock()
	defer f.term.lock.Unlock()
	f.next, f.progressAt = next, clock.Now()
}

// nextBatch gathers the next records for the store; nil where there are none, with a
// channel that closes once there may be.
func (f *feeder) nextBatch() (*messages.AppendRequest, <-chan struct{}) {
	req, changed := f.gatherBatch()
	if req == nil {
		return nil, changed
	}
	f.delegateOnward(req)
	return req, changed
}

// gatherBatch is nextBatch without the store that the records are passed on to.
func (f *feeder) gatherBatch() (*messages.AppendRequest, <-chan struct{}) {
	log := f.term.process.Log
	req, previous, changed := f.recentBatch(f.next <= log.Compacted())
	if req == nil {
		return nil, changed
	}
	if !previous {
		// Asked without the term's lock: the store may be in the middle of a sync.
		req.PreviousEpoch = log.EpochAt(f.next - 1)
	}
	if len(req.Records) > 0 {
		return req, nil
	}
	fetched, err := log.Fetch(&messages.FetchRequest{First: f.next})
	if err != nil || len(fetched.Records) == 0 {
		return nil, clock.ClosedAfter(constants.TickPeriod)
	}
	req.Records, req.Base, req.BaseEpoch = fetched.Records, fetched.Base, fetched.BaseEpoch
	return req, nil
}

// recentBatch makes the next request with those records that are still in memory, which are
// none where they are compacted on disk: such a part is sent as it is there. previous tells
// whether the epoch of the record before was still in memory. Without any record to send the
// request is nil.
func (f *feeder) recentBatch(compacted bool) (req *messages.AppendRequest, previous bool, changed <-chan struct{}) {
	t := f.term
	t.lock.Lock()
	defer t.lock.Unlock()
	replicator := t.records.replicator
	if f.next > replicator.Last() {
		return nil, false, t.records.changed
	}
	req = &messages.AppendRequest{Epoch: t.leadership.Epoch, Disk: f.member.Disk, PreviousIndex: f.next - 1, CommitIndex: replicator.CommitIndex()}
	size := 0
	for index := f.next; !compacted && index <= replicator.Last() && size < constants.AppendBytes; index++ {
		record := t.recentAt(index)
		if record == nil {
			break
		}
		size += len(record.Body) + recordOverhead
		req.Records = append(req.Records, *record)
	}
	if record := t.recentAt(f.next - 1); record != nil {
		req.PreviousEpoch = record.Epoch
		return req, true, nil
	}
	return req, false, nil
}
