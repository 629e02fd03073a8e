package leader

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// recordOverhead is the approximate size of a record in a message without its body, in bytes.
const recordOverhead = 128

// feeder sends records to one member of the store set, or to a joiner, until it is stopped or
// the term ends.
type feeder struct {
	term   *Term
	member messages.Member
	// next is the index of the next record to be sent. It is guarded by Term.lock, as is
	// delegation. While no delegation is active, only the feeder's goroutine sets it, and may read
	// it without the lock.
	next       int64
	delegation delegation
	// progressAt is when the feeder started, or when a response to a direct request last set next.
	// It is guarded by Term.lock.
	progressAt clock.Instant
	quit       chan struct{}
}

// startFeed starts to send records to a store, beginning after the index common. It does nothing
// if a feeder of the store is already running. The lock is held.
func (t *Term) startFeed(member messages.Member, common int64) {
	identity := register.Identity(member)
	if t.feeds.feeders[identity] != nil {
		return
	}
	f := &feeder{term: t, member: member, next: common + 1, progressAt: clock.Now(), quit: make(chan struct{})}
	t.feeds.feeders[identity] = f
	go f.run()
}

// stopFeed stops sending records to a store. The lock is held.
func (t *Term) stopFeed(member messages.Member) { t.stopFeedOf(register.Identity(member)) }

// stopFeedOf stops sending records to the store with an identity. The lock is held.
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
			// The store can't be reached or its disk is full. The others continue without it.
			f.failDownstream()
			if !f.pause(constants.TickPeriod * 2) {
				return
			}
			continue
		}
		if !f.handle(resp, clock.Now().Sub(start)) {
			return
		}
		// Wait so that the records that arrive in the meantime are sent in one request. Each request,
		// whatever its size, causes wake-ups in this process and three others.
		if remaining := constants.AppendSpacing - clock.Now().Sub(start); remaining > 0 && !f.pause(remaining) {
			return
		}
	}
}

// wait waits for the next change. It returns false if the feeder has to end.
func (f *feeder) wait(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-f.quit:
		return false
	case <-f.term.lifecycle.stop:
		return false
	}
}

// pause waits for a duration. It returns false if the feeder has to end.
func (f *feeder) pause(duration clock.Duration) bool {
	select {
	case <-clock.After(duration):
		return true
	case <-f.quit:
		return false
	case <-f.term.lifecycle.stop:
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

// handle processes a store's response. took is the time from request to response. It returns
// false if the feeder has to end.
func (f *feeder) handle(resp messages.AppendResponse, took clock.Duration) bool {
	t, identity := f.term, register.Identity(f.member)
	switch {
	case resp.Granted:
		f.setNext(resp.Last + 1)
		t.observeAppendLatency(identity, took)
		t.handleMatch(identity, resp.Last)
	case resp.Epoch > t.leadership.Epoch:
		t.Close("a store reported a later epoch")
		return false
	case resp.EpochRanges != nil || resp.Last < f.next-1:
		// The request does not continue the store's records: resume after the last common record.
		common := replication.CommonIndex(t.process.Log.Extent(), replication.ExtentOfAppend(&resp))
		f.setNext(min(common, f.next-1) + 1)
	default:
		// The store at that address now has a different disk. reconcileSet will repair the set.
		return f.pause(constants.LeaseRenewPeriod)
	}
	return true
}

// setNext sets the index of the next record to be sent to the store.
func (f *feeder) setNext(next int64) {
	f.term.lock.Lock()
	defer f.term.lock.Unlock()
	f.next, f.progressAt = next, clock.Now()
}

// nextBatch returns a request with the next records for the store. If there are none, it returns
// nil and a channel that closes when there may be some.
func (f *feeder) nextBatch() (*messages.AppendRequest, <-chan struct{}) {
	req, changed := f.gatherBatch()
	if req == nil {
		return nil, changed
	}
	f.delegateOnward(req)
	return req, changed
}

// gatherBatch returns what nextBatch does, without setting the store to forward the records to.
func (f *feeder) gatherBatch() (*messages.AppendRequest, <-chan struct{}) {
	log := f.term.process.Log
	req, previous, changed := f.recentBatch(f.next <= log.Compacted())
	if req == nil {
		return nil, changed
	}
	if !previous {
		// Read without holding the term's lock, because the log may be busy with a sync.
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

// recentBatch returns the next request with those records that are still in memory. If the records
// are compacted on disk, the request contains no records, since the compacted part is sent as
// stored. previous reports whether the epoch of the preceding record was still in memory. The
// request is nil if there is no record to send.
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
