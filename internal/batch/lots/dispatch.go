package lots

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Driver is a process that runs items, in one life.
type Driver struct {
	Name    string
	Life    int64
	Address string
	Zone    string
}

// Acquisition is one item with one driver, for the length of a lock.
type Acquisition struct {
	// Number is unique over all epochs.
	Number uint64
	Driver Driver
	Item   *Item
	run    int
	begun  clock.Instant
	until  clock.Instant
	// fresh says that the run began at the first event, so that its time teaches.
	fresh bool
}

// Dispatcher decides which driver may run an item now. It is a share group over the
// book: acquisitions are soft, terminal states are records. Steps without I/O; its
// owner guards it with a lock and gives it the time and a way to submit records.
// Several can live in one process, each with a book of its own.
type Dispatcher struct {
	Book *Book
	// Lock is how long an acquisition stands without an acknowledgement.
	Lock clock.Duration
	// Closed tells whether a lot's end is on its way: nothing of it is acquired.
	Closed func(lot *Lot) bool
	// Submit has a record made durable and gives its index.
	Submit func(record messages.Record) int64
	// Tries is how many answers of 500 end an item.
	Tries func(item *Item) int
	// TookMs is the usual time of a whole run.
	TookMs float64
	Counts DispatchCounts

	epoch  uint64
	serial uint64
	live   map[uint64]*Acquisition
	// before is the index of the first record of this epoch: items of earlier lots
	// may be with drivers until unsure.
	before int64
	unsure clock.Instant
	taken  clock.Instant
	homes  map[string]home
	order  ranking
	// drivers are those that were heard lately; version counts their changes.
	drivers map[string]*seenDriver
	version uint64
	// entering are drivers whose record is on its way; unheard are those of earlier
	// epochs that have not shown what they hold.
	entering map[entrant]int64
	unheard  map[entrant]bool
	sure     bool
}

// DispatchCounts are for the operator.
type DispatchCounts struct {
	Deliveries, Lapses, Releases, Failures, Renewals, Adopted, Settled, Dropped, Late int64
}

// serialBits is the part of an acquisition number that counts within an epoch.
const serialBits = 40

// EpochOf gives the epoch in which an acquisition was handed out.
func EpochOf(number uint64) uint64 { return number >> serialBits }

// NewDispatcher starts the dispatcher of an epoch. Lots with records before the
// index may be acquired from earlier holders until a lock length after the moment
// at which the last of them can have handed anything out.
func NewDispatcher(book *Book, epoch uint64, before int64, lock clock.Duration, taken clock.Instant) *Dispatcher {
	dispatcher := &Dispatcher{Book: book, Lock: lock, epoch: epoch, before: before, unsure: taken.Add(lock), taken: taken,
		live: map[uint64]*Acquisition{}, homes: map[string]home{}, drivers: map[string]*seenDriver{},
		entering: map[entrant]int64{}, unheard: map[entrant]bool{},
		Closed: func(*Lot) bool { return false }, Tries: func(*Item) int { return 1 }}
	for each := range book.entrants {
		dispatcher.unheard[each] = true
	}
	dispatcher.reckon(taken)
	return dispatcher
}

// Live is how many acquisitions stand.
func (d *Dispatcher) Live() int { return len(d.live) }

// Holding lists the drivers that hold acquisitions of a lot.
func (d *Dispatcher) Holding(lot *Lot) []Driver {
	var drivers []Driver
	seen := map[Driver]bool{}
	for _, item := range lot.Items {
		if item.held != nil && !seen[item.held.Driver] {
			seen[item.held.Driver] = true
			drivers = append(drivers, item.held.Driver)
		}
	}
	return drivers
}

// Taken is when this dispatcher's holder took the duty.
func (d *Dispatcher) Taken() clock.Instant { return d.taken }

// Unsure tells whether earlier holders' acquisitions may still stand somewhere.
func (d *Dispatcher) Unsure(now clock.Instant) bool { return now < d.unsure }

// perhapsHeld tells whether an earlier holder may have handed the item out.
func (d *Dispatcher) perhapsHeld(item *Item, now clock.Instant) bool {
	return item.Lot.Index < d.before && now < d.unsure
}

// free tells whether an item may be acquired now.
func (d *Dispatcher) free(item *Item, now clock.Instant) bool {
	return item.State == ItemAvailable && item.held == nil && now >= item.pause && !d.perhapsHeld(item, now)
}

// grant acquires an item for a driver; the number is new, or one that its driver
// has shown after a takeover.
func (d *Dispatcher) grant(item *Item, driver Driver, number uint64, now clock.Instant) *Acquisition {
	fresh := item.LastID == 0 && number == 0
	run := item.Begin()
	if run == 0 {
		return nil
	}
	if number == 0 {
		d.serial++
		number = d.epoch<<serialBits | d.serial
	}
	acquisition := &Acquisition{Number: number, Driver: driver, Item: item, run: run, begun: now, until: now.Add(d.Lock), fresh: fresh}
	item.held, item.seen = acquisition, 0
	d.live[number] = acquisition
	return acquisition
}

// drop ends an acquisition, whatever comes next.
func (d *Dispatcher) drop(acquisition *Acquisition) {
	if acquisition == nil {
		return
	}
	delete(d.live, acquisition.Number)
	if acquisition.Item.held == acquisition {
		acquisition.Item.held = nil
	}
}

// setBack makes an item available again after a pause.
func (d *Dispatcher) setBack(acquisition *Acquisition, backoff clock.Duration, now clock.Instant) {
	d.drop(acquisition)
	acquisition.Item.SetBack(acquisition.run)
	acquisition.Item.pause = now.Add(backoff)
}

// Lapse makes items available whose lock ran out unacknowledged. A lapse never ends
// an item: it waits longer each time, so that one that kills drivers costs little.
func (d *Dispatcher) Lapse(now clock.Instant) int {
	count := 0
	for _, acquisition := range d.live {
		if now < acquisition.until {
			continue
		}
		acquisition.Item.Lapses++
		count++
		d.setBack(acquisition, growing(acquisition.Item.Lapses), now)
	}
	d.Counts.Lapses += int64(count)
	return count
}

// growing is the pause after so many lapses or releases.
func growing(count int) clock.Duration {
	const doublings = 5
	return constants.ItemRetryBackoff << min(max(count-1, 0), doublings)
}

// Stop ends all acquisitions of a lot whose end is decided, and names the drivers
// that have to stop.
func (d *Dispatcher) Stop(lot *Lot) []Driver {
	drivers := d.Holding(lot)
	for _, item := range lot.Items {
		if acquisition := item.held; acquisition != nil {
			d.drop(acquisition)
			item.SetBack(acquisition.run)
		}
	}
	return drivers
}

// Expire archives what waits and has come to a terminal ground: its route is gone
// or its retain-s is over, as the terms of its lot say, or its tries are spent.
func (d *Dispatcher) Expire(terms func(lot *Lot) Terms, now clock.Instant) int {
	count := 0
	for _, lot := range d.Book.openLots() {
		if d.Closed(lot) {
			continue
		}
		over := terms(lot).Over
		lot.eachAvailable(func(item *Item) bool {
			// A whole output that a driver may still bring is an output.
			if d.perhapsHeld(item, now) {
				return true
			}
			if over || (len(item.FailedBy) > 0 && len(item.FailedBy) >= d.Tries(item)) {
				d.archive(item, 0, 0)
				count++
			}
			return true
		})
	}
	return count
}

// archive ends an item with the result that it is abandoned.
func (d *Dispatcher) archive(item *Item, run int, number uint64) bool {
	if !item.GiveUp(run) {
		return false
	}
	d.Counts.Dropped++
	d.close(item, number, nil, false, true)
	return true
}

// close submits the one terminal record of an item, at the next position.
func (d *Dispatcher) close(item *Item, number uint64, text []byte, packed, dropped bool) {
	lot := item.Lot
	position := len(lot.Listings) + lot.giving
	lot.giving++
	item.closer = number
	item.closing = d.Submit(messages.Record{Kind: messages.RecordOutput, Job: lot.ID, Item: item.ID,
		Position: position, Dropped: dropped, Body: text, Compressed: packed, Acquisition: number})
}
