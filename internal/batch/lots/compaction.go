package lots

import "lemonarch/internal/platform/messages"

// forgottenAt tells at which index each lot was forgotten last, up to an index.
func (r *Replica) forgottenAt(upTo int64) map[string]int64 {
	forgotten := map[string]int64{}
	r.Each(1, func(slot Slot) bool {
		if slot.Kind == messages.RecordForget && slot.Index <= upTo {
			forgotten[slot.Lot] = slot.Index
		}
		return slot.Index < upTo
	})
	return forgotten
}

// sureEpoch is the latest epoch, up to an index, whose holder knew that no acquisition
// of an earlier one stands.
func (r *Replica) sureEpoch(upTo int64) uint64 {
	epoch := uint64(0)
	r.Each(1, func(slot Slot) bool {
		if slot.Kind == messages.RecordAcquisitionsKnown && slot.Index <= upTo {
			epoch = max(epoch, slot.Epoch)
		}
		return slot.Index < upTo
	})
	return epoch
}

// Gone gives the test of which records say nothing any more once all up to an index
// are durable: those of forgotten lots, the word that forgot them included, of drivers
// that hold nothing, and those without a content.
func (r *Replica) Gone(upTo int64) func(slot Slot) bool {
	forgotten, sure := r.forgottenAt(upTo), r.sureEpoch(upTo)
	return func(slot Slot) bool {
		if slot.Index > upTo {
			return false
		}
		switch slot.Kind {
		case messages.RecordNoop, messages.RecordAcquisitionsKnown:
			return true
		case messages.RecordExecutor:
			return slot.Epoch < sure
		}
		return slot.Index <= forgotten[slot.Lot]
	}
}

// Weight adds up what a rewrite up to an index would keep and drop.
func (r *Replica) Weight(upTo int64) (keptBytes int64, kept, dropped int) {
	gone := r.Gone(upTo)
	r.Each(1, func(slot Slot) bool {
		if gone(slot) {
			dropped++
		} else {
			kept++
			keptBytes += int64(slot.Size)
		}
		return true
	})
	return keptBytes, kept, dropped
}

// Compacted gives the records that stay when all up to an index is compacted. The one
// at the index always stays, empty where it says nothing: it ends the sparse part.
func (r *Replica) Compacted(upTo int64) (base Base, stay []Slot) {
	base = Base{upTo, r.EpochAt(upTo)}
	gone := r.Gone(upTo)
	r.Each(1, func(slot Slot) bool {
		switch {
		case slot.Index == upTo && gone(slot):
			stay = append(stay, Slot{Index: upTo, Epoch: slot.Epoch, Size: recordOverhead, Kind: messages.RecordNoop, Offset: -1})
		case !gone(slot):
			stay = append(stay, slot)
		}
		return true
	})
	return base, stay
}

// Compact takes a rewrite that is synced: the records that stay, where they stand now.
func (r *Replica) Compact(base Base, stay []Slot) {
	count := 0
	for count < len(stay) && stay[count].Index <= base.Index {
		count++
	}
	r.base = base
	r.sparse, r.slots = stay[:count:count], stay[count:]
}
