// Package replication implements the replicated log of records, without I/O: the replica of one
// store, the leader's tracking of copies, and the choice of the copy from which a new leader continues.
package replication

import (
	"sort"

	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// ErrRecordGap is the error of a record whose index does not follow the last one.
var ErrRecordGap = errs.Define("gap in the record indexes")

// IndexEntry is the part of a record that a store keeps in memory; the body stays on disk.
type IndexEntry struct {
	Index int64
	Epoch uint64
	// Offset is that of the record in the file, or negative for an empty record that is not written yet.
	Offset int64
	Job    string
	// Size is the approximate size of the record on disk, in bytes.
	Size int32
	Kind messages.RecordKind
}

// recordOverheadBytes is the approximate size of a record on disk without its body.
const recordOverheadBytes = 128

func indexEntryOf(record *messages.Record, index, offset int64) IndexEntry {
	return IndexEntry{Index: index, Epoch: record.Epoch, Offset: offset, Job: record.Job,
		Size: int32(len(record.Body) + recordOverheadBytes), Kind: record.Kind}
}

// Base is the point up to which a replica is compacted: of the records up to Index only
// those are kept that are not obsolete. Epoch is that of the record at Index. All records up to
// Index are durable, so replicas that have the same record at Index agree on all records before it.
type Base struct {
	Index int64
	Epoch uint64
}

// Replica is one store's copy of the records, in the order in which the leaders appended them.
// The caller syncs what a method returns to be written before it responds to the request. Replica is
// not safe for concurrent use.
type Replica struct {
	// Disk is the identity of the disk.
	Disk        string
	fencedEpoch uint64
	base        Base
	// sparse are the entries kept up to the base, in order; entries are all entries after the base.
	sparse, entries []IndexEntry
}

// NewReplica returns an empty replica on the disk with the given identity.
func NewReplica(disk string) *Replica { return &Replica{Disk: disk} }

// FencedEpoch returns the epoch below which requests are rejected.
func (r *Replica) FencedEpoch() uint64 { return r.fencedEpoch }

// SetFencedEpoch raises the fenced epoch to one that is synced to disk. A lower epoch is ignored.
func (r *Replica) SetFencedEpoch(epoch uint64) { r.fencedEpoch = max(r.fencedEpoch, epoch) }

// Base returns the point up to which the replica is compacted; zero if it never was.
func (r *Replica) Base() Base { return r.base }

// lastSparse returns the index of the last sparse record, or zero if there is none.
func (r *Replica) lastSparse() int64 {
	if len(r.sparse) == 0 {
		return 0
	}
	return r.sparse[len(r.sparse)-1].Index
}

// Complete reports whether the replica has all records up to the base, as far as they were not
// compacted away. The record at the base is always kept and is the last one to arrive.
func (r *Replica) Complete() bool { return r.lastSparse() == r.base.Index }

// Last returns the index of the last record, or zero if there is none. Indexes begin at 1.
func (r *Replica) Last() int64 { return r.lastSparse() + int64(len(r.entries)) }

// EntryAt returns the entry at an index. It returns false if there is no such record or if the record
// was compacted away.
func (r *Replica) EntryAt(index int64) (IndexEntry, bool) {
	if position := index - r.base.Index - 1; position >= 0 {
		if position >= int64(len(r.entries)) {
			return IndexEntry{}, false
		}
		return r.entries[position], true
	}
	i := r.firstSparseFrom(index)
	if i == len(r.sparse) || r.sparse[i].Index != index {
		return IndexEntry{}, false
	}
	return r.sparse[i], true
}

// firstSparseFrom returns the position in sparse of the first record with the given index or a higher one.
func (r *Replica) firstSparseFrom(index int64) int {
	return sort.Search(len(r.sparse), func(i int) bool { return r.sparse[i].Index >= index })
}

// EpochAt returns the epoch of the record at an index, or zero if there is none. Index 0 precedes all records.
// All records up to the base count as of the base's epoch: which leader wrote them is no longer needed.
func (r *Replica) EpochAt(index int64) uint64 {
	switch {
	case index < 1 || index > r.Last():
		return 0
	case index <= r.base.Index:
		return r.base.Epoch
	}
	return r.entries[index-r.base.Index-1].Epoch
}

// Each visits the kept records from an index on, in order, until visit returns false.
func (r *Replica) Each(first int64, visit func(entry IndexEntry) bool) {
	for _, entry := range r.sparse[r.firstSparseFrom(first):] {
		if !visit(entry) {
			return
		}
	}
	for i := max(first-r.base.Index-1, 0); i < int64(len(r.entries)); i++ {
		if !visit(r.entries[i]) {
			return
		}
	}
}

// Extent returns which records the replica has and which epochs wrote them.
func (r *Replica) Extent() LogExtent {
	extent := LogExtent{Last: r.Last(), Base: r.base.Index}
	addRange := func(epoch uint64, first int64) {
		if count := len(extent.EpochRanges); count == 0 || extent.EpochRanges[count-1].Epoch != epoch {
			extent.EpochRanges = append(extent.EpochRanges, messages.EpochRange{Epoch: epoch, First: first})
		}
	}
	if r.base.Index > 0 {
		addRange(r.base.Epoch, 1)
	}
	for _, entry := range r.entries {
		addRange(entry.Epoch, entry.Index)
	}
	return extent
}

// Fence returns the response to a new leader's fence request. persist reports whether the caller must
// sync the epoch and call SetFencedEpoch before it responds. Fence does not set the epoch: if the sync
// fails, a retry has to sync it again.
func (r *Replica) Fence(req *messages.FenceRequest) (resp messages.FenceResponse, persist bool) {
	resp = messages.FenceResponse{Epoch: r.fencedEpoch}
	// A store that restarted with an empty disk has another identity and is not the requested member.
	if req.Disk != r.Disk || req.Epoch < r.fencedEpoch {
		return resp, false
	}
	persist = req.Epoch > r.fencedEpoch
	extent := r.Extent()
	return messages.FenceResponse{Granted: true, Epoch: req.Epoch, Last: extent.Last, EpochRanges: extent.EpochRanges, Base: extent.Base}, persist
}

// Truncate drops all records after an index.
func (r *Replica) Truncate(index int64) {
	if index >= r.base.Index {
		r.entries = r.entries[:min(index-r.base.Index, int64(len(r.entries)))]
		return
	}
	r.entries = nil
	r.sparse = r.sparse[:r.firstSparseFrom(index+1)]
}

// Add adds the next record, whose body is at an offset of the file.
func (r *Replica) Add(record *messages.Record, offset int64) {
	if r.base.Index > 0 && record.Index <= r.base.Index {
		r.sparse = append(r.sparse, indexEntryOf(record, record.Index, offset))
		return
	}
	r.entries = append(r.entries, indexEntryOf(record, r.Last()+1, offset))
}

// Restore adds a record read from disk. If a record with its index was read before, that one was
// written before a failed sync and written again afterwards, so the later record replaces it and all
// records after it.
func (r *Replica) Restore(record *messages.Record, offset int64) error {
	sparse := record.Index <= r.base.Index
	if !sparse && (record.Index > r.Last()+1 || !r.Complete()) {
		return ErrRecordGap.New("record index does not follow the last one")
	}
	if record.Index <= r.Last() {
		r.Truncate(record.Index - 1)
	}
	r.Add(record, offset)
	return nil
}

// Reset drops all records and starts a copy that is compacted up to a base.
func (r *Replica) Reset(base Base) {
	r.base, r.sparse, r.entries = base, nil, nil
}
