package hollowfleet

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// forwardPrefill tells of a long prompt as loadgossip does: in the worker's zone those who
// draw it, and one process there where that is another zone; first is false for a notice
// that came from there.
func (g *gossip) spreadReading(node *Node, own *placing, received *messages.PrefillNotice, first bool) {
	zone := own.scheduler.ZoneOf(received.Worker)
	if zone == node.own.Zone {
		chosen, part := own.scheduler.NodesFor(received.Worker, own.neighbours.near)
		if !part {
			chosen = own.neighbours.readings
		}
		node.tell(chosen[:min(len(chosen), constants.PrefillFanout)], CoreReadings, messages.KindPrefill, received)
		return
	}
	if _, part := own.scheduler.NodesFor(received.Worker, nil); !part {
		node.tell(own.neighbours.readings, CoreReadings, messages.KindPrefill, received)
		return
	}
	if !first {
		return
	}
	for _, there := range own.neighbours.zones {
		if there[0].Zone == zone {
			further := *received
			further.Forward = true
			node.tell([]messages.NodeInfo{there[node.random.Intn(len(there))]}, CoreReadings, messages.KindPrefill, &further)
		}
	}
}
