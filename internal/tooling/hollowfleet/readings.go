package hollowfleet

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// forwardPrefill tells of a long prompt as loadgossip does: in the worker's zone those who
// draw it, and one process there where that is another zone; first is false for a notice
// that came from there.
func (g *gossip) spreadReading(node *Node, own *placing, told *messages.PrefillNotice, first bool) {
	zone := own.scheduler.ZoneOf(told.Worker)
	if zone == node.own.Zone {
		drawn, part := own.scheduler.NodesFor(told.Worker, own.neighbours.near)
		if !part {
			drawn = own.neighbours.readings
		}
		node.tell(drawn[:min(len(drawn), constants.ReadingFanout)], CoreReadings, messages.KindPrefill, told)
		return
	}
	if _, part := own.scheduler.NodesFor(told.Worker, nil); !part {
		node.tell(own.neighbours.readings, CoreReadings, messages.KindPrefill, told)
		return
	}
	if !first {
		return
	}
	for _, there := range own.neighbours.zones {
		if there[0].Zone == zone {
			further := *told
			further.Forward = true
			node.tell([]messages.NodeInfo{there[node.random.Intn(len(there))]}, CoreReadings, messages.KindPrefill, &further)
		}
	}
}
