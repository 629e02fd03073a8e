package hollowfleet

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// feed sends a store what it lacks, one order at a time.
func (s *storage) feed(node *Node, own *storeState, member messages.Member, identity string) {
	next := own.replication.MatchIndex(identity) + 1
	if own.sending[identity] || next > own.replication.Last() {
		return
	}
	own.sending[identity] = true
	order := &messages.AppendRequest{Epoch: lotEpoch, Disk: member.Disk, PreviousIndex: next - 1, CommitIndex: own.replication.CommitIndex()}
	if next > 1 {
		order.PreviousEpoch = lotEpoch
	}
	size := 0
	for i := next - own.first; i < int64(len(own.recent)) && size < constants.AppendBytes; i++ {
		order.Records = append(order.Records, own.recent[i])
		size += len(own.recent[i].Body) + 128
	}
	matched := func(resp messages.AppendResponse) {
		own.sending[identity] = false
		if resp.Granted {
			node.step(CoreLots, func() {
				if own.replication.UpdateMatch(identity, resp.Last) {
					s.apply(node, own)
				}
			})
			s.feed(node, own, member, identity)
		}
	}
	if member.Address == node.own.Address {
		var resp messages.AppendResponse
		node.step(CoreLots, func() { resp = own.append(order) })
		// A sync of our own disk, as long as one in the zone.
		node.after(clock.Milliseconds(5), func() { matched(resp) })
		return
	}
	back := &messages.AppendResponse{}
	node.ask(CoreLots, member.Address, messages.KindAppend, order, back, constants.BulkCallTimeout, func(reached bool) {
		if !reached {
			own.sending[identity] = false
			node.after(constants.TickPeriod*2, func() { s.feed(node, own, member, identity) })
			return
		}
		matched(*back)
	})
}

// apply takes what became durable into the book.
func (s *storage) apply(node *Node, own *storeState) {
	for own.applied < own.replication.CommitIndex() {
		record := own.recent[own.applied+1-own.first]
		_ = own.book.Apply(&record)
		switch record.Kind {
		case messages.RecordJob:
			s.waits = append(s.waits, clock.ToMilliseconds(node.now().Sub(own.begun[record.Job])))
			delete(own.begun, record.Job)
		case messages.RecordOutput:
			s.listed++
			if job := own.book.Job(record.Job); job != nil && len(job.Listings) == job.Total() {
				// Read by its client at once, in this world.
				s.submit(node, own, messages.Record{Kind: messages.RecordForget, Job: record.Job})
			}
		}
		own.applied++
	}
	retained := own.durable[:0]
	for _, entry := range own.durable {
		if entry.index > own.replication.CommitIndex() {
			retained = append(retained, entry)
			continue
		}
		entry.then()
	}
	own.durable = retained
	// What is on all stores is given back; one that lags keeps it here.
	keep := own.applied
	for _, member := range s.members {
		keep = min(keep, own.replication.MatchIndex(member.Address+"#"+member.Disk))
	}
	if excess := keep + 1 - own.first; excess > 0 {
		own.recent = append([]messages.Record(nil), own.recent[excess:]...)
		own.first += excess
	}
}
