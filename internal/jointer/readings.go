package jointer

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// A long prompt holds up whoever is placed behind it, so those are told at once who
// may place there: in a small fleet all, in a large one the nodes of the worker's hall
// that draw it, by way of one of them.

// tellReading tells that a worker reads a long prompt. It is called under the
// workbench's lock.
func (jointer *Jointer) tellReading(worker string, milliseconds float64) {
	told := &pattern.ReadingTold{From: bellows.Key(jointer.Stand.Own), Worker: worker, Reading: milliseconds}
	go jointer.spreadReading(told, true)
}

// spreadReading tells it on; first is false for a word that came from another hall.
func (jointer *Jointer) spreadReading(told *pattern.ReadingTold, first bool) {
	circle := jointer.about()
	hall := jointer.Bench.HallOf(told.Worker)
	if hall == jointer.Stand.Own.Hall {
		drawn, part := jointer.Bench.DrawnBy(told.Worker, circle.near)
		if !part {
			drawn = circle.readings
		}
		jointer.tell(drawn[:min(len(drawn), almanac.ReadingFanout)], pattern.KindReading, told)
		return
	}
	if _, part := jointer.Bench.DrawnBy(told.Worker, nil); !part {
		jointer.tell(circle.readings, pattern.KindReading, told)
		return
	}
	if !first {
		return
	}
	for _, there := range circle.halls {
		if there[0].Hall == hall {
			further := *told
			further.Pass = true
			jointer.tell(there[int(draw()*float64(len(there))):][:1], pattern.KindReading, &further)
		}
	}
}

func (jointer *Jointer) reads(body []byte) ([]byte, error) {
	told := &pattern.ReadingTold{}
	if failure := tongs.Read(body, told); failure != nil {
		return nil, failure
	}
	jointer.Bench.PeerReads(told, watch.Now())
	if told.Pass {
		further := *told
		further.Pass = false
		jointer.spreadReading(&further, false)
	}
	return tongs.Write(&pattern.Nothing{Taken: true})
}
