package store

import (
	"fmt"

	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// takeOver starts the term from the best copy of the log. All records are fetched in a single step.
func (s *simLeader) takeOver(set []messages.Member, copies map[string]messages.FenceResponse) {
	own := s.fleet.stores[s.address]
	best := replication.BestCopy(copies)
	if best != register.Identity(own.member) {
		for _, member := range set {
			if register.Identity(member) != best {
				continue
			}
			source := s.fleet.stores[member.Address]
			target := copies[best]
			for next := replication.CommonIndex(own.log.Extent(), replication.ExtentOfFence(&target)) + 1; next <= copies[best].Last; {
				fetched, err := source.log.Fetch(&messages.FetchRequest{First: next})
				if err != nil || source.down || len(fetched.Records) == 0 {
					return
				}
				resp, err := own.log.Append(&messages.AppendRequest{Epoch: s.epoch, Disk: own.member.Disk, PreviousIndex: next - 1,
					PreviousEpoch: own.log.EpochAt(next - 1), Records: fetched.Records, Base: fetched.Base, BaseEpoch: fetched.BaseEpoch})
				if err != nil || !resp.Granted {
					return
				}
				next = fetched.Records[len(fetched.Records)-1].Index + 1
			}
		}
	}
	last := own.log.Extent().Last
	s.replicator = replication.NewReplicator(s.epoch, set, s.fleet.budget, last+1)
	jobs, err := own.log.Jobs()
	if err != nil {
		s.fleet.t.Fatal(err)
	}
	s.jobs, s.firstIndex, s.applied = jobs, last+1, last
	s.fleet.leader = s
	s.submit(messages.Record{Kind: messages.RecordNoop})
	for _, member := range set {
		s.nextIndex[register.Identity(member)] = last + 1
		s.feed(member)
	}
}

func (s *simLeader) submit(record messages.Record) int64 {
	record.Index, record.Epoch = s.replicator.NextIndex(), s.epoch
	s.records = append(s.records, record)
	return record.Index
}

// feed sends a store the records that it lacks, and repeats that periodically.
func (s *simLeader) feed(member messages.Member) {
	fleet, identity := s.fleet, register.Identity(member)
	if fleet.stores[s.address].down || s.fenced {
		return
	}
	defer fleet.world.After(clock.Milliseconds(30)+fleet.appendDelay[member.Address], func() { s.feed(member) })
	next := s.nextIndex[identity]
	if next > s.replicator.Last() {
		return
	}
	req := s.appendRequest(member, next)
	if req == nil {
		return
	}
	target := fleet.stores[member.Address]
	fleet.countTraffic(member.Address, req)
	fleet.sendAppend(s.address, member.Address, func() {
		if target.down {
			return
		}
		resp, err := target.log.Append(req)
		if err != nil {
			return
		}
		fleet.world.Send(member.Address, s.address, func() { s.handleAppendResponse(identity, next, &resp) })
	})
}

// appendRequest returns the request with the records that a store lacks, starting at next. It
// returns nil if they cannot be read.
func (s *simLeader) appendRequest(member messages.Member, next int64) *messages.AppendRequest {
	fleet := s.fleet
	req := &messages.AppendRequest{Epoch: s.epoch, Disk: member.Disk, PreviousIndex: next - 1, CommitIndex: s.replicator.CommitIndex()}
	if next >= s.firstIndex && next > fleet.stores[s.address].log.Compacted() {
		req.Records = append(req.Records, s.records[next-s.firstIndex:]...)
	} else {
		fetched, err := fleet.stores[s.address].log.Fetch(&messages.FetchRequest{First: next})
		if err != nil {
			return nil
		}
		req.Base, req.BaseEpoch = fetched.Base, fetched.BaseEpoch
		for _, record := range fetched.Records {
			if record.Index < s.firstIndex || fetched.Base > 0 {
				req.Records = append(req.Records, record)
			}
		}
	}
	if next-1 >= s.firstIndex {
		req.PreviousEpoch = s.epoch
	} else {
		req.PreviousEpoch = fleet.stores[s.address].log.EpochAt(next - 1)
	}
	return req
}

// handleAppendResponse processes a store's response to a request that started at next.
func (s *simLeader) handleAppendResponse(identity string, next int64, resp *messages.AppendResponse) {
	switch {
	case resp.Epoch > s.epoch:
		// There is a later epoch: the term ends, as a real one does.
		s.fenced = true
	case resp.Granted:
		s.nextIndex[identity] = max(s.nextIndex[identity], resp.Last+1)
		if s.replicator.UpdateMatch(identity, resp.Last) {
			s.applyCommitted()
		}
	case resp.EpochRanges != nil:
		common := replication.CommonIndex(s.fleet.stores[s.address].log.Extent(), replication.ExtentOfAppend(resp))
		s.nextIndex[identity] = min(common, next-1) + 1
	}
}

// applyCommitted acknowledges committed records to clients. Every later leader must know them.
func (s *simLeader) applyCommitted() {
	s.ready = true
	fleet := s.fleet
	for s.applied < s.replicator.CommitIndex() {
		record := s.records[s.applied+1-s.firstIndex]
		if err := s.jobs.Apply(&record); err != nil {
			fleet.t.Fatal(err)
		}
		s.applied++
		if record.Kind == messages.RecordForget {
			fleet.forgotten[record.Job] = true
		}
		// An earlier leader may learn late that its records have enough copies. Its acknowledgements
		// are not checked for a job whose retention ended meanwhile.
		if record.Kind != messages.RecordOutput || fleet.forgetRequested[record.Job] {
			continue
		}
		key := fmt.Sprintf("%s/%d", record.Job, record.Position)
		if other, known := fleet.acknowledgedItems[key]; known && other != record.Item {
			fleet.t.Fatalf("position %s was item %s and is now item %s", key, other, record.Item)
		}
		fleet.acknowledgedItems[key] = record.Item
		fleet.acknowledgements++
		fleet.world.Record("acknowledged %s %s", key, record.Item)
	}
}
