package replication

import "lemonarch/internal/platform/messages"

// AppendPlan is what an order to append asks of the disk.
type AppendPlan struct {
	RaiseFence bool
	Truncate   bool
	TruncateTo int64
	// Reset, where it is set, is the base of a copy that replaces what is here.
	Reset   *Base
	Records []messages.Record
}

// Append decides on an order. Nothing is changed yet: the caller writes and syncs
// the plan, then calls Commit with the offsets.
func (r *Replica) Append(req *messages.AppendRequest) (plan AppendPlan, resp messages.AppendResponse) {
	resp = messages.AppendResponse{Epoch: r.fencedEpoch, Last: r.Last()}
	if req.Disk != r.Disk || req.Epoch < r.fencedEpoch {
		return plan, resp
	}
	joins := false
	if req.Base > 0 {
		joins = r.planCompacted(req, &plan)
	} else {
		joins = r.planFollowing(req, &plan)
	}
	if !joins {
		// The records do not join on to ours: the leader has to go further back.
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

// planFollowing plans consecutive records; false where they do not join on.
func (r *Replica) planFollowing(req *messages.AppendRequest, plan *AppendPlan) bool {
	if !r.Complete() || req.PreviousIndex > r.Last() || !consecutive(req.Records, req.PreviousIndex) {
		return false
	}
	// What is compacted here is durable, and whoever may send under this epoch has it.
	if req.PreviousIndex >= r.base.Index && r.EpochAt(req.PreviousIndex) != req.PreviousEpoch {
		return false
	}
	records := recordsAfter(req.Records, r.base.Index)
	// What is here already, under the same epochs, is kept as it is.
	for len(records) > 0 && records[0].Index <= r.Last() && r.EpochAt(records[0].Index) == records[0].Epoch {
		records = records[1:]
	}
	if len(records) > 0 && records[0].Index <= r.Last() {
		plan.Truncate, plan.TruncateTo = true, records[0].Index-1
	}
	plan.Records = records
	return true
}

// planCompacted plans a part of a compacted copy. Parts of two copies with different
// bases never mix: one may lack a job that the other still speaks of.
func (r *Replica) planCompacted(req *messages.AppendRequest, plan *AppendPlan) bool {
	base := Base{req.Base, req.BaseEpoch}
	switch {
	case r.Has(base):
		further := *req
		further.PreviousIndex, further.PreviousEpoch = base.Index, base.Epoch
		further.Records = recordsAfter(req.Records, base.Index)
		return r.planFollowing(&further, plan)
	case r.base == base && req.PreviousIndex <= r.Last():
		plan.Records = recordsAfter(req.Records, r.Last())
		return true
	case req.PreviousIndex == 0:
		plan.Reset, plan.Records = &base, req.Records
		return true
	}
	return false
}

// Has tells whether all up to a durable record is here.
func (r *Replica) Has(base Base) bool {
	if !r.Complete() || r.Last() < base.Index {
		return false
	}
	return base.Index <= r.base.Index || r.EpochAt(base.Index) == base.Epoch
}

// recordsAfter gives the records after an index.
func recordsAfter(records []messages.Record, index int64) []messages.Record {
	for len(records) > 0 && records[0].Index <= index {
		records = records[1:]
	}
	return records
}

func consecutive(records []messages.Record, previous int64) bool {
	for i := range records {
		if records[i].Index != previous+1+int64(i) {
			return false
		}
	}
	return true
}

// Commit applies a plan that is synced.
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
