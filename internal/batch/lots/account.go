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
func (dispatcher *Dispatcher) Enter(driver Driver) int64 {
	one := entrant{driver.Name, driver.Life}
	if dispatcher.Book.entrants[one] == dispatcher.epoch {
		return 0
	}
	if index := dispatcher.entering[one]; index > 0 {
		return index
	}
	index := dispatcher.Submit(messages.Record{Kind: messages.RecordDriver, Item: driver.Name, AtMs: driver.Life})
	dispatcher.entering[one] = index
	return index
}

// Listed notes that a driver has shown this holder all that it holds, and takes
// nothing from earlier ones any more. Its entries were taken before.
func (dispatcher *Dispatcher) Listed(driver Driver, epoch uint64, now clock.Moment) {
	if epoch == dispatcher.epoch {
		delete(dispatcher.unheard, entrant{driver.Name, driver.Life})
		dispatcher.reckon(now)
	}
}

// outlived notes that a newer life of a driver was heard: the older ones hold nothing.
func (dispatcher *Dispatcher) outlived(driver Driver, now clock.Moment) {
	for one := range dispatcher.unheard {
		if one.name == driver.Name && one.life < driver.Life {
			delete(dispatcher.unheard, one)
		}
	}
	dispatcher.reckon(now)
}

// reckon ends the time in which items are perhaps acquired, once every driver that
// earlier holders may have handed something is accounted for.
func (dispatcher *Dispatcher) reckon(now clock.Moment) {
	if len(dispatcher.unheard) == 0 {
		dispatcher.unsure = min(dispatcher.unsure, now)
	}
}

// Sure records, once, that no acquisition of an earlier epoch stands that was not
// adopted: later holders need not ask after its drivers.
func (dispatcher *Dispatcher) Sure(now clock.Moment) {
	if dispatcher.sure || now < dispatcher.unsure {
		return
	}
	dispatcher.sure = true
	dispatcher.Submit(messages.Record{Kind: messages.RecordSure})
}

// enter and clear are how the book follows them.
func (book *Book) enter(record *messages.Record) {
	book.entrants[entrant{record.Item, record.AtMs}] = record.Epoch
}

func (book *Book) clear(before uint64) {
	for one, epoch := range book.entrants {
		if epoch < before {
			delete(book.entrants, one)
		}
	}
}
