package loadgossip

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// A long prompt holds up whoever is placed behind it, so those are told at once who
// may place there: in a small fleet all, in a large one the nodes of the worker's zone
// that draw it, by way of one of them.

// tellReading tells that a worker reads a long prompt. It is called under the
// admission's lock.
func (g *Gossip) tellReading(worker string, milliseconds float64) {
	told := &messages.PrefillNotice{From: membership.Key(g.Node.Self), Worker: worker, Prefill: milliseconds}
	go g.spreadReading(told, true)
}

// spreadReading tells it on; first is false for a word that came from another zone.
func (g *Gossip) spreadReading(told *messages.PrefillNotice, first bool) {
	circle := g.about()
	zone := g.Scheduler.ZoneOf(told.Worker)
	if zone == g.Node.Self.Zone {
		drawn, part := g.Scheduler.DrawnBy(told.Worker, circle.near)
		if !part {
			drawn = circle.readings
		}
		g.tell(drawn[:min(len(drawn), constants.ReadingFanout)], messages.KindPrefill, told)
		return
	}
	if _, part := g.Scheduler.DrawnBy(told.Worker, nil); !part {
		g.tell(circle.readings, messages.KindPrefill, told)
		return
	}
	if !first {
		return
	}
	for _, there := range circle.zones {
		if there[0].Zone == zone {
			further := *told
			further.Forward = true
			g.tell(there[int(draw()*float64(len(there))):][:1], messages.KindPrefill, &further)
		}
	}
}

func (g *Gossip) reads(told *messages.PrefillNotice) (*messages.Ack, error) {
	g.Scheduler.PeerReads(told, clock.Now())
	if told.Forward {
		further := *told
		further.Forward = false
		g.spreadReading(&further, false)
	}
	return &messages.Ack{Accepted: true}, nil
}
