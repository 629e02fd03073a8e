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
	messages.JobItem
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
	pause, seen clock.Instant
}

// Begin starts a run and names it; zero when there is nothing to run.
func (i *Item) Begin() int {
	if i.State != ItemAvailable || i.Lot.Ended {
		return 0
	}
	i.become(ItemAcquired)
	i.yielding = false
	i.Runs++
	return i.Runs
}

// running tells whether a run is the one that goes on now.
func (i *Item) running(run int) bool {
	return i.State == ItemAcquired && i.Runs == run && !i.Lot.Ended
}

// Gather adds events of a run, up to an id. What follows a yield is not taken:
// the next run goes on after the last event that was.
func (i *Item) Gather(run int, pieces [][]byte, last int64) bool {
	if !i.running(run) || i.yielding {
		return false
	}
	i.Pieces = append(i.Pieces, pieces...)
	i.LastID = max(i.LastID, last)
	return true
}

// Yield asks a run to make room; false when it is over already.
func (i *Item) Yield(run int) bool {
	if !i.running(run) || i.yielding {
		return false
	}
	i.yielding = true
	i.Displaced++
	return true
}

// Yielding tells whether the run that goes on now was asked to make room.
func (i *Item) Yielding() bool { return i.yielding }

// SetBack ends a run without a result: the item keeps its place by age and all
// events that carry an id; what can't be gone on from is dropped.
func (i *Item) SetBack(run int) bool {
	if i.State != ItemAcquired || i.Runs != run {
		return false
	}
	i.Owed = i.Owed || i.yielding
	i.become(ItemAvailable)
	i.yielding = false
	if i.LastID == 0 {
		i.Pieces = nil
	}
	return true
}

// Finish ends a run with the item's one result.
func (i *Item) Finish(run int) bool {
	if !i.running(run) || i.yielding {
		return false
	}
	i.become(ItemClosing)
	return true
}

// GiveUp ends an item that waits, or the run that found it hopeless, with the
// result that it is abandoned.
func (i *Item) GiveUp(run int) bool {
	if i.Lot.Ended || !(i.State == ItemAvailable || i.running(run)) {
		return false
	}
	i.become(ItemClosing)
	return true
}

// Waits tells whether no worker has finished the item.
func (i *Item) Waits() bool { return i.State == ItemAvailable || i.State == ItemAcquired }

// Terminal tells whether the item's one result stands durably.
func (i *Item) Terminal() bool { return i.State == ItemSettled || i.State == ItemArchived }

// fail counts a 500 of an acquisition; false when it was counted before.
func (i *Item) fail(number uint64) bool {
	for _, found := range i.FailedBy {
		if found == number {
			return false
		}
	}
	i.FailedBy = append(i.FailedBy, number)
	return true
}
