// Package lots keeps lots: the replica of one store, the replication by which the
// holder has records copied, and the book of lots. Step functions without I/O.
package lots

import (
	"sort"

	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// RecordGap is the error of a record that does not follow those before it.
var RecordGap = errs.Define("gap in the records")

// Slot is what a store remembers of a record; its body stays on disk.
type Slot struct {
	Index  int64
	Epoch  uint64
	Offset int64
	Lot    string
	// Size is about how many bytes the record takes on disk.
	Size int32
	Kind messages.RecordKind
}

// recordOverhead is about what a record takes on disk beside its body, in bytes.
const recordOverhead = 128

func slotOf(record *messages.Record, index, offset int64) Slot {
	return Slot{Index: index, Epoch: record.Epoch, Offset: offset, Lot: record.Lot,
		Size: int32(len(record.Body) + recordOverhead), Kind: record.Kind}
}

// Base is the point up to which a replica is compacted: of the records up to Index only
// those are kept that still say something. Epoch is that of the record at Index. All
// of them are durable, so whoever has the record at Index has the same before it.
type Base struct {
	Index int64
	Epoch uint64
}

// Replica is one store's copy of the records, in the order the holders gave them.
// Its caller syncs what a step returns before it answers.
type Replica struct {
	Disk  string
	fence uint64
	base  Base
	// sparse are the records kept of those up to the base, slots all that follow it.
	sparse, slots []Slot
}

// NewReplica makes an empty one.
func NewReplica(disk string) *Replica { return &Replica{Disk: disk} }

// Fence is the epoch below which orders are refused.
func (replica *Replica) Fence() uint64 { return replica.fence }

// SetFence is for reading the disk.
func (replica *Replica) SetFence(epoch uint64) { replica.fence = max(replica.fence, epoch) }

// Base is the point up to which the replica is compacted; zero where it never was.
func (replica *Replica) Base() Base { return replica.base }

// position is the index of the last sparse record.
func (replica *Replica) position() int64 {
	if len(replica.sparse) == 0 {
		return 0
	}
	return replica.sparse[len(replica.sparse)-1].Index
}

// Whole tells whether all up to the base is here: the record at the base, which is
// always kept, comes last.
func (replica *Replica) Whole() bool { return replica.position() == replica.base.Index }

// Last is the index of the last record; indexes begin at 1.
func (replica *Replica) Last() int64 { return replica.position() + int64(len(replica.slots)) }

// Slot gives the slot at an index; there is none where the record was compacted away.
func (replica *Replica) Slot(index int64) (Slot, bool) {
	if place := index - replica.base.Index - 1; place >= 0 {
		if place >= int64(len(replica.slots)) {
			return Slot{}, false
		}
		return replica.slots[place], true
	}
	place := replica.sparseAt(index)
	if place == len(replica.sparse) || replica.sparse[place].Index != index {
		return Slot{}, false
	}
	return replica.sparse[place], true
}

// sparseAt is the place of the first sparse record at an index or behind it.
func (replica *Replica) sparseAt(index int64) int {
	return sort.Search(len(replica.sparse), func(place int) bool { return replica.sparse[place].Index >= index })
}

// EpochAt gives the epoch of a record; index 0 stands before all. Up to the base all
// records count as the base's: which holder wrote them is of no use any more.
func (replica *Replica) EpochAt(index int64) uint64 {
	switch {
	case index < 1 || index > replica.Last():
		return 0
	case index <= replica.base.Index:
		return replica.base.Epoch
	}
	return replica.slots[index-replica.base.Index-1].Epoch
}

// Each visits the records that are kept from an index on until visit says stop.
func (replica *Replica) Each(first int64, visit func(slot Slot) bool) {
	for _, slot := range replica.sparse[replica.sparseAt(first):] {
		if !visit(slot) {
			return
		}
	}
	for place := max(first-replica.base.Index-1, 0); place < int64(len(replica.slots)); place++ {
		if !visit(replica.slots[place]) {
			return
		}
	}
}

// Extent tells which records are here and which epochs wrote them.
func (replica *Replica) Extent() Extent {
	extent := Extent{Last: replica.Last(), Base: replica.base.Index}
	note := func(epoch uint64, first int64) {
		if count := len(extent.Stretches); count == 0 || extent.Stretches[count-1].Epoch != epoch {
			extent.Stretches = append(extent.Stretches, messages.Stretch{Epoch: epoch, First: first})
		}
	}
	if replica.base.Index > 0 {
		note(replica.base.Epoch, 1)
	}
	for _, slot := range replica.slots {
		note(slot.Epoch, slot.Index)
	}
	return extent
}

// Raise answers a new holder; keep says that the fence must be synced before that, and
// then set. It is not set here: where the sync fails, a second try has to sync it too.
func (replica *Replica) Raise(question *messages.Raise) (answer messages.Raised, keep bool) {
	answer = messages.Raised{Epoch: replica.fence}
	// A disk that came back empty is not the store that was asked for.
	if question.Disk != replica.Disk || question.Epoch < replica.fence {
		return answer, false
	}
	keep = question.Epoch > replica.fence
	extent := replica.Extent()
	return messages.Raised{Granted: true, Epoch: question.Epoch, Last: extent.Last, Stretches: extent.Stretches, Base: extent.Base}, keep
}

// Cut drops everything after an index.
func (replica *Replica) Cut(index int64) {
	if index >= replica.base.Index {
		replica.slots = replica.slots[:min(index-replica.base.Index, int64(len(replica.slots)))]
		return
	}
	replica.slots = nil
	replica.sparse = replica.sparse[:replica.sparseAt(index+1)]
}

// Put adds the record that follows.
func (replica *Replica) Put(record *messages.Record, offset int64) {
	if replica.base.Index > 0 && record.Index <= replica.base.Index {
		replica.sparse = append(replica.sparse, slotOf(record, record.Index, offset))
		return
	}
	replica.slots = append(replica.slots, slotOf(record, replica.Last()+1, offset))
}

// Restore adds a record that is read from disk. One that is there already was written
// before a sync failed, and again after: the later one and what follows it counts.
func (replica *Replica) Restore(record *messages.Record, offset int64) error {
	sparse := record.Index <= replica.base.Index
	if !sparse && (record.Index > replica.Last()+1 || !replica.Whole()) {
		return RecordGap.New("record that does not follow")
	}
	if record.Index <= replica.Last() {
		replica.Cut(record.Index - 1)
	}
	replica.Put(record, offset)
	return nil
}

// Reset begins a copy that is compacted up to a base: what was here is dropped.
func (replica *Replica) Reset(base Base) {
	replica.base, replica.sparse, replica.slots = base, nil, nil
}
