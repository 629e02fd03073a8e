package executor

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// ackQueue stores acknowledgements until the dispatcher has responded to them with a final verdict.
type ackQueue struct {
	entries []messages.Acknowledgement
	// confirms counts, by acquisition, the confirm requests since its complete output was last sent.
	// There is no entry before the output is sent for the first time, nor after a verdict other than
	// AckUnknown.
	confirms map[uint64]int
}

// add appends an acknowledgement to the queue.
func (q *ackQueue) add(ack messages.Acknowledgement) { q.entries = append(q.entries, ack) }

// batch returns the oldest acknowledgements that fit into one message, and counts them as sent. An
// output that was sent without a response is replaced by a confirm request, AckConfirms times, before
// it is sent in full again: a response is late when the leader's link is congested, and sending
// outputs again would keep the link congested.
func (q *ackQueue) batch() []messages.Acknowledgement {
	size := 0
	var batch []messages.Acknowledgement
	for i := range q.entries {
		ack := q.next(&q.entries[i])
		size += len(ack.Output)
		for _, event := range ack.Events {
			size += len(event)
		}
		if i > 0 && (i >= constants.AckEntries || size > constants.AckBytes) {
			break
		}
		batch = append(batch, ack)
	}
	for i := range batch {
		q.noteSent(&batch[i])
	}
	return batch
}

// next returns the form in which an acknowledgement is sent next: in full or as a confirm request.
func (q *ackQueue) next(ack *messages.Acknowledgement) messages.Acknowledgement {
	count, sent := q.confirms[ack.Number]
	if ack.Kind != messages.AckAccept || !sent || count >= constants.AckConfirms {
		return *ack
	}
	return messages.Acknowledgement{Number: ack.Number, Kind: messages.AckConfirm, Job: ack.Job, Item: ack.Item}
}

// noteSent records that an acknowledgement was sent, in full or as a confirm request.
func (q *ackQueue) noteSent(ack *messages.Acknowledgement) {
	if q.confirms == nil {
		q.confirms = map[uint64]int{}
	}
	switch ack.Kind {
	case messages.AckAccept:
		q.confirms[ack.Number] = 0
	case messages.AckConfirm:
		q.confirms[ack.Number]++
	}
}

// handleVerdicts removes the acknowledgements of a batch that have a final verdict. The others are
// sent again under the same acquisition number.
func (q *ackQueue) handleVerdicts(batch []messages.Acknowledgement, verdicts []messages.AckVerdict) {
	final := map[uint64]bool{}
	for i := range batch {
		if i >= len(verdicts) || verdicts[i] == messages.AckUnknown {
			continue
		}
		// After any verdict, an output that is sent again is sent in full.
		delete(q.confirms, batch[i].Number)
		if verdicts[i] != messages.AckOutputNeeded {
			final[batch[i].Number] = true
		}
	}
	retained := q.entries[:0]
	for _, ack := range q.entries {
		if !final[ack.Number] {
			retained = append(retained, ack)
		}
	}
	// Release the memory of the removed acknowledgements: outputs are long.
	clear(q.entries[len(retained):])
	q.entries = retained
}

// Results returns a batch of acknowledgements that end items or count a failure. The dispatcher responds
// to them once their records are durable. Releases need no record, so they are sent in other batches
// that do not wait for disks.
func (r *Runner) Results() []messages.Acknowledgement { return r.results.batch() }

// Releases returns a batch of releases without a failure.
func (r *Runner) Releases() []messages.Acknowledgement { return r.releases.batch() }

// HandleVerdicts processes the verdicts on a batch returned by Results or Releases.
func (r *Runner) HandleVerdicts(batch []messages.Acknowledgement, verdicts []messages.AckVerdict) {
	r.results.handleVerdicts(batch, verdicts)
	r.releases.handleVerdicts(batch, verdicts)
}

// Unacknowledged returns the number of acknowledgements without a final verdict.
func (r *Runner) Unacknowledged() int {
	return len(r.results.entries) + len(r.releases.entries)
}
