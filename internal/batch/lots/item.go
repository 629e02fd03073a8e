package lots

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// ItemState is where an item stands in its share group.
type ItemState int

// The states of an item.
const (
	// ItemAvailable: to be run.
	ItemAvailable ItemState = iota
	// ItemAcquired: with one driver, under a lock.
	ItemAcquired
	// ItemClosing: its terminal record is being made durable.
	ItemClosing
	// ItemSettled: its output stands at a position for good.
	ItemSettled
	// ItemArchived: it is listed as abandoned for good.
	ItemArchived
)

// Item is one item of a lot, as the dispatcher keeps it and as a driver that
// acquired it does. Its steps are guarded: a run that was displaced, called off or
// overtaken can neither add events nor finish it.
type Item struct {
	messages.LotItem
	State ItemState
	// Pieces are the events gathered so far; LastID is the last one's id.
	Pieces [][]byte
	LastID int64
	// FailedBy names the acquisitions that ended with a 500, each counted once.
	FailedBy []uint64
	// Displaced counts how often it made room; Runs how often it was delivered.
	Displaced int
	Runs      int
	// Lapses, Releases and Renewals count what befell its acquisitions.
	Lapses, Releases, Renewals int
	// Owed says that it made room and was not begun again yet.
	Owed     bool
	Lot      *Lot
	yielding bool
	// closer is the acquisition whose record ends the item, closing its index.
	closer  uint64
	closing int64
	held    *Acquisition
	// place is the item's place in its lot.
	place int
	// pause is when it may be acquired again; seen is when it was first found free.
	pause, seen clock.Moment
}

// Begin starts a run and names it; zero when there is nothing to run.
func (item *Item) Begin() int {
	if item.State != ItemAvailable || item.Lot.Ended {
		return 0
	}
	item.become(ItemAcquired)
	item.yielding = false
	item.Runs++
	return item.Runs
}

// running tells whether a run is the one that goes on now.
func (item *Item) running(run int) bool {
	return item.State == ItemAcquired && item.Runs == run && !item.Lot.Ended
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
	if item.State != ItemAcquired || item.Runs != run {
		return false
	}
	item.Owed = item.Owed || item.yielding
	item.become(ItemAvailable)
	item.yielding = false
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
	item.become(ItemClosing)
	return true
}

// GiveUp ends an item that waits, or the run that found it hopeless, with the
// result that it is abandoned.
func (item *Item) GiveUp(run int) bool {
	if item.Lot.Ended || !(item.State == ItemAvailable || item.running(run)) {
		return false
	}
	item.become(ItemClosing)
	return true
}

// Waits tells whether no worker has finished the item.
func (item *Item) Waits() bool { return item.State == ItemAvailable || item.State == ItemAcquired }

// Terminal tells whether the item's one result stands durably.
func (item *Item) Terminal() bool { return item.State == ItemSettled || item.State == ItemArchived }

// fail counts a 500 of an acquisition; false when it was counted before.
func (item *Item) fail(number uint64) bool {
	for _, one := range item.FailedBy {
		if one == number {
			return false
		}
	}
	item.FailedBy = append(item.FailedBy, number)
	return true
}
