package dispatch

import (
	"lemonarch/internal/platform/clock"
)

// Executor is one incarnation of a process that runs items.
type Executor struct {
	Name        string
	Incarnation int64
	Address     string
	Zone        string
}

// Acquisition is the exclusive right of one executor to run one item while its lock lasts.
type Acquisition struct {
	// Number is unique across all epochs: the epoch in the high bits, a serial number in the low ones.
	Number    uint64
	Executor  Executor
	Item      *Item
	run       int
	startedAt clock.Instant
	expiresAt clock.Instant
	// ranFromStart reports whether this leader dispatched the run and the run began at the first
	// event. Only then does its duration count towards Dispatcher.MeanRunMs.
	ranFromStart bool
}

// serialBits is the width of the part of an acquisition number that counts within an epoch.
const serialBits = 40

// EpochOf returns the epoch in which the acquisition with a number was granted.
func EpochOf(number uint64) uint64 { return number >> serialBits }

// grant acquires an item for an executor. number is zero for a new acquisition, or the number that
// the executor reported after a takeover. It returns nil if the item can't be run.
func (d *Dispatcher) grant(item *Item, executor Executor, number uint64, now clock.Instant) *Acquisition {
	fresh := item.LastID == 0 && number == 0
	run := item.StartRun()
	if run == 0 {
		return nil
	}
	if number == 0 {
		d.serial++
		number = d.epoch<<serialBits | d.serial
	}
	acquisition := &Acquisition{Number: number, Executor: executor, Item: item, run: run, startedAt: now, expiresAt: now.Add(d.Lock), ranFromStart: fresh}
	item.acquisition, item.skippedSince = acquisition, 0
	d.inFlight[number] = acquisition
	return acquisition
}

// endAcquisition removes an acquisition, which may be nil. The caller sets the item's next state.
func (d *Dispatcher) endAcquisition(acquisition *Acquisition) {
	if acquisition == nil {
		return
	}
	delete(d.inFlight, acquisition.Number)
	if acquisition.Item.acquisition == acquisition {
		acquisition.Item.acquisition = nil
	}
}

// requeue ends an acquisition and makes its item available again after a backoff.
func (d *Dispatcher) requeue(acquisition *Acquisition, backoff clock.Duration, now clock.Instant) {
	d.endAcquisition(acquisition)
	acquisition.Item.Requeue(acquisition.run)
	acquisition.Item.availableAt = now.Add(backoff)
}
