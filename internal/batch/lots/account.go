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
	one := entrant{driver.Name, driver.Life}
	if d.Book.entrants[one] == d.epoch {
		return 0
	}
	if index := d.entering[one]; index > 0 {
		return index
	}
	index := d.Submit(messages.Record{Kind: messages.RecordDriver, Item: driver.Name, AtMs: driver.Life})
	d.entering[one] = index
	return index
}

// Listed notes that a driver has shown this holder all that it holds, and takes
// nothing from earlier ones any more. Its entries were taken before.
func (d *Dispatcher) Listed(driver Driver, epoch uint64, now clock.Moment) {
	if epoch == d.epoch {
		delete(d.unheard, entrant{driver.Name, driver.Life})
		d.reckon(now)
	}
}

// outlived notes that a newer life of a driver was heard: the older ones hold nothing.
func (d *Dispatcher) outlived(driver Driver, now clock.Moment) {
	for one := range d.unheard {
		if one.name == driver.Name && one.life < driver.Life {
			delete(d.unheard, one)
		}
	}
	d.reckon(now)
}

// reckon ends the time in which items are perhaps acquired, once every driver that
// earlier holders may have handed something is accounted for.
func (d *Dispatcher) reckon(now clock.Moment) {
	if len(d.unheard) == 0 {
		d.unsure = min(d.unsure, now)
	}
}

// Sure records, once, that no acquisition of an earlier epoch stands that was not
// adopted: later holders need not ask after its drivers.
func (d *Dispatcher) Sure(now clock.Moment) {
	if d.sure || now < d.unsure {
		return
	}
	d.sure = true
	d.Submit(messages.Record{Kind: messages.RecordSure})
}

// enter and clear are how the book follows them.
func (b *Book) enter(record *messages.Record) {
	b.entrants[entrant{record.Item, record.AtMs}] = record.Epoch
}

func (b *Book) clear(before uint64) {
	for one, epoch := range b.entrants {
		if epoch < before {
			delete(b.entrants, one)
		}
	}
}
