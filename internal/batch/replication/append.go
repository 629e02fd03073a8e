package replication

import "lemonarch/internal/platform/messages"

// AppendPlan describes the writes that an append request requires.
type AppendPlan struct {
	// RaiseFence reports whether the fenced epoch rises to the epoch of the request.
	RaiseFence bool
	// Truncate reports whether all records after TruncateTo are dropped first.
	Truncate   bool
	TruncateTo int64
	// Reset, if not nil, is the base of a compacted copy that replaces the whole replica.
	Reset *Base
	// Records are the records to add.
	Records []messages.Record
}

// Append plans an append request without changing the replica: the caller writes and syncs
// the plan, then calls Commit with the offsets of the records. If the request is rejected, the
// plan is empty and the response is not granted.
func (r *Replica) Append(req *messages.AppendRequest) (plan AppendPlan, resp messages.AppendResponse) {
	resp = messages.AppendResponse{Epoch: r.fencedEpoch, Last: r.Last()}
	if req.Disk != r.Disk || req.Epoch < r.fencedEpoch {
		return plan, resp
	}
	matches := false
	if req.Base > 0 {
		matches = r.planCompacted(req, &plan)
	} else {
		matches = r.planFollowing(req, &plan)
	}
	if !matches {
		// The records do not continue this replica: the leader has to send from an earlier index.
		extent := r.Extent()
		resp.EpochRanges, resp.Base = extent.EpochRanges, extent.Base
		return AppendPlan{}, resp
	}
	plan.RaiseFence = req.Epoch > r.fencedEpoch
	resp.Granted, resp.Epoch, resp.Last = true, req.Epoch, req.PreviousIndex
	if count := len(req.Records); count > 0 {
		resp.Last = req.Records[count-1].Index
	}
	return plan, resp
}

// planFollowing plans consecutive records. It returns false if they do not continue this replica.
func (r *Replica) planFollowing(req *messages.AppendRequest, plan *AppendPlan) bool {
	if !r.Complete() || req.PreviousIndex > r.Last() || !consecutive(req.Records, req.PreviousIndex) {
		return false
	}
	// Compacted records are durable, and every leader that may send under this epoch has them,
	// so epochs are compared only from the base on.
	if req.PreviousIndex >= r.base.Index && r.EpochAt(req.PreviousIndex) != req.PreviousEpoch {
		return false
	}
	records := recordsAfter(req.Records, r.base.Index)
	// Records that are already present with the same epoch are kept.
	for len(records) > 0 && records[0].Index <= r.Last() && r.EpochAt(records[0].Index) == records[0].Epoch {
		records = records[1:]
	}
	if len(records) > 0 && records[0].Index <= r.Last() {
		plan.Truncate, plan.TruncateTo = true, records[0].Index-1
	}
	plan.Records = records
	return true
}

// planCompacted plans one part of a compacted copy. Parts of copies with different bases are
// never mixed: one copy may lack a job that records of the other refer to.
func (r *Replica) planCompacted(req *messages.AppendRequest, plan *AppendPlan) bool {
	base := Base{req.Base, req.BaseEpoch}
	switch {
	case r.Has(base):
		afterBase := *req
		afterBase.PreviousIndex, afterBase.PreviousEpoch = base.Index, base.Epoch
		afterBase.Records = recordsAfter(req.Records, base.Index)
		return r.planFollowing(&afterBase, plan)
	case r.base == base && req.PreviousIndex <= r.Last():
		plan.Records = recordsAfter(req.Records, r.Last())
		return true
	case req.PreviousIndex == 0:
		plan.Reset, plan.Records = &base, req.Records
		return true
	}
	return false
}

// Has reports whether the replica contains all records up to a base, which are durable, except for those
// that were compacted away.
func (r *Replica) Has(base Base) bool {
	if !r.Complete() || r.Last() < base.Index {
		return false
	}
	return base.Index <= r.base.Index || r.EpochAt(base.Index) == base.Epoch
}

// recordsAfter returns the records with an index above the given one.
func recordsAfter(records []messages.Record, index int64) []messages.Record {
	for len(records) > 0 && records[0].Index <= index {
		records = records[1:]
	}
	return records
}

// consecutive reports whether the indexes of the records follow the previous index without a gap.
func consecutive(records []messages.Record, previous int64) bool {
	for i := range records {
		if records[i].Index != previous+1+int64(i) {
			return false
		}
	}
	return true
}

// Commit applies a plan that has been written and synced. epoch is that of the request,
// offsets are those of the plan's records in the file.
func (r *Replica) Commit(plan AppendPlan, epoch uint64, offsets []int64) {
	if plan.RaiseFence {
		r.fencedEpoch = epoch
	}
	if plan.Truncate {
		r.Truncate(plan.TruncateTo)
	}
	if plan.Reset != nil {
		r.Reset(*plan.Reset)
	}
	for i := range plan.Records {
		r.Add(&plan.Records[i], offsets[i])
	}
}
