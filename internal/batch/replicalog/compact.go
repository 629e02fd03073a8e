package replicalog

import (
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Compaction is the policy for compacting the file.
type Compaction struct {
	// Bytes is the minimum size of the file for compaction by size.
	Bytes int64
	// Records is the minimum number of obsolete records for compaction by count.
	Records int
	// Lag is the minimum time since a record was committed. It keeps the base below the records
	// of members that lag a little, since a member whose replica ends before the base has to be
	// copied from the start.
	Lag clock.Duration
}

// DefaultCompaction returns the policy that applies unless SetCompaction is called.
func DefaultCompaction() Compaction {
	return Compaction{Bytes: constants.RewriteBytes, Records: constants.RewriteRecords, Lag: constants.RewriteLag}
}

// SetCompaction replaces the policy for compacting the file.
func (l *Log) SetCompaction(compaction Compaction) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.compactionPolicy.Compaction = compaction
}

// compactionState is the policy and the state on which the decision to compact is based.
type compactionState struct {
	Compaction
	// commitHistory contains past commit indexes, starting with the newest one that is at least Lag old.
	commitHistory []commitMark
	// estimatedAtIndex is the index of the last record when the savings were last estimated.
	estimatedAtIndex int64
}

// commitMark is a commit index and the instant at which it was seen.
type commitMark struct {
	at    clock.Instant
	index int64
}

// durableSinceLag records the current commit index and returns the one of Lag ago, or zero if none is known.
func (c *compactionState) durableSinceLag(commitIndex int64, now clock.Instant) int64 {
	c.commitHistory = append(c.commitHistory, commitMark{now, commitIndex})
	for len(c.commitHistory) > 1 && now.Sub(c.commitHistory[1].at) >= c.Lag {
		c.commitHistory = c.commitHistory[1:]
	}
	if now.Sub(c.commitHistory[0].at) < c.Lag {
		return 0
	}
	return c.commitHistory[0].index
}

// estimateDue reports whether enough records were added since the last estimate of the savings to
// estimate them again: only new records make others obsolete.
func (c *compactionState) estimateDue(last int64) bool {
	const fraction = 8
	if last >= c.estimatedAtIndex && last-c.estimatedAtIndex < int64(c.Records/fraction) {
		return false
	}
	c.estimatedAtIndex = last
	return true
}

// worthCompacting reports whether compaction drops at least as much as it has to write. Then each byte
// and each record is written a bounded number of times, and the file contains at most twice the
// data that is not obsolete, apart from the minimum sizes.
func (c *compactionState) worthCompacting(size, keptBytes int64, retained, dropped int) bool {
	bySize := size >= c.Bytes && keptBytes*2 <= size
	return bySize || (dropped >= c.Records && dropped >= retained)
}

// CompactIfDue compacts the file if the policy says that enough of it is obsolete.
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

// compact writes a new file: first the disk identity, the fence and the base, then the records that are kept.
func (l *Log) compact(upTo int64) error {
	base, retained := l.replica.Compacted(upTo)
	i := -1
	offsets, err := l.file.Rewrite(func() ([]byte, bool, error) {
		record := messages.ReplicaRecord{Disk: l.replica.Disk, Fence: l.replica.FencedEpoch(), Base: base.Index, BaseEpoch: base.Epoch}
		switch {
		case i >= len(retained):
			return nil, false, nil
		case i >= 0:
			entry, err := l.recordToKeep(retained[i])
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
		return ErrReplicaLog.Wrap(err, "rewrite file")
	}
	for i := range retained {
		retained[i].Offset = offsets[i+1]
	}
	l.replica.Compact(base, retained)
	l.base.Store(base.Index)
	l.bytes.Store(l.file.Size())
	return nil
}

// recordToKeep returns the record to write into the new file. An entry with a negative offset is an empty record.
func (l *Log) recordToKeep(indexEntry replication.IndexEntry) (*messages.Record, error) {
	if indexEntry.Offset < 0 {
		return &messages.Record{Index: indexEntry.Index, Epoch: indexEntry.Epoch, Kind: indexEntry.Kind}, nil
	}
	return l.read(indexEntry.Index)
}
