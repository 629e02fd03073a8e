package replication

import "lemonarch/internal/platform/messages"

// forgottenAt returns, for each job, the index of its last RecordForget record up to an index.
func (r *Replica) forgottenAt(upTo int64) map[string]int64 {
	forgotten := map[string]int64{}
	r.Each(1, func(entry IndexEntry) bool {
		if entry.Kind == messages.RecordForget && entry.Index <= upTo {
			forgotten[entry.Job] = entry.Index
		}
		return entry.Index < upTo
	})
	return forgotten
}

// acquisitionsKnownEpoch returns the latest epoch with a RecordAcquisitionsKnown record up to an
// index: no acquisition of an earlier epoch remained that its leader had not adopted.
func (r *Replica) acquisitionsKnownEpoch(upTo int64) uint64 {
	epoch := uint64(0)
	r.Each(1, func(entry IndexEntry) bool {
		if entry.Kind == messages.RecordAcquisitionsKnown && entry.Index <= upTo {
			epoch = max(epoch, entry.Epoch)
		}
		return entry.Index < upTo
	})
	return epoch
}

// Obsolete returns a function that reports which records are obsolete once all up to an index
// are durable: those of forgotten jobs, including the RecordForget record, those of executors
// that can own no acquisition any more, and those without content.
func (r *Replica) Obsolete(upTo int64) func(entry IndexEntry) bool {
	forgotten, knownEpoch := r.forgottenAt(upTo), r.acquisitionsKnownEpoch(upTo)
	return func(entry IndexEntry) bool {
		if entry.Index > upTo {
			return false
		}
		switch entry.Kind {
		case messages.RecordNoop, messages.RecordAcquisitionsKnown:
			return true
		case messages.RecordExecutor:
			return entry.Epoch < knownEpoch
		}
		return entry.Index <= forgotten[entry.Job]
	}
}

// CompactionSavings returns how many bytes and records compaction up to an index would keep, and how
// many records it would drop.
func (r *Replica) CompactionSavings(upTo int64) (keptBytes int64, retained, dropped int) {
	obsolete := r.Obsolete(upTo)
	r.Each(1, func(entry IndexEntry) bool {
		if obsolete(entry) {
			dropped++
		} else {
			retained++
			keptBytes += int64(entry.Size)
		}
		return true
	})
	return keptBytes, retained, dropped
}

// Compacted returns the base and the records that are kept when the replica is compacted up to an
// index. The record at the index is always kept, as an empty one if it is obsolete, because it marks
// the end of the sparse part.
func (r *Replica) Compacted(upTo int64) (base Base, retained []IndexEntry) {
	base = Base{upTo, r.EpochAt(upTo)}
	obsolete := r.Obsolete(upTo)
	r.Each(1, func(entry IndexEntry) bool {
		switch {
		case entry.Index == upTo && obsolete(entry):
			retained = append(retained, IndexEntry{Index: upTo, Epoch: entry.Epoch, Size: recordOverheadBytes, Kind: messages.RecordNoop, Offset: -1})
		case !obsolete(entry):
			retained = append(retained, entry)
		}
		return true
	})
	return base, retained
}

// Compact applies a compaction whose file has been synced. retained are the kept records with
// their new offsets.
func (r *Replica) Compact(base Base, retained []IndexEntry) {
	count := 0
	for count < len(retained) && retained[count].Index <= base.Index {
		count++
	}
	r.base = base
	r.sparse, r.entries = retained[:count:count], retained[count:]
}
