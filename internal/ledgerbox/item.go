package ledgerbox

import "lemonarch/internal/pattern"

// ItemState is where an item stands.
type ItemState int

// The states of an item.
const (
	// ItemWaiting: to be run.
	ItemWaiting ItemState = iota
	// ItemRunning: at a worker now.
	ItemRunning
	// ItemFinished: its output is being made durable.
	ItemFinished
	// ItemListed: at a position for good.
	ItemListed
)

// Item is one item of a lot. Its steps are guarded: a run that was displaced,
// called off or overtaken can neither add events nor finish it.
type Item struct {
	pattern.LotItem
	State ItemState
	// Pieces are the events gathered so far; LastID is the last one's id.
	Pieces [][]byte
	LastID int64
	Fails  int
	// Displaced counts how often it made room; Runs how often it was begun.
	Displaced int
	Runs      int
	// Owed says that it made room and was not begun again yet.
	Owed     bool
	Lot      *Lot
	yielding bool
}

// Begin starts a run and names it; zero when there is nothing to run.
func (item *Item) Begin() int {
	if item.State != ItemWaiting || item.Lot.Ended {
		return 0
	}
	item.State, item.yielding = ItemRunning, false
	item.Runs++
	return item.Runs
}

// running tells whether a run is the one that goes on now.
func (item *Item) running(run int) bool {
	return item.State == ItemRunning && item.Runs == run && !item.Lot.Ended
}

// Gather adds events of a run, up to an id. What follows a yield is not taken:
// the next run goes on after the last event that was.
func (item *Item) Gather(run int, pieces [][]byte, last int64) bool {
	if !item.running(run) || item.yielding {
		return false
	}
	item.Pieces = append(item.Pieces, pieces...)
	item.LastID = max(item.LastID, last)
	return true
}

// Yield asks a run to make room; false when it is over already.
func (item *Item) Yield(run int) bool {
	if !item.running(run) || item.yielding {
		return false
	}
	item.yielding = true
	item.Displaced++
	return true
}

// Yielding tells whether the run that goes on now was asked to make room.
func (item *Item) Yielding() bool { return item.yielding }

// SetBack ends a run without a result: the item keeps its place by age and all
// events that carry an id; what can't be gone on from is dropped.
func (item *Item) SetBack(run int) bool {
	if item.State != ItemRunning || item.Runs != run {
		return false
	}
	item.Owed = item.Owed || item.yielding
	item.State, item.yielding = ItemWaiting, false
	if item.LastID == 0 {
		item.Pieces = nil
	}
	return true
}

// Finish ends a run with the item's one result.
func (item *Item) Finish(run int) bool {
	if !item.running(run) || item.yielding {
		return false
	}
	item.State = ItemFinished
	return true
}

// GiveUp ends an item that waits, or the run that found it hopeless, with the
// result that it is abandoned.
func (item *Item) GiveUp(run int) bool {
	if item.Lot.Ended || !(item.State == ItemWaiting || item.running(run)) {
		return false
	}
	item.State = ItemFinished
	return true
}

// Waits tells whether no worker has finished the item.
func (item *Item) Waits() bool { return item.State == ItemWaiting || item.State == ItemRunning }
