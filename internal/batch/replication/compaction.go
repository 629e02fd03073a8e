package replication

import "lemonarch/internal/platform/messages"

// forgottenAt tells at which index each job was forgotten last, up to an index.
func (r *Replica) forgottenAt(upTo int64) map[string]int64 {
	forgotten := map[string]int64{}
	r.Each(1, func(slot IndexEntry) bool {
		if slot.Kind == messages.RecordForget && slot.Index <= upTo {
			forgotten[slot.Job] = slot.Index
		}
		return slot.Index < upTo
	})
	return forgotten
}

// acquisitionsKnownEpoch is the latest epoch, up to an index, whose leader knew that no acquisition
// of an earlier one stands.
func (r *Replica) acquisitionsKnownEpoch(upTo int64) uint64 {
	epoch := uint64(0)
	r.Each(1, func(slot IndexEntry) bool {
		if slot.Kind == messages.RecordAcquisitionsKnown && slot.Index <= upTo {
			epoch = max(epoch, slot.Epoch)
		}
		return slot.Index < upTo
	})
	return epoch
}

// Obsolete gives the test of which records are obsolete once all up to an index
// are durable: those of forgotten jobs, the record that forgot them included, of executors
// that hold nothing, and those without a content.
func (r *Replica) Obsolete(upTo int64) func(slot IndexEntry) bool {
	forgotten, sure := r.forgottenAt(upTo), r.acquisitionsKnownEpoch(upTo)
	return func(slot IndexEntry) bool {
		if slot.Index > upTo {
			return false
		}
		switch slot.Kind {
		case messages.RecordNoop, messages.RecordAcquisitionsKnown:
			return true
		case messages.RecordExecutor:
			return slot.Epoch < sure
		}
		return slot.Index <= forgotten[slot.Job]
	}
}

// Weight adds up what a rewrite up to an index would keep and drop.
func (r *Replica) CompactionSavings(upTo int64) (keptBytes int64, retained, dropped int) {
	obsolete := r.Obsolete(upTo)
	r.Each(1, func(slot IndexEntry) bool {
		if obsolete(slot) {
			dropped++
		} else {
			retained++
			keptBytes += int64(slot.Size)
		}
		return true
	})
	return keptBytes, retained, dropped
}

// Compacted gives the records that stay when all up to an index is compacted. The one
// at the index always stays, empty where it is obsolete: it ends the sparse part.
func (r *Replica) Compacted(upTo int64) (base Base, stay []IndexEntry) {
	base = Base{upTo, r.EpochAt(upTo)}
	obsolete := r.Obsolete(upTo)
	r.Each(1, func(slot IndexEntry) bool {
		switch {
		case slot.Index == upTo && obsolete(slot):
			stay = append(stay, IndexEntry{Index: upTo, Epoch: slot.Epoch, Size: recordOverheadBytes, Kind: messages.RecordNoop, Offset: -1})
		case !obsolete(slot):
			stay = append(stay, slot)
		}
		return true
	})
	return base, stay
}

// Compact takes a rewrite that is synced: the records that stay, where they stand now.
func (r *Replica) Compact(base Base, stay []IndexEntry) {
	count := 0
	for count < len(stay) && stay[count].Index <= base.Index {
		count++
	}
	r.base = base
	r.sparse, r.entries = stay[:count:count], stay[count:]
}
