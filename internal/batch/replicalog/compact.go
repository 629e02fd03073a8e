package replicalog

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Compaction says when the file is compacted.
type Compaction struct {
	// Bytes and Records are the least sizes at which it pays.
	Bytes   int64
	Records int
	// Lag is how long ago records must have been committed: it goes up to where members that
	// lag a little are too, since others would have to be copied anew.
	Lag clock.Duration
}

// DefaultCompaction is the compaction of a log that is not told otherwise.
func DefaultCompaction() Compaction {
	return Compaction{Bytes: constants.RewriteBytes, Records: constants.RewriteRecords, Lag: constants.RewriteLag}
}

// SetCompaction changes when the file is compacted.
func (l *Log) SetCompaction(compaction Compaction) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.compactionPolicy.Compaction = compaction
}

// compactionState is what the decision to compact is taken on.
type compactionState struct {
	Compaction
	// committed notes what was committed at which instant.
	commitHistory []commitMark
	// weighed is the index of the last record when the file was weighed last.
	estimatedAtIndex int64
}

// commitMark is the commit index at an instant.
type commitMark struct {
	at    clock.Instant
	index int64
}

// upTo notes what is durable now and gives what was so a while ago.
func (r *compactionState) durableSinceLag(done int64, now clock.Instant) int64 {
	r.commitHistory = append(r.commitHistory, commitMark{now, done})
	for len(r.commitHistory) > 1 && now.Sub(r.commitHistory[1].at) >= r.Lag {
		r.commitHistory = r.commitHistory[1:]
	}
	if now.Sub(r.commitHistory[0].at) < r.Lag {
		return 0
	}
	return r.commitHistory[0].index
}

// weighs tells whether enough has come since to weigh the file again: what is obsolete
// was made so by new records.
func (r *compactionState) estimateDue(last int64) bool {
	const part = 8
	if last >= r.estimatedAtIndex && last-r.estimatedAtIndex < int64(r.Records/part) {
		return false
	}
	r.estimatedAtIndex = last
	return true
}

// pays tells whether a rewrite drops at least as much as it has to write: each byte and
// each record is then written a bounded number of times, and the file holds no more than
// twice what still counts, beside the least sizes.
func (r *compactionState) worthCompacting(size, keptBytes int64, retained, dropped int) bool {
	long := size >= r.Bytes && keptBytes*2 <= size
	return long || (dropped >= r.Records && dropped >= retained)
}

// CompactIfDue rewrites the file once much of it is obsolete.
func (l *Log) CompactIfDue(now clock.Instant) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	upTo := l.compactionPolicy.durableSinceLag(l.commitIndex, now)
	if upTo <= l.replica.Base().Index || !l.replica.Complete() || !l.compactionPolicy.estimateDue(l.replica.Last()) {
		return nil
	}
	keptBytes, retained, dropped := l.replica.CompactionSavings(upTo)
	if !l.compactionPolicy.worthCompacting(l.file.Size(), keptBytes, retained, dropped) {
		return nil
	}
	return l.compact(upTo)
}

// compact writes a new file: who we are and the fence, the base, and what stays.
func (l *Log) compact(upTo int64) error {
	base, stay := l.replica.Compacted(upTo)
	i := -1
	offsets, err := l.file.Rewrite(func() ([]byte, bool, error) {
		record := messages.ReplicaRecord{Disk: l.replica.Disk, Fence: l.replica.FencedEpoch(), Base: base.Index, BaseEpoch: base.Epoch}
		switch {
		case i >= len(stay):
			return nil, false, nil
		case i >= 0:
			entry, err := l.recordToKeep(stay[i])
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
	l.replica.Compact(base, stay)
	l.base.Store(base.Index)
	l.bytes.Store(l.file.Size())
	return nil
}

// recordToKeep gives a record that goes into the new file.
func (l *Log) recordToKeep(slot replication.IndexEntry) (*messages.Record, error) {
	if slot.Offset < 0 {
		return &messages.Record{Index: slot.Index, Epoch: slot.Epoch, Kind: slot.Kind}, nil
	}
	return l.read(slot.Index)
}
