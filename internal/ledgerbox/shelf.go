// Package ledgerbox keeps lots: the shelf of one store, the press by which the
// holder has records copied, and the book of lots. Step functions without I/O.
package ledgerbox

import (
	"lemonarch/internal/pattern"
)

// Slot is what a store remembers of a record; its body stays on disk.
type Slot struct {
	Epoch  uint64
	Offset int64
	Kind   pattern.RecordKind
	Lot    string
}

// Shelf is one store's copy of the records, in the order the holders gave them.
// Its caller syncs what a step returns before it answers.
type Shelf struct {
	Disk  string
	fence uint64
	slots []Slot
}

// NewShelf makes an empty one.
func NewShelf(disk string) *Shelf { return &Shelf{Disk: disk} }

// Fence is the epoch below which orders are refused.
func (shelf *Shelf) Fence() uint64 { return shelf.fence }

// Last is the index of the last record; indexes begin at 1.
func (shelf *Shelf) Last() int64 { return int64(len(shelf.slots)) }

// Slot gives the slot at an index.
func (shelf *Shelf) Slot(index int64) (Slot, bool) {
	if index < 1 || index > shelf.Last() {
		return Slot{}, false
	}
	return shelf.slots[index-1], true
}

// EpochAt gives the epoch of a record; index 0 stands before all.
func (shelf *Shelf) EpochAt(index int64) uint64 {
	slot, _ := shelf.Slot(index)
	return slot.Epoch
}

// Stretches tells which epochs wrote what, in order.
func (shelf *Shelf) Stretches() []pattern.Stretch {
	var stretches []pattern.Stretch
	for index, slot := range shelf.slots {
		if count := len(stretches); count == 0 || stretches[count-1].Epoch != slot.Epoch {
			stretches = append(stretches, pattern.Stretch{Epoch: slot.Epoch, First: int64(index + 1)})
		}
	}
	return stretches
}

// Raise answers a new holder; keep says that the fence must be synced.
func (shelf *Shelf) Raise(question *pattern.Raise) (answer pattern.Raised, keep bool) {
	answer = pattern.Raised{Epoch: shelf.fence}
	// A disk that came back empty is not the store that was asked for.
	if question.Disk != shelf.Disk || question.Epoch < shelf.fence {
		return answer, false
	}
	keep = question.Epoch > shelf.fence
	shelf.fence = question.Epoch
	answer.Granted, answer.Epoch = true, shelf.fence
	answer.Last, answer.Stretches = shelf.Last(), shelf.Stretches()
	return answer, keep
}

// Plan is what an order to append asks of the disk.
type Plan struct {
	Raise   bool
	Cut     bool
	CutTo   int64
	Records []pattern.Record
}

// Append decides on an order. Nothing is changed yet: the caller writes and syncs
// the plan, then calls Commit with the offsets.
func (shelf *Shelf) Append(question *pattern.Append) (plan Plan, answer pattern.Appended) {
	answer = pattern.Appended{Epoch: shelf.fence, Last: shelf.Last()}
	if question.Disk != shelf.Disk || question.Epoch < shelf.fence {
		return plan, answer
	}
	if question.PreviousIndex > shelf.Last() || shelf.EpochAt(question.PreviousIndex) != question.PreviousEpoch {
		// The records do not join on to ours: the holder has to go further back.
		answer.Stretches = shelf.Stretches()
		return plan, answer
	}
	plan.Raise = question.Epoch > shelf.fence
	records := question.Records
	// What is here already, under the same epochs, is kept as it is.
	for len(records) > 0 && records[0].Index <= shelf.Last() && shelf.EpochAt(records[0].Index) == records[0].Epoch {
		records = records[1:]
	}
	if len(records) > 0 && records[0].Index <= shelf.Last() {
		plan.Cut, plan.CutTo = true, records[0].Index-1
	}
	plan.Records = records
	answer.Granted, answer.Epoch = true, question.Epoch
	answer.Last = question.PreviousIndex + int64(len(question.Records))
	return plan, answer
}

// Commit applies a plan that is synced.
func (shelf *Shelf) Commit(plan Plan, epoch uint64, offsets []int64) {
	if plan.Raise {
		shelf.fence = epoch
	}
	if plan.Cut {
		shelf.Cut(plan.CutTo)
	}
	for place := range plan.Records {
		shelf.Put(&plan.Records[place], offsets[place])
	}
}

// Cut drops everything after an index.
func (shelf *Shelf) Cut(index int64) {
	if index < shelf.Last() {
		shelf.slots = shelf.slots[:index]
	}
}

// Put adds the record that follows.
func (shelf *Shelf) Put(record *pattern.Record, offset int64) {
	shelf.slots = append(shelf.slots, Slot{Epoch: record.Epoch, Offset: offset, Kind: record.Kind, Lot: record.Lot})
}

// SetFence is for reading the disk.
func (shelf *Shelf) SetFence(epoch uint64) { shelf.fence = max(shelf.fence, epoch) }

// Move notes that a record stands elsewhere after a rewrite; gone ones become
// empty places that keep their epoch.
func (shelf *Shelf) Move(index, offset int64, gone bool) {
	shelf.slots[index-1].Offset = offset
	if gone {
		shelf.slots[index-1].Kind, shelf.slots[index-1].Lot = pattern.RecordNothing, ""
	}
}

// Forgotten tells which lots were forgotten, up to an index.
func (shelf *Shelf) Forgotten(upTo int64) map[string]bool {
	lots := map[string]bool{}
	for _, slot := range shelf.slots[:min(upTo, shelf.Last())] {
		if slot.Kind == pattern.RecordForget {
			lots[slot.Lot] = true
		}
	}
	return lots
}
