package dispatch

import (
	"lemonarch/internal/platform/clock"
)

// Executor is a process that runs items, in one incarnation.
type Executor struct {
	Name        string
	Incarnation int64
	Address     string
	Zone        string
}

// Acquisition is one item with one executor, for the length of a lock.
type Acquisition struct {
	// Number is unique over all epochs.
	Number    uint64
	Executor  Executor
	Item      *Item
	run       int
	startedAt clock.Instant
	expiresAt clock.Instant
	// fromStart says that the run began at the first event, so that its time teaches.
	fromStart bool
}

// serialBits is the part of an acquisition number that counts within an epoch.
const serialBits = 40

// EpochOf gives the epoch in which an acquisition was handed out.
func EpochOf(number uint64) uint64 { return number >> serialBits }

// grant acquires an item for an executor; the number is new, or one that its executor
// has shown after a takeover.
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
	acquisition := &Acquisition{Number: number, Executor: executor, Item: item, run: run, startedAt: now, expiresAt: now.Add(d.Lock), fromStart: fresh}
	item.acquisition, item.skippedSince = acquisition, 0
	d.inFlight[number] = acquisition
	return acquisition
}

// endAcquisition ends an acquisition, whatever comes next.
func (d *Dispatcher) endAcquisition(acquisition *Acquisition) {
	if acquisition == nil {
		return
	}
	delete(d.inFlight, acquisition.Number)
	if acquisition.Item.acquisition == acquisition {
		acquisition.Item.acquisition = nil
	}
}

// requeue makes an item available again after a pause.
func (d *Dispatcher) requeue(acquisition *Acquisition, backoff clock.Duration, now clock.Instant) {
	d.endAcquisition(acquisition)
	acquisition.Item.Requeue(acquisition.run)
	acquisition.Item.availableAt = now.Add(backoff)
}
