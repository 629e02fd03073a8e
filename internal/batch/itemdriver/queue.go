package itemdriver

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// queue holds acknowledgements until they are answered.
type queue struct {
	entries []messages.Acknowledgement
}

func (queue *queue) add(entry messages.Acknowledgement) { queue.entries = append(queue.entries, entry) }

// batch gives the oldest ones that fit into a message.
func (queue *queue) batch() []messages.Acknowledgement {
	size := 0
	for place := range queue.entries {
		entry := &queue.entries[place]
		size += len(entry.Text)
		for _, piece := range entry.Pieces {
			size += len(piece)
		}
		if place > 0 && (place >= constants.AckEntries || size > constants.AckBytes) {
			return append([]messages.Acknowledgement(nil), queue.entries[:place]...)
		}
	}
	return append([]messages.Acknowledgement(nil), queue.entries...)
}

// answered takes the verdicts on a batch: what is still unknown is repeated, under
// the same acquisition number.
func (queue *queue) answered(batch []messages.Acknowledgement, verdicts []messages.AckVerdict) {
	known := map[uint64]bool{}
	for place := range batch {
		if place < len(verdicts) && verdicts[place] != messages.AckUnknown {
			known[batch[place].Number] = true
		}
	}
	kept := queue.entries[:0]
	for _, entry := range queue.entries {
		if !known[entry.Number] {
			kept = append(kept, entry)
		}
	}
	// What is answered is given back: texts are long.
	clear(queue.entries[len(kept):])
	queue.entries = kept
}

// Results gives a batch of what ends items or counts against them; its answer waits
// for disks. Returns gives a batch of releases, which does not.
func (runner *Runner) Results() []messages.Acknowledgement { return runner.durable.batch() }

// Returns gives a batch of releases.
func (runner *Runner) Returns() []messages.Acknowledgement { return runner.soft.batch() }

// Answered takes the verdicts on a batch of either sort.
func (runner *Runner) Answered(batch []messages.Acknowledgement, verdicts []messages.AckVerdict) {
	runner.durable.answered(batch, verdicts)
	runner.soft.answered(batch, verdicts)
}

// Owing is how many acknowledgements are not answered yet.
func (runner *Runner) Owing() int {
	return len(runner.durable.entries) + len(runner.soft.entries)
}
