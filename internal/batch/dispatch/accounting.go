package dispatch

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// executorID identifies one incarnation of an executor that may own acquisitions.
type executorID struct {
	name        string
	incarnation int64
}

// RegisterExecutor records an executor's incarnation in this epoch before any item is dispatched to it,
// so that a later leader knows which executors may own acquisitions. It returns the index of the
// record while the record is not durable yet, and zero afterwards.
func (d *Dispatcher) RegisterExecutor(executor Executor) int64 {
	id := executorID{executor.Name, executor.Incarnation}
	if d.Jobs.executors[id] == d.epoch {
		return 0
	}
	if index := d.registering[id]; index > 0 {
		return index
	}
	index := d.Append(messages.Record{Kind: messages.RecordExecutor, Item: executor.Name, AtMs: executor.Incarnation})
	d.registering[id] = index
	return index
}

// MarkFullyReported marks an executor as accounted for: it has reported all of its acquisitions to this
// leader and no longer accepts items from earlier leaders. The caller processes the reported
// acquisitions first. A report for another epoch is ignored.
func (d *Dispatcher) MarkFullyReported(executor Executor, epoch uint64, now clock.Instant) {
	if epoch == d.epoch {
		delete(d.unaccounted, executorID{executor.Name, executor.Incarnation})
		d.updateUncertainty(now)
	}
}

// dropOlderIncarnations marks the older incarnations of an executor as accounted for once a newer one
// is seen: their process has ended, so they own no acquisitions.
func (d *Dispatcher) dropOlderIncarnations(executor Executor, now clock.Instant) {
	for id := range d.unaccounted {
		if id.name == executor.Name && id.incarnation < executor.Incarnation {
			delete(d.unaccounted, id)
		}
	}
	d.updateUncertainty(now)
}

// updateUncertainty ends the period in which items may still be acquired from earlier leaders, once
// every executor that may have received items from them is accounted for.
func (d *Dispatcher) updateUncertainty(now clock.Instant) {
	if len(d.unaccounted) == 0 {
		d.uncertainUntil = min(d.uncertainUntil, now)
	}
}

// RecordAcquisitionsKnown appends, once per epoch, a record that every acquisition of an earlier epoch
// has either ended or been adopted. It does nothing while that is uncertain. Once the record is durable,
// later leaders need not wait for the executors of those epochs.
func (d *Dispatcher) RecordAcquisitionsKnown(now clock.Instant) {
	if d.acquisitionsKnown || now < d.uncertainUntil {
		return
	}
	d.acquisitionsKnown = true
	d.Append(messages.Record{Kind: messages.RecordAcquisitionsKnown})
}

// addExecutor applies a RecordExecutor record, whose Item is the executor's name and whose AtMs is its
// incarnation.
func (t *JobTable) addExecutor(record *messages.Record) {
	t.executors[executorID{record.Item, record.AtMs}] = record.Epoch
}

// dropExecutorsBefore removes the executors registered in epochs before the given one.
func (t *JobTable) dropExecutorsBefore(before uint64) {
	for id, epoch := range t.executors {
		if epoch < before {
			delete(t.executors, id)
		}
	}
}
