package executor

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// queue holds acknowledgements until they are answered.
type ackQueue struct {
	entries []messages.Acknowledgement
	// confirms counts, by acquisition, how often a complete output was asked about since it
	// was sent last.
	confirms map[uint64]int
}

func (q *ackQueue) add(entry messages.Acknowledgement) { q.entries = append(q.entries, entry) }

// batch gives the oldest ones that fit into a message. An output that was sent and not
// answered is asked about before it is sent once more: an answer is late where the leader's
// link is full, and outputs that are sent again would keep it so.
func (q *ackQueue) batch() []messages.Acknowledgement {
	size := 0
	var batch []messages.Acknowledgement
	for i := range q.entries {
		entry := q.next(&q.entries[i])
		size += len(entry.Output)
		for _, piece := range entry.Events {
			size += len(piece)
		}
		if i > 0 && (i >= constants.AckEntries || size > constants.AckBytes) {
			break
		}
		batch = append(batch, entry)
	}
	for i := range batch {
		q.noteSent(&batch[i])
	}
	return batch
}

// next gives the form in which an entry is sent next.
func (q *ackQueue) next(entry *messages.Acknowledgement) messages.Acknowledgement {
	count, sent := q.confirms[entry.Number]
	if entry.Kind != messages.AckAccept || !sent || count >= constants.AckConfirms {
		return *entry
	}
	return messages.Acknowledgement{Number: entry.Number, Kind: messages.AckConfirm, Job: entry.Job, Item: entry.Item}
}

// noteSent notes that an entry is sent in some form.
func (q *ackQueue) noteSent(entry *messages.Acknowledgement) {
	if q.confirms == nil {
		q.confirms = map[uint64]int{}
	}
	switch entry.Kind {
	case messages.AckAccept:
		q.confirms[entry.Number] = 0
	case messages.AckConfirm:
		q.confirms[entry.Number]++
	}
}

// answered takes the verdicts on a batch: what is still unknown is repeated, under
// the same acquisition number.
func (q *ackQueue) handleVerdicts(batch []messages.Acknowledgement, verdicts []messages.AckVerdict) {
	known := map[uint64]bool{}
	for i := range batch {
		if i >= len(verdicts) || verdicts[i] == messages.AckUnknown {
			continue
		}
		// Whatever was said of it, an output is sent in full if it is sent again.
		delete(q.confirms, batch[i].Number)
		if verdicts[i] != messages.AckOutputNeeded {
			known[batch[i].Number] = true
		}
	}
	retained := q.entries[:0]
	for _, entry := range q.entries {
		if !known[entry.Number] {
			retained = append(retained, entry)
		}
	}
	// What is answered is given back: texts are long.
	clear(q.entries[len(retained):])
	q.entries = retained
}

// Results gives a batch of what ends items or counts against them; its answer waits
// for disks. Returns gives a batch of releases, which does not.
func (r *Runner) Results() []messages.Acknowledgement { return r.results.batch() }

// Releases gives a batch of releases.
func (r *Runner) Releases() []messages.Acknowledgement { return r.releases.batch() }

// HandleVerdicts takes the verdicts on a batch of either sort.
func (r *Runner) HandleVerdicts(batch []messages.Acknowledgement, verdicts []messages.AckVerdict) {
	r.results.handleVerdicts(batch, verdicts)
	r.releases.handleVerdicts(batch, verdicts)
}

// Unacknowledged is how many acknowledgements are not answered yet.
func (r *Runner) Unacknowledged() int {
	return len(r.results.entries) + len(r.releases.entries)
}
