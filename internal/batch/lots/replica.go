// Package lots keeps lots: the replica of one store, the press by which the
// holder has records copied, and the book of lots. Step functions without I/O.
package lots

import (
	"lemonarch/internal/platform/messages"
)

// Slot is what a store remembers of a record; its body stays on disk.
type Slot struct {
	Epoch  uint64
	Offset int64
	Kind   messages.RecordKind
	Lot    string
}

// Replica is one store's copy of the records, in the order the holders gave them.
// Its caller syncs what a step returns before it answers.
type Replica struct {
	Disk  string
	fence uint64
	slots []Slot
}

// NewReplica makes an empty one.
func NewReplica(disk string) *Replica { return &Replica{Disk: disk} }

// Fence is the epoch below which orders are refused.
func (replica *Replica) Fence() uint64 { return replica.fence }

// Last is the index of the last record; indexes begin at 1.
func (replica *Replica) Last() int64 { return int64(len(replica.slots)) }

// Slot gives the slot at an index.
func (replica *Replica) Slot(index int64) (Slot, bool) {
	if index < 1 || index > replica.Last() {
		return Slot{}, false
	}
	return replica.slots[index-1], true
}

// EpochAt gives the epoch of a record; index 0 stands before all.
func (replica *Replica) EpochAt(index int64) uint64 {
	slot, _ := replica.Slot(index)
	return slot.Epoch
}

// Stretches tells which epochs wrote what, in order.
func (replica *Replica) Stretches() []messages.Stretch {
	var stretches []messages.Stretch
	for index, slot := range replica.slots {
		if count := len(stretches); count == 0 || stretches[count-1].Epoch != slot.Epoch {
			stretches = append(stretches, messages.Stretch{Epoch: slot.Epoch, First: int64(index + 1)})
		}
	}
	return stretches
}

// Raise answers a new holder; keep says that the fence must be synced.
func (replica *Replica) Raise(question *messages.Raise) (answer messages.Raised, keep bool) {
	answer = messages.Raised{Epoch: replica.fence}
	// A disk that came back empty is not the store that was asked for.
	if question.Disk != replica.Disk || question.Epoch < replica.fence {
		return answer, false
	}
	keep = question.Epoch > replica.fence
	replica.fence = question.Epoch
	answer.Granted, answer.Epoch = true, replica.fence
	answer.Last, answer.Stretches = replica.Last(), replica.Stretches()
	return answer, keep
}

// Plan is what an order to append asks of the disk.
type Plan struct {
	Raise   bool
	Cut     bool
	CutTo   int64
	Records []messages.Record
}

// Append decides on an order. Nothing is changed yet: the caller writes and syncs
// the plan, then calls Commit with the offsets.
func (replica *Replica) Append(question *messages.Append) (plan Plan, answer messages.Appended) {
	answer = messages.Appended{Epoch: replica.fence, Last: replica.Last()}
	if question.Disk != replica.Disk || question.Epoch < replica.fence {
		return plan, answer
	}
	if question.PreviousIndex > replica.Last() || replica.EpochAt(question.PreviousIndex) != question.PreviousEpoch {
		// The records do not join on to ours: the holder has to go further back.
		answer.Stretches = replica.Stretches()
		return plan, answer
	}
	plan.Raise = question.Epoch > replica.fence
	records := question.Records
	// What is here already, under the same epochs, is kept as it is.
	for len(records) > 0 && records[0].Index <= replica.Last() && replica.EpochAt(records[0].Index) == records[0].Epoch {
		records = records[1:]
	}
	if len(records) > 0 && records[0].Index <= replica.Last() {
		plan.Cut, plan.CutTo = true, records[0].Index-1
	}
	plan.Records = records
	answer.Granted, answer.Epoch = true, question.Epoch
	answer.Last = question.PreviousIndex + int64(len(question.Records))
	return plan, answer
}

// Commit applies a plan that is synced.
func (replica *Replica) Commit(plan Plan, epoch uint64, offsets []int64) {
	if plan.Raise {
		replica.fence = epoch
	}
	if plan.Cut {
		replica.Cut(plan.CutTo)
	}
	for place := range plan.Records {
		replica.Put(&plan.Records[place], offsets[place])
	}
}

// Cut drops everything after an index.
func (replica *Replica) Cut(index int64) {
	if index < replica.Last() {
		replica.slots = replica.slots[:index]
	}
}

// Put adds the record that follows.
func (replica *Replica) Put(record *messages.Record, offset int64) {
	replica.slots = append(replica.slots, Slot{Epoch: record.Epoch, Offset: offset, Kind: record.Kind, Lot: record.Lot})
}

// SetFence is for reading the disk.
func (replica *Replica) SetFence(epoch uint64) { replica.fence = max(replica.fence, epoch) }

// Move notes that a record stands elsewhere after a rewrite; gone ones become
// empty places that keep their epoch.
func (replica *Replica) Move(index, offset int64, gone bool) {
	replica.slots[index-1].Offset = offset
	if gone {
		replica.slots[index-1].Kind, replica.slots[index-1].Lot = messages.RecordNothing, ""
	}
}

// Forgotten tells which lots were forgotten, up to an index.
func (replica *Replica) Forgotten(upTo int64) map[string]bool {
	lotList := map[string]bool{}
	for _, slot := range replica.slots[:min(upTo, replica.Last())] {
		if slot.Kind == messages.RecordForget {
			lotList[slot.Lot] = true
		}
	}
	return lotList
}
