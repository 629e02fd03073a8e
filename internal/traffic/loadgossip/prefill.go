package loadgossip

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// The prefill of a long prompt delays all requests that are placed on the worker behind it. So the
// nodes that may place requests there are notified immediately: all nodes in a small fleet, and in a
// large one those nodes of the worker's zone that consider this worker, in both cases at most
// constants.PrefillFanout of them. In a large fleet, a process of another zone sends the notice to one
// node of the worker's zone, which forwards it.

// notifyPrefill reports that a worker has to prefill a long prompt. It is called with the
// scheduler's lock held, so it sends in the background.
func (g *Gossip) notifyPrefill(worker string, milliseconds float64) {
	notice := &messages.PrefillNotice{From: membership.Key(g.Node.Self), Worker: worker, Prefill: milliseconds}
	go g.forwardPrefill(notice, true)
}

// forwardPrefill sends a notice to the nodes that may place requests on the worker. first is false
// if the notice was received from another zone; it is then not sent to a third zone.
func (g *Gossip) forwardPrefill(notice *messages.PrefillNotice, first bool) {
	peers := g.currentPeers()
	zone := g.Scheduler.ZoneOf(notice.Worker)
	if zone == g.Node.Self.Zone {
		selected, part := g.Scheduler.NodesFor(notice.Worker, peers.sameZone)
		if !part {
			selected = peers.prefillPeers
		}
		g.notifyAll(selected[:min(len(selected), constants.PrefillFanout)], messages.KindPrefill, notice)
		return
	}
	if _, part := g.Scheduler.NodesFor(notice.Worker, nil); !part {
		g.notifyAll(peers.prefillPeers, messages.KindPrefill, notice)
		return
	}
	if !first {
		return
	}
	for _, others := range peers.byZone {
		if others[0].Zone == zone {
			forwarded := *notice
			forwarded.Forward = true
			g.notifyAll(others[int(randomFraction()*float64(len(others))):][:1], messages.KindPrefill, &forwarded)
		}
	}
}

func (g *Gossip) handlePrefill(notice *messages.PrefillNotice) (*messages.Ack, error) {
	g.Scheduler.HandlePrefill(notice, clock.Now())
	if notice.Forward {
		forwarded := *notice
		forwarded.Forward = false
		g.forwardPrefill(&forwarded, false)
	}
	return &messages.Ack{Accepted: true}, nil
}
