package dispatch

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// AckOutcome is the result of an acknowledgement. The verdict may be sent once the record at
// Index is durable; Index 0 means that no record is needed.
type AckOutcome struct {
	Verdict messages.AckVerdict
	Index   int64
}

// Acknowledge processes an executor's acknowledgement of one acquisition. A repeated
// acknowledgement gets the same verdict as the first.
func (d *Dispatcher) Acknowledge(executor Executor, ack *messages.Acknowledgement, now clock.Instant) AckOutcome {
	job := d.Jobs.Job(ack.Job)
	if job == nil {
		return AckOutcome{Verdict: messages.AckTerminal}
	}
	item := job.Item(ack.Item)
	if item == nil {
		return AckOutcome{Verdict: messages.AckTerminal}
	}
	switch {
	case item.Terminal() || item.State == ItemClosing:
		return d.handleRepeat(item, ack)
	case job.Ended || d.Ending(job):
		return AckOutcome{Verdict: messages.AckTerminal}
	}
	switch ack.Kind {
	case messages.AckAccept:
		return d.accept(item, ack, now)
	case messages.AckReject:
		return d.reject(item, ack)
	case messages.AckRelease:
		return d.release(item, ack, now)
	case messages.AckRenew:
		return d.renew(executor, item, ack, now)
	case messages.AckConfirm:
		return AckOutcome{Verdict: messages.AckOutputNeeded}
	}
	return AckOutcome{Verdict: messages.AckUnknown}
}

// handleRepeat returns the verdict for an item whose result is durable or being made durable. The
// acquisition that delivered the result gets AckRecorded; any other acquisition gets AckTerminal.
// A renewal always gets AckStopped.
func (d *Dispatcher) handleRepeat(item *Item, ack *messages.Acknowledgement) AckOutcome {
	outcome := AckOutcome{Verdict: messages.AckTerminal}
	if item.State == ItemClosing {
		outcome.Index = item.closingRecordIndex
	}
	if item.closedByAcquisition == ack.Number && ack.Kind != messages.AckRenew {
		outcome.Verdict = messages.AckRecorded
	}
	if ack.Kind == messages.AckRenew {
		// The run must stop immediately, whether or not the record is durable yet.
		outcome = AckOutcome{Verdict: messages.AckStopped}
	}
	if outcome.Verdict == messages.AckTerminal && ack.Kind == messages.AckAccept {
		d.Counts.Late++
	}
	return outcome
}

// accept records a complete output. The lock decides which executor may run an item, not whose
// output counts: even after the lock has expired, the first output that becomes durable is the
// item's result.
func (d *Dispatcher) accept(item *Item, ack *messages.Acknowledgement, now clock.Instant) AckOutcome {
	acquisition := item.acquisition
	const smoothing = 0.05
	d.MeanOutputBytes += smoothing * (float64(len(ack.Output)) - d.MeanOutputBytes)
	if acquisition != nil && acquisition.Number == ack.Number && acquisition.ranFromStart {
		d.MeanRunMs += smoothing * (clock.ToMilliseconds(now.Sub(acquisition.startedAt)) - d.MeanRunMs)
	}
	d.endAcquisition(acquisition)
	item.setState(ItemClosing)
	d.Counts.Completed++
	d.appendResult(item, ack.Number, ack.Output, ack.Compressed, false)
	return AckOutcome{Verdict: messages.AckRecorded, Index: item.closingRecordIndex}
}

// reject abandons an item that a worker rejected as impossible to execute.
func (d *Dispatcher) reject(item *Item, ack *messages.Acknowledgement) AckOutcome {
	run := item.Runs
	d.endAcquisition(item.acquisition)
	if !d.abandon(item, run, ack.Number) {
		return AckOutcome{Verdict: messages.AckUnknown}
	}
	return AckOutcome{Verdict: messages.AckRecorded, Index: item.closingRecordIndex}
}

// release makes an item available again and keeps the events that the executor returned with it.
// If the run ended with a 500 response, it counts the failure.
func (d *Dispatcher) release(item *Item, ack *messages.Acknowledgement, now clock.Instant) AckOutcome {
	outcome := AckOutcome{Verdict: messages.AckRecorded}
	acquisition := item.acquisition
	current := acquisition != nil && acquisition.Number == ack.Number
	// Late events are kept too, unless another run has already resumed from fewer events.
	if (current || acquisition == nil) && ack.LastID > item.LastID {
		item.Events, item.LastID = ack.Events, ack.LastID
	}
	if current {
		if !ack.NotStarted {
			item.Releases++
			d.Counts.Releases++
		}
		if ack.Preempted {
			item.Preempted++
			item.ResumePending = true
		}
		backoff := retryBackoff(1)
		if !ack.Preempted && !ack.NotStarted {
			backoff = retryBackoff(item.Releases - item.Preempted)
		}
		d.requeue(acquisition, backoff, now)
	}
	if ack.Failed {
		outcome.Index = d.recordFailure(item, ack.Number)
	}
	return outcome
}

// recordFailure counts a 500 response durably, once per acquisition, and abandons the item when
// its attempts are exhausted. The record of the failure precedes the record that ends the item. It
// returns the index of the last record appended, or zero if the failure was counted before.
func (d *Dispatcher) recordFailure(item *Item, number uint64) int64 {
	if !item.countFailure(number) {
		return 0
	}
	d.Counts.Failures++
	index := d.Append(messages.Record{Kind: messages.RecordItemError, Job: item.Job.ID, Item: item.ID, Acquisition: number})
	if len(item.FailedBy) >= d.Attempts(item) && item.State == ItemAvailable {
		d.abandon(item, 0, number)
		return item.closingRecordIndex
	}
	return index
}

// renew extends the lock of an acquisition by its full duration. After a takeover, executors report
// their acquisitions by renewing them, and the new leader adopts the acquisitions.
func (d *Dispatcher) renew(executor Executor, item *Item, ack *messages.Acknowledgement, now clock.Instant) AckOutcome {
	acquisition := item.acquisition
	if acquisition == nil || acquisition.Number != ack.Number {
		// If earlier leaders dispatched the item twice, the acquisition with the higher number is
		// valid: the lock of the other one has expired.
		adopt := d.maybeAcquired(item, now) && EpochOf(ack.Number) < d.epoch &&
			(acquisition == nil || acquisition.Number < ack.Number)
		if !adopt {
			return AckOutcome{Verdict: messages.AckStopped}
		}
		if acquisition != nil {
			d.requeue(acquisition, 0, now)
		}
		if acquisition = d.grant(item, executor, ack.Number, now); acquisition == nil {
			return AckOutcome{Verdict: messages.AckStopped}
		}
		d.RegisterExecutor(executor)
		d.Counts.Adopted++
	}
	if acquisition.Executor.Name != executor.Name || acquisition.Executor.Incarnation != executor.Incarnation || now >= acquisition.expiresAt {
		return AckOutcome{Verdict: messages.AckStopped}
	}
	acquisition.expiresAt = now.Add(d.Lock)
	item.Renewals++
	d.Counts.Renewals++
	return AckOutcome{Verdict: messages.AckRenewed}
}
