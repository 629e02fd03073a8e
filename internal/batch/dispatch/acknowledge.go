package dispatch

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// AckOutcome is what came of an acknowledgement: the verdict counts once the record at
// Index is durable; Index 0 needs no record.
type AckOutcome struct {
	Verdict messages.AckVerdict
	Index   int64
}

// Acknowledge takes an executor's acknowledgement of one acquisition. A repeat is answered the
// same as the first.
func (d *Dispatcher) Acknowledge(executor Executor, entry *messages.Acknowledgement, now clock.Instant) AckOutcome {
	job := d.Jobs.Job(entry.Job)
	if job == nil {
		return AckOutcome{Verdict: messages.AckTerminal}
	}
	item := job.Item(entry.Item)
	if item == nil {
		return AckOutcome{Verdict: messages.AckTerminal}
	}
	switch {
	case item.Terminal() || item.State == ItemClosing:
		return d.handleRepeat(item, entry)
	case job.Ended || d.Ending(job):
		return AckOutcome{Verdict: messages.AckTerminal}
	}
	switch entry.Kind {
	case messages.AckAccept:
		return d.accept(item, entry, now)
	case messages.AckReject:
		return d.reject(item, entry)
	case messages.AckRelease:
		return d.release(item, entry, now)
	case messages.AckRenew:
		return d.renew(executor, item, entry, now)
	case messages.AckConfirm:
		return AckOutcome{Verdict: messages.AckOutputNeeded}
	}
	return AckOutcome{Verdict: messages.AckUnknown}
}

// handleRepeat answers for an item whose one result stands or is on its way: whoever
// brought it is told that it was taken, everybody else that the item is over.
func (d *Dispatcher) handleRepeat(item *Item, entry *messages.Acknowledgement) AckOutcome {
	outcome := AckOutcome{Verdict: messages.AckTerminal}
	if item.State == ItemClosing {
		outcome.Index = item.closingIndex
	}
	if item.closedBy == entry.Number && entry.Kind != messages.AckRenew {
		outcome.Verdict = messages.AckRecorded
	}
	if entry.Kind == messages.AckRenew {
		// The run must stop at once, whether or not the record is durable yet.
		outcome = AckOutcome{Verdict: messages.AckStopped}
	}
	if outcome.Verdict == messages.AckTerminal && entry.Kind == messages.AckAccept {
		d.Counts.Late++
	}
	return outcome
}

// accept takes a complete output. The lock decides who may run an item, not whose
// output counts: also after a lapse the first one to be durable is the item's.
func (d *Dispatcher) accept(item *Item, entry *messages.Acknowledgement, now clock.Instant) AckOutcome {
	acquisition := item.acquisition
	const share = 0.05
	d.MeanOutputBytes += share * (float64(len(entry.Output)) - d.MeanOutputBytes)
	if acquisition != nil && acquisition.Number == entry.Number && acquisition.fromStart {
		d.MeanRunMs += share * (clock.ToMilliseconds(now.Sub(acquisition.startedAt)) - d.MeanRunMs)
	}
	d.endAcquisition(acquisition)
	item.setState(ItemClosing)
	d.Counts.Completed++
	d.appendResult(item, entry.Number, entry.Output, entry.Compressed, false)
	return AckOutcome{Verdict: messages.AckRecorded, Index: item.closingIndex}
}

// reject archives an item that no worker can do.
func (d *Dispatcher) reject(item *Item, entry *messages.Acknowledgement) AckOutcome {
	run := item.Runs
	d.endAcquisition(item.acquisition)
	if !d.abandon(item, run, entry.Number) {
		return AckOutcome{Verdict: messages.AckUnknown}
	}
	return AckOutcome{Verdict: messages.AckRecorded, Index: item.closingIndex}
}

// release makes an item available again, with the events that it brings back.
func (d *Dispatcher) release(item *Item, entry *messages.Acknowledgement, now clock.Instant) AckOutcome {
	outcome := AckOutcome{Verdict: messages.AckRecorded}
	acquisition := item.acquisition
	current := acquisition != nil && acquisition.Number == entry.Number
	// Events also come back late, as long as nobody goes on from fewer.
	if (current || acquisition == nil) && entry.LastID > item.LastID {
		item.Events, item.LastID = entry.Events, entry.LastID
	}
	if current {
		if !entry.NotStarted {
			item.Releases++
			d.Counts.Releases++
		}
		if entry.Preempted {
			item.Preempted++
			item.OwedResume = true
		}
		backoff := retryBackoff(1)
		if !entry.Preempted && !entry.NotStarted {
			backoff = retryBackoff(item.Releases - item.Preempted)
		}
		d.requeue(acquisition, backoff, now)
	}
	if entry.Failed {
		outcome.Index = d.failed(item, entry.Number)
	}
	return outcome
}

// failed counts a 500, durably and once, and archives the item when its tries are
// spent; the record of the count stands before that of the end.
func (d *Dispatcher) failed(item *Item, number uint64) int64 {
	if !item.countFailure(number) {
		return 0
	}
	d.Counts.Failures++
	index := d.Append(messages.Record{Kind: messages.RecordItemError, Job: item.Job.ID, Item: item.ID, Acquisition: number})
	if len(item.FailedBy) >= d.Attempts(item) && item.State == ItemAvailable {
		d.abandon(item, 0, number)
		return item.closingIndex
	}
	return index
}

// renew lets a lock run anew. After a takeover an executor shows its acquisition by
// it, and the new leader adopts it.
func (d *Dispatcher) renew(executor Executor, item *Item, entry *messages.Acknowledgement, now clock.Instant) AckOutcome {
	acquisition := item.acquisition
	if acquisition == nil || acquisition.Number != entry.Number {
		// Of two that were handed out by earlier leaders the later number is the one
		// that stands: the other's lock has lapsed.
		adopt := d.maybeAcquired(item, now) && EpochOf(entry.Number) < d.epoch &&
			(acquisition == nil || acquisition.Number < entry.Number)
		if !adopt {
			return AckOutcome{Verdict: messages.AckStopped}
		}
		if acquisition != nil {
			d.requeue(acquisition, 0, now)
		}
		if acquisition = d.grant(item, executor, entry.Number, now); acquisition == nil {
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
