package store

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// compactionPolicy decides when the file is rewritten.
type compactionPolicy struct {
	// bytes and records are the least sizes at which it pays.
	bytes   int64
	records int
	// durable notes what was durable at which moment: the rewrite goes up to where
	// members that lag a little are too, since others would have to be copied anew.
	durable []commitMark
	lag     clock.Duration
	// weighed is the index of the last record when the file was weighed last.
	weighed int64
}

type commitMark struct {
	at    clock.Instant
	index int64
}

func defaultCompactionPolicy() compactionPolicy {
	return compactionPolicy{bytes: constants.RewriteBytes, records: constants.RewriteRecords, lag: constants.RewriteLag}
}

// upTo notes what is durable now and gives what was so a while ago.
func (r *compactionPolicy) upTo(done int64, now clock.Instant) int64 {
	r.durable = append(r.durable, commitMark{now, done})
	for len(r.durable) > 1 && now.Sub(r.durable[1].at) >= r.lag {
		r.durable = r.durable[1:]
	}
	if now.Sub(r.durable[0].at) < r.lag {
		return 0
	}
	return r.durable[0].index
}

// weighs tells whether enough has come since to weigh the file again: what says nothing
// any more was made so by new records.
func (r *compactionPolicy) weighs(last int64) bool {
	const part = 8
	if last >= r.weighed && last-r.weighed < int64(r.records/part) {
		return false
	}
	r.weighed = last
	return true
}

// pays tells whether a rewrite drops at least as much as it has to write: each byte and
// each record is then written a bounded number of times, and the file holds no more than
// twice what still counts, beside the least sizes.
func (r *compactionPolicy) pays(size, keptBytes int64, kept, dropped int) bool {
	long := size >= r.bytes && keptBytes*2 <= size
	return long || (dropped >= r.records && dropped >= kept)
}

// CompactIfDue rewrites the file once much of it says nothing any more.
func (s *ReplicaLog) CompactIfDue(now clock.Instant) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	upTo := s.rewrite.upTo(s.commitIndex, now)
	if upTo <= s.replica.Base().Index || !s.replica.Complete() || !s.rewrite.weighs(s.replica.Last()) {
		return nil
	}
	keptBytes, kept, dropped := s.replica.Weight(upTo)
	if !s.rewrite.pays(s.logfile.Size(), keptBytes, kept, dropped) {
		return nil
	}
	return s.compact(upTo)
}

// compact writes a new file: who we are and the fence, the base, and what stays.
func (s *ReplicaLog) compact(upTo int64) error {
	base, stay := s.replica.Compacted(upTo)
	i := -1
	offsets, err := s.logfile.Rewrite(func() ([]byte, bool, error) {
		record := messages.ReplicaRecord{Disk: s.replica.Disk, Fence: s.replica.FencedEpoch(), Base: base.Index, BaseEpoch: base.Epoch}
		switch {
		case i >= len(stay):
			return nil, false, nil
		case i >= 0:
			entry, err := s.recordToKeep(stay[i])
			if err != nil {
				return nil, false, err
			}
			record = messages.ReplicaRecord{HasEntry: true, Entry: *entry}
		}
		i++
		body, err := record.MarshalMsg(nil)
		return body, true, err
	})
	if err != nil {
		return ErrCorrupt.Wrap(err, "rewrite")
	}
	for i := range stay {
		stay[i].Offset = offsets[i+1]
	}
	s.replica.Compact(base, stay)
	s.base.Store(base.Index)
	return nil
}

// recordToKeep gives a record that goes into the new file.
func (s *ReplicaLog) recordToKeep(slot replication.IndexEntry) (*messages.Record, error) {
	if slot.Offset < 0 {
		return &messages.Record{Index: slot.Index, Epoch: slot.Epoch, Kind: slot.Kind}, nil
	}
	return s.read(slot.Index)
}
