package dispatch

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// executorID is one incarnation of an executor that may hold acquisitions.
type executorID struct {
	name        string
	incarnation int64
}

// RegisterExecutor has an executor's incarnation on record in this epoch before it is handed anything, so
// that a later leader knows who may hold acquisitions. It gives the index of the
// record while that is not durable, then zero.
func (d *Dispatcher) RegisterExecutor(executor Executor) int64 {
	e := executorID{executor.Name, executor.Incarnation}
	if d.Jobs.executors[e] == d.epoch {
		return 0
	}
	if index := d.registering[e]; index > 0 {
		return index
	}
	index := d.Append(messages.Record{Kind: messages.RecordExecutor, Item: executor.Name, AtMs: executor.Incarnation})
	d.registering[e] = index
	return index
}

// ReportedAll notes that an executor has reported to this leader all that it holds, and accepts
// nothing from earlier leaders any more. Its entries were processed before.
func (d *Dispatcher) ReportedAll(executor Executor, epoch uint64, now clock.Instant) {
	if epoch == d.epoch {
		delete(d.unaccounted, executorID{executor.Name, executor.Incarnation})
		d.updateUncertainty(now)
	}
}

// dropOlderIncarnations notes that a newer incarnation of an executor was seen: the older ones hold nothing.
func (d *Dispatcher) dropOlderIncarnations(executor Executor, now clock.Instant) {
	for entrant := range d.unaccounted {
		if entrant.name == executor.Name && entrant.incarnation < executor.Incarnation {
			delete(d.unaccounted, entrant)
		}
	}
	d.updateUncertainty(now)
}

// updateUncertainty ends the time in which items are perhaps acquired, once every executor that
// earlier leaders may have handed something is accounted for.
func (d *Dispatcher) updateUncertainty(now clock.Instant) {
	if len(d.unaccounted) == 0 {
		d.uncertainUntil = min(d.uncertainUntil, now)
	}
}

// RecordAcquisitionsKnown records, once, that no acquisition of an earlier epoch stands that was not
// adopted: later leaders need not ask after its executors.
func (d *Dispatcher) RecordAcquisitionsKnown(now clock.Instant) {
	if d.acquisitionsKnown || now < d.uncertainUntil {
		return
	}
	d.acquisitionsKnown = true
	d.Append(messages.Record{Kind: messages.RecordAcquisitionsKnown})
}

// addExecutor and clear are how the job table follows them.
func (b *JobTable) addExecutor(record *messages.Record) {
	b.executors[executorID{record.Item, record.AtMs}] = record.Epoch
}

func (b *JobTable) dropExecutorsBefore(before uint64) {
	for entrant, epoch := range b.executors {
		if epoch < before {
			delete(b.executors, entrant)
		}
	}
}
