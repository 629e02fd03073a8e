package lots

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// entrant is one life of a driver that may hold acquisitions.
type entrant struct {
	name string
	life int64
}

// Enter has a driver's life on record in this epoch before it is handed anything, so
// that a later holder knows who may hold acquisitions. It gives the index of the
// record while that is not durable, then zero.
func (d *Dispatcher) Enter(driver Driver) int64 {
	e := entrant{driver.Name, driver.Life}
	if d.Book.entrants[e] == d.epoch {
		return 0
	}
	if index := d.entering[e]; index > 0 {
		return index
	}
	index := d.Submit(messages.Record{Kind: messages.RecordExecutor, Item: driver.Name, AtMs: driver.Life})
	d.entering[e] = index
	return index
}

// Listed notes that a driver has shown this holder all that it holds, and takes
// nothing from earlier ones any more. Its entries were taken before.
func (d *Dispatcher) Listed(driver Driver, epoch uint64, now clock.Instant) {
	if epoch == d.epoch {
		delete(d.unheard, entrant{driver.Name, driver.Life})
		d.reckon(now)
	}
}

// outlived notes that a newer life of a driver was heard: the older ones hold nothing.
func (d *Dispatcher) outlived(driver Driver, now clock.Instant) {
	for entrant := range d.unheard {
		if entrant.name == driver.Name && entrant.life < driver.Life {
			delete(d.unheard, entrant)
		}
	}
	d.reckon(now)
}

// reckon ends the time in which items are perhaps acquired, once every driver that
// earlier holders may have handed something is accounted for.
func (d *Dispatcher) reckon(now clock.Instant) {
	if len(d.unheard) == 0 {
		d.unsure = min(d.unsure, now)
	}
}

// Sure records, once, that no acquisition of an earlier epoch stands that was not
// adopted: later holders need not ask after its drivers.
func (d *Dispatcher) Sure(now clock.Instant) {
	if d.sure || now < d.unsure {
		return
	}
	d.sure = true
	d.Submit(messages.Record{Kind: messages.RecordAcquisitionsKnown})
}

// enter and clear are how the book follows them.
func (b *Book) enter(record *messages.Record) {
	b.entrants[entrant{record.Item, record.AtMs}] = record.Epoch
}

func (b *Book) clear(before uint64) {
	for entrant, epoch := range b.entrants {
		if epoch < before {
			delete(b.entrants, entrant)
		}
	}
}
