package apprentice

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
)

// queue holds acknowledgements until they are answered.
type queue struct {
	entries []pattern.Acknowledgement
}

func (queue *queue) add(entry pattern.Acknowledgement) { queue.entries = append(queue.entries, entry) }

// batch gives the oldest ones that fit into a message.
func (queue *queue) batch() []pattern.Acknowledgement {
	size := 0
	for place := range queue.entries {
		entry := &queue.entries[place]
		size += len(entry.Text)
		for _, piece := range entry.Pieces {
			size += len(piece)
		}
		if place > 0 && (place >= almanac.AckEntries || size > almanac.AckBytes) {
			return append([]pattern.Acknowledgement(nil), queue.entries[:place]...)
		}
	}
	return append([]pattern.Acknowledgement(nil), queue.entries...)
}

// answered takes the verdicts on a batch: what is still unknown is repeated, under
// the same acquisition number.
func (queue *queue) answered(batch []pattern.Acknowledgement, verdicts []pattern.AckVerdict) {
	known := map[uint64]bool{}
	for place := range batch {
		if place < len(verdicts) && verdicts[place] != pattern.AckUnknown {
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
func (apprentice *Apprentice) Results() []pattern.Acknowledgement { return apprentice.durable.batch() }

// Returns gives a batch of releases.
func (apprentice *Apprentice) Returns() []pattern.Acknowledgement { return apprentice.soft.batch() }

// Answered takes the verdicts on a batch of either sort.
func (apprentice *Apprentice) Answered(batch []pattern.Acknowledgement, verdicts []pattern.AckVerdict) {
	apprentice.durable.answered(batch, verdicts)
	apprentice.soft.answered(batch, verdicts)
}

// Owing is how many acknowledgements are not answered yet.
func (apprentice *Apprentice) Owing() int {
	return len(apprentice.durable.entries) + len(apprentice.soft.entries)
}
