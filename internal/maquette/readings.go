package maquette

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
)

// spreadReading tells of a long prompt as jointer does: in the worker's zone those who
// draw it, and one process there where that is another zone; first is false for a word
// that came from there.
func (gossip *gossip) spreadReading(node *Node, own *placing, told *pattern.ReadingTold, first bool) {
	hall := own.bench.HallOf(told.Worker)
	if hall == node.own.Hall {
		drawn, part := own.bench.DrawnBy(told.Worker, own.around.near)
		if !part {
			drawn = own.around.readings
		}
		node.tell(drawn[:min(len(drawn), almanac.ReadingFanout)], CoreReadings, pattern.KindReading, told)
		return
	}
	if _, part := own.bench.DrawnBy(told.Worker, nil); !part {
		node.tell(own.around.readings, CoreReadings, pattern.KindReading, told)
		return
	}
	if !first {
		return
	}
	for _, there := range own.around.halls {
		if there[0].Hall == hall {
			further := *told
			further.Pass = true
			node.tell([]pattern.Entry{there[node.random.Intn(len(there))]}, CoreReadings, pattern.KindReading, &further)
		}
	}
}
