package loadgossip

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// A long prompt holds up whoever is placed behind it, so those are notified at once who
// may place there: in a small fleet all, in a large one the nodes of the worker's zone
// that consider it, by way of one of them.

// notifyPrefill reports that a worker prefills a long prompt. It is called under the
// admission's lock.
func (g *Gossip) notifyPrefill(worker string, milliseconds float64) {
	notice := &messages.PrefillNotice{From: membership.Key(g.Node.Self), Worker: worker, Prefill: milliseconds}
	go g.forwardPrefill(notice, true)
}

// forwardPrefill sends a notice on; first is false for one that came from another zone.
func (g *Gossip) forwardPrefill(notice *messages.PrefillNotice, first bool) {
	peers := g.currentPeers()
	zone := g.Scheduler.ZoneOf(notice.Worker)
	if zone == g.Node.Self.Zone {
		selected, part := g.Scheduler.NodesFor(notice.Worker, peers.sameZone)
		if !part {
			selected = peers.prefillPeers
		}
		g.notifyAll(selected[:min(len(selected), constants.ReadingFanout)], messages.KindPrefill, notice)
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
