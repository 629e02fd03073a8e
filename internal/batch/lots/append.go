package lots

import "lemonarch/internal/platform/messages"

// Plan is what an order to append asks of the disk.
type Plan struct {
	Raise bool
	Cut   bool
	CutTo int64
	// Reset, where it is set, is the base of a copy that replaces what is here.
	Reset   *Base
	Records []messages.Record
}

// Append decides on an order. Nothing is changed yet: the caller writes and syncs
// the plan, then calls Commit with the offsets.
func (r *Replica) Append(question *messages.Append) (plan Plan, answer messages.Appended) {
	answer = messages.Appended{Epoch: r.fence, Last: r.Last()}
	if question.Disk != r.Disk || question.Epoch < r.fence {
		return plan, answer
	}
	joins := false
	if question.Base > 0 {
		joins = r.planCompacted(question, &plan)
	} else {
		joins = r.planFollowing(question, &plan)
	}
	if !joins {
		// The records do not join on to ours: the holder has to go further back.
		extent := r.Extent()
		answer.Stretches, answer.Base = extent.Stretches, extent.Base
		return Plan{}, answer
	}
	plan.Raise = question.Epoch > r.fence
	answer.Granted, answer.Epoch, answer.Last = true, question.Epoch, question.PreviousIndex
	if count := len(question.Records); count > 0 {
		answer.Last = question.Records[count-1].Index
	}
	return plan, answer
}

// planFollowing plans consecutive records; false where they do not join on.
func (r *Replica) planFollowing(question *messages.Append, plan *Plan) bool {
	if !r.Whole() || question.PreviousIndex > r.Last() || !consecutive(question.Records, question.PreviousIndex) {
		return false
	}
	// What is compacted here is durable, and whoever may send under this epoch has it.
	if question.PreviousIndex >= r.base.Index && r.EpochAt(question.PreviousIndex) != question.PreviousEpoch {
		return false
	}
	records := behind(question.Records, r.base.Index)
	// What is here already, under the same epochs, is kept as it is.
	for len(records) > 0 && records[0].Index <= r.Last() && r.EpochAt(records[0].Index) == records[0].Epoch {
		records = records[1:]
	}
	if len(records) > 0 && records[0].Index <= r.Last() {
		plan.Cut, plan.CutTo = true, records[0].Index-1
	}
	plan.Records = records
	return true
}

// planCompacted plans a part of a compacted copy. Parts of two copies with different
// bases never mix: one may lack a lot that the other still speaks of.
func (r *Replica) planCompacted(question *messages.Append, plan *Plan) bool {
	base := Base{question.Base, question.BaseEpoch}
	switch {
	case r.Has(base):
		further := *question
		further.PreviousIndex, further.PreviousEpoch = base.Index, base.Epoch
		further.Records = behind(question.Records, base.Index)
		return r.planFollowing(&further, plan)
	case r.base == base && question.PreviousIndex <= r.Last():
		plan.Records = behind(question.Records, r.Last())
		return true
	case question.PreviousIndex == 0:
		plan.Reset, plan.Records = &base, question.Records
		return true
	}
	return false
}

// Has tells whether all up to a durable record is here.
func (r *Replica) Has(base Base) bool {
	if !r.Whole() || r.Last() < base.Index {
		return false
	}
	return base.Index <= r.base.Index || r.EpochAt(base.Index) == base.Epoch
}

// behind gives the records after an index.
func behind(records []messages.Record, index int64) []messages.Record {
	for len(records) > 0 && records[0].Index <= index {
		records = records[1:]
	}
	return records
}

func consecutive(records []messages.Record, previous int64) bool {
	for place := range records {
		if records[place].Index != previous+1+int64(place) {
			return false
		}
	}
	return true
}

// Commit applies a plan that is synced.
func (r *Replica) Commit(plan Plan, epoch uint64, offsets []int64) {
	if plan.Raise {
		r.fence = epoch
	}
	if plan.Cut {
		r.Cut(plan.CutTo)
	}
	if plan.Reset != nil {
		r.Reset(*plan.Reset)
	}
	for place := range plan.Records {
		r.Put(&plan.Records[place], offsets[place])
	}
}
