package executor

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// queue holds acknowledgements until they are answered.
type queue struct {
	entries []messages.Acknowledgement
}

func (q *queue) add(entry messages.Acknowledgement) { q.entries = append(q.entries, entry) }

// batch gives the oldest ones that fit into a message.
func (q *queue) batch() []messages.Acknowledgement {
	size := 0
	for i := range q.entries {
		entry := &q.entries[i]
		size += len(entry.Output)
		for _, piece := range entry.Events {
			size += len(piece)
		}
		if i > 0 && (i >= constants.AckEntries || size > constants.AckBytes) {
			return append([]messages.Acknowledgement(nil), q.entries[:i]...)
		}
	}
	return append([]messages.Acknowledgement(nil), q.entries...)
}

// answered takes the verdicts on a batch: what is still unknown is repeated, under
// the same acquisition number.
func (q *queue) answered(batch []messages.Acknowledgement, verdicts []messages.AckVerdict) {
	known := map[uint64]bool{}
	for i := range batch {
		if i < len(verdicts) && verdicts[i] != messages.AckUnknown {
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
	r.results.answered(batch, verdicts)
	r.releases.answered(batch, verdicts)
}

// Unacknowledged is how many acknowledgements are not answered yet.
func (r *Runner) Unacknowledged() int {
	return len(r.results.entries) + len(r.releases.entries)
}
