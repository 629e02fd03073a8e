package lots

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Step is what came of an acknowledgement: the verdict counts once the record at
// Index is durable; Index 0 needs no record.
type Step struct {
	Verdict messages.AckVerdict
	Index   int64
}

// Acknowledge takes a driver's word on one acquisition. A repeat is answered the
// same as the first.
func (d *Dispatcher) Acknowledge(driver Driver, entry *messages.Acknowledgement, now clock.Instant) Step {
	lot := d.Book.Lot(entry.Job)
	if lot == nil {
		return Step{Verdict: messages.AckTerminal}
	}
	item := lot.Find(entry.Item)
	if item == nil {
		return Step{Verdict: messages.AckTerminal}
	}
	switch {
	case item.Terminal() || item.State == ItemClosing:
		return d.repeated(item, entry)
	case lot.Ended || d.Closed(lot):
		return Step{Verdict: messages.AckTerminal}
	}
	switch entry.Kind {
	case messages.AckAccept:
		return d.accept(item, entry, now)
	case messages.AckReject:
		return d.reject(item, entry)
	case messages.AckRelease:
		return d.release(item, entry, now)
	case messages.AckRenew:
		return d.renew(driver, item, entry, now)
	}
	return Step{Verdict: messages.AckUnknown}
}

// repeated answers for an item whose one result stands or is on its way: whoever
// brought it is told that it was taken, everybody else that the item is over.
func (d *Dispatcher) repeated(item *Item, entry *messages.Acknowledgement) Step {
	step := Step{Verdict: messages.AckTerminal}
	if item.State == ItemClosing {
		step.Index = item.closing
	}
	if item.closer == entry.Number && entry.Kind != messages.AckRenew {
		step.Verdict = messages.AckRecorded
	}
	if entry.Kind == messages.AckRenew {
		// The run must stop at once, whether or not the record is durable yet.
		step = Step{Verdict: messages.AckStopped}
	}
	if step.Verdict == messages.AckTerminal && entry.Kind == messages.AckAccept {
		d.Counts.Late++
	}
	return step
}

// accept takes a whole output. The lock decides who may run an item, not whose
// output counts: also after a lapse the first one to be durable is the item's.
func (d *Dispatcher) accept(item *Item, entry *messages.Acknowledgement, now clock.Instant) Step {
	held := item.held
	if held != nil && held.Number == entry.Number && held.fresh {
		const share = 0.05
		d.TookMs += share * (clock.ToMilliseconds(now.Sub(held.begun)) - d.TookMs)
	}
	d.drop(held)
	item.become(ItemClosing)
	d.Counts.Settled++
	d.close(item, entry.Number, entry.Output, entry.Compressed, false)
	return Step{Verdict: messages.AckRecorded, Index: item.closing}
}

// reject archives an item that no worker can do.
func (d *Dispatcher) reject(item *Item, entry *messages.Acknowledgement) Step {
	run := item.Runs
	d.drop(item.held)
	if !d.archive(item, run, entry.Number) {
		return Step{Verdict: messages.AckUnknown}
	}
	return Step{Verdict: messages.AckRecorded, Index: item.closing}
}

// release makes an item available again, with the events that it brings back.
func (d *Dispatcher) release(item *Item, entry *messages.Acknowledgement, now clock.Instant) Step {
	step := Step{Verdict: messages.AckRecorded}
	held := item.held
	current := held != nil && held.Number == entry.Number
	// Events also come back late, as long as nobody goes on from fewer.
	if (current || held == nil) && entry.LastID > item.LastID {
		item.Pieces, item.LastID = entry.Events, entry.LastID
	}
	if current {
		if !entry.NotStarted {
			item.Releases++
			d.Counts.Releases++
		}
		if entry.Preempted {
			item.Displaced++
			item.Owed = true
		}
		backoff := growing(1)
		if !entry.Preempted && !entry.NotStarted {
			backoff = growing(item.Releases - item.Displaced)
		}
		d.setBack(held, backoff, now)
	}
	if entry.Failed {
		step.Index = d.failed(item, entry.Number)
	}
	return step
}

// failed counts a 500, durably and once, and archives the item when its tries are
// spent; the record of the count stands before that of the end.
func (d *Dispatcher) failed(item *Item, number uint64) int64 {
	if !item.fail(number) {
		return 0
	}
	d.Counts.Failures++
	index := d.Submit(messages.Record{Kind: messages.RecordItemError, Job: item.Lot.ID, Item: item.ID, Acquisition: number})
	if len(item.FailedBy) >= d.Tries(item) && item.State == ItemAvailable {
		d.archive(item, 0, number)
		return item.closing
	}
	return index
}

// renew lets a lock run anew. After a takeover a driver shows its acquisition by
// it, and the new holder adopts it.
func (d *Dispatcher) renew(driver Driver, item *Item, entry *messages.Acknowledgement, now clock.Instant) Step {
	held := item.held
	if held == nil || held.Number != entry.Number {
		// Of two that were handed out by earlier holders the later number is the one
		// that stands: the other's lock has lapsed.
		adopt := d.perhapsHeld(item, now) && EpochOf(entry.Number) < d.epoch &&
			(held == nil || held.Number < entry.Number)
		if !adopt {
			return Step{Verdict: messages.AckStopped}
		}
		if held != nil {
			d.setBack(held, 0, now)
		}
		if held = d.grant(item, driver, entry.Number, now); held == nil {
			return Step{Verdict: messages.AckStopped}
		}
		d.Enter(driver)
		d.Counts.Adopted++
	}
	if held.Driver.Name != driver.Name || held.Driver.Life != driver.Life || now >= held.until {
		return Step{Verdict: messages.AckStopped}
	}
	held.until = now.Add(d.Lock)
	item.Renewals++
	d.Counts.Renewals++
	return Step{Verdict: messages.AckRenewed}
}
