// Package replication is the replicated log of records, without I/O: the replica of one
// store, how the leader counts copies, and what a new leader goes on from.
package replication

import (
	"sort"

	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// ErrRecordGap is the error of a record that does not follow those before it.
var ErrRecordGap = errs.Define("gap in the records")

// IndexEntry is what a store remembers of a record; its body stays on disk.
type IndexEntry struct {
	Index  int64
	Epoch  uint64
	Offset int64
	Job    string
	// Size is about how many bytes the record takes on disk.
	Size int32
	Kind messages.RecordKind
}

// recordOverhead is about what a record takes on disk beside its body, in bytes.
const recordOverheadBytes = 128

func indexEntryOf(record *messages.Record, index, offset int64) IndexEntry {
	return IndexEntry{Index: index, Epoch: record.Epoch, Offset: offset, Job: record.Job,
		Size: int32(len(record.Body) + recordOverheadBytes), Kind: record.Kind}
}

// Base is the point up to which a replica is compacted: of the records up to Index only
// those are kept that are not obsolete. Epoch is that of the record at Index. All
// of them are durable, so whoever has the record at Index has the same before it.
type Base struct {
	Index int64
	Epoch uint64
}

// Replica is one store's copy of the records, in the order the leaders gave them.
// Its caller syncs what a step returns before it answers.
type Replica struct {
	Disk        string
	fencedEpoch uint64
	base        Base
	// sparse are the entries kept of those up to the base, entries all that follow it.
	sparse, entries []IndexEntry
}

// NewReplica makes an empty one.
func NewReplica(disk string) *Replica { return &Replica{Disk: disk} }

// FencedEpoch is the epoch below which orders are refused.
func (r *Replica) FencedEpoch() uint64 { return r.fencedEpoch }

// SetFencedEpoch is for reading the disk.
func (r *Replica) SetFencedEpoch(epoch uint64) { r.fencedEpoch = max(r.fencedEpoch, epoch) }

// Base is the point up to which the replica is compacted; zero where it never was.
func (r *Replica) Base() Base { return r.base }

// lastSparse is the index of the last sparse record.
func (r *Replica) lastSparse() int64 {
	if len(r.sparse) == 0 {
		return 0
	}
	return r.sparse[len(r.sparse)-1].Index
}

// Complete tells whether all up to the base is here: the record at the base, which is
// always kept, comes last.
func (r *Replica) Complete() bool { return r.lastSparse() == r.base.Index }

// Last is the index of the last record; indexes begin at 1.
func (r *Replica) Last() int64 { return r.lastSparse() + int64(len(r.entries)) }

// EntryAt gives the entry at an index; there is none where the record was compacted away.
func (r *Replica) EntryAt(index int64) (IndexEntry, bool) {
	if offset := index - r.base.Index - 1; offset >= 0 {
		if offset >= int64(len(r.entries)) {
			return IndexEntry{}, false
		}
		return r.entries[offset], true
	}
	i := r.firstSparseFrom(index)
	if i == len(r.sparse) || r.sparse[i].Index != index {
		return IndexEntry{}, false
	}
	return r.sparse[i], true
}

// sparseAt is the position of the first sparse record at an index or behind it.
func (r *Replica) firstSparseFrom(index int64) int {
	return sort.Search(len(r.sparse), func(i int) bool { return r.sparse[i].Index >= index })
}

// EpochAt gives the epoch of a record; index 0 stands before all. Up to the base all
// records count as the base's: which leader wrote them is of no use any more.
func (r *Replica) EpochAt(index int64) uint64 {
	switch {
	case index < 1 || index > r.Last():
		return 0
	case index <= r.base.Index:
		return r.base.Epoch
	}
	return r.entries[index-r.base.Index-1].Epoch
}

// Each visits the records that are kept from an index on until visit says stop.
func (r *Replica) Each(first int64, visit func(slot IndexEntry) bool) {
	for _, slot := range r.sparse[r.firstSparseFrom(first):] {
		if !visit(slot) {
			return
		}
	}
	for i := max(first-r.base.Index-1, 0); i < int64(len(r.entries)); i++ {
		if !visit(r.entries[i]) {
			return
		}
	}
}

// Extent tells which records are here and which epochs wrote them.
func (r *Replica) Extent() LogExtent {
	extent := LogExtent{Last: r.Last(), Base: r.base.Index}
	note := func(epoch uint64, first int64) {
		if count := len(extent.EpochRanges); count == 0 || extent.EpochRanges[count-1].Epoch != epoch {
			extent.EpochRanges = append(extent.EpochRanges, messages.EpochRange{Epoch: epoch, First: first})
		}
	}
	if r.base.Index > 0 {
		note(r.base.Epoch, 1)
	}
	for _, slot := range r.entries {
		note(slot.Epoch, slot.Index)
	}
	return extent
}

// Fence answers a new leader; keep says that the fence must be synced before that, and
// then set. It is not set here: where the sync fails, a second try has to sync it too.
func (r *Replica) Fence(req *messages.FenceRequest) (resp messages.FenceResponse, persist bool) {
	resp = messages.FenceResponse{Epoch: r.fencedEpoch}
	// A disk that came back empty is not the store that was asked for.
	if req.Disk != r.Disk || req.Epoch < r.fencedEpoch {
		return resp, false
	}
	persist = req.Epoch > r.fencedEpoch
	extent := r.Extent()
	return messages.FenceResponse{Granted: true, Epoch: req.Epoch, Last: extent.Last, EpochRanges: extent.EpochRanges, Base: extent.Base}, persist
}

// Truncate drops everything after an index.
func (r *Replica) Truncate(index int64) {
	if index >= r.base.Index {
		r.entries = r.entries[:min(index-r.base.Index, int64(len(r.entries)))]
		return
	}
	r.entries = nil
	r.sparse = r.sparse[:r.firstSparseFrom(index+1)]
}

// Add adds the record that follows.
func (r *Replica) Add(record *messages.Record, offset int64) {
	if r.base.Index > 0 && record.Index <= r.base.Index {
		r.sparse = append(r.sparse, indexEntryOf(record, record.Index, offset))
		return
	}
	r.entries = append(r.entries, indexEntryOf(record, r.Last()+1, offset))
}

// Restore adds a record that is read from disk. One that is there already was written
// before a sync failed, and again after: the later one and what follows it counts.
func (r *Replica) Restore(record *messages.Record, offset int64) error {
	sparse := record.Index <= r.base.Index
	if !sparse && (record.Index > r.Last()+1 || !r.Complete()) {
		return ErrRecordGap.New("record that does not follow")
	}
	if record.Index <= r.Last() {
		r.Truncate(record.Index - 1)
	}
	r.Add(record, offset)
	return nil
}

// Reset begins a copy that is compacted up to a base: what was here is dropped.
func (r *Replica) Reset(base Base) {
	r.base, r.sparse, r.entries = base, nil, nil
}
