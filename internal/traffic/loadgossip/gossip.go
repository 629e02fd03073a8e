package loadgossip

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// notifyAll sends a one-way message to each recipient, in a goroutine of its own, so that a
// recipient that has to be dialled first does not delay the others.
func (g *Gossip) notifyAll(recipients []messages.NodeInfo, kind messages.Kind, message transport.Marshaler) {
	for _, recipient := range recipients {
		go func() { _ = transport.Notify(g.Node.Transport, recipient.Address, kind, message) }()
	}
}

// gossipRound sends this process's gossip packet (Scheduler.MakeGossip) to a few neighbours and to
// the peers that requested it, and in some rounds also to a node of another zone.
func (g *Gossip) gossipRound() {
	packet := g.Scheduler.MakeGossip(clock.Now())
	packet.Generation = g.Node.Generation()
	peers := g.refreshPeers()
	recipients := append([]messages.NodeInfo(nil), peers.gossipPeers...)
	now := clock.Now()
	g.lock.Lock()
	// In a zone of few nodes each node already notifies all others.
	if len(peers.sameZone) > constants.GossipFanout && g.replyPeers.hasFewSenders(now) {
		packet.ReplyTo = g.Node.Self.Address
	}
	recipients = append(recipients, g.replyPeers.missingFrom(recipients, now)...)
	g.lock.Unlock()
	if peer, selected := peers.pickOtherZone(randomFraction); selected {
		recipients = append(recipients, peer)
	}
	g.notifyAll(recipients, messages.KindGossip, packet)
	placements, downgrades, alert := g.Scheduler.DowngradeAlert()
	if alert && !g.alerted {
		g.Node.Log.Warn("residency downgrade threshold exceeded", "residency_route_downgrades", downgrades, "placements", placements)
	}
	g.alerted = alert
	g.logPreemptionCounts()
}

func (g *Gossip) handleGossip(packet *messages.Gossip) (*messages.Ack, error) {
	now := clock.Now()
	g.Scheduler.HandleGossip(packet, now)
	g.lock.Lock()
	g.replyPeers.observe(packet, now)
	g.lock.Unlock()
	g.Node.NoteContact(packet.From)
	g.Node.ObserveGeneration(packet.Generation)
	return &messages.Ack{Accepted: true}, nil
}

// notifyPressure reports immediately that requests are waiting at this process, so that work of
// lower priority yields well before the next gossip round. The notice is sent to a few stores, which
// forward it to other stores, and to the neighbouring gateways. Each process that receives it
// directly yields its share of the number of waiting requests.
func (g *Gossip) notifyPressure(entries []messages.Pressure) {
	peers := g.currentPeers()
	notice := &messages.PressureNotice{From: membership.Key(g.Node.Self), Entries: entries, Hops: constants.PressureHops}
	stores := pickStores(peers.sameZone, peers.otherZones, randomFraction)
	notice.Sharers = len(stores)
	g.notifyAll(stores, messages.KindPressure, notice)
	shared := *notice
	shared.Hops, shared.Sharers = 0, len(peers.gatewayPeers)+1
	g.notifyAll(peers.gatewayPeers, messages.KindPressure, &shared)
}

func (g *Gossip) handlePressure(notice *messages.PressureNotice) (*messages.Ack, error) {
	now := clock.Now()
	if notice.Sharers > 0 {
		g.Scheduler.YieldToPressure(notice, notice.Sharers, now)
	} else {
		g.Scheduler.ObservePressure(notice, now)
	}
	if notice.Hops > 0 && g.mayForward(now) {
		// Receivers of a forwarded notice only start no new work for a while. The slots are
		// released by the direct receivers of the notice.
		peers := g.currentPeers()
		forwarded := *notice
		forwarded.Hops, forwarded.Sharers = notice.Hops-1, 0
		g.notifyAll(pickStores(peers.sameZone, peers.otherZones, randomFraction), messages.KindPressure, &forwarded)
	}
	return &messages.Ack{Accepted: true}, nil
}

// mayForward reports whether a pressure notice may be forwarded now. It limits the rate at which a
// process forwards the notices of others, however many senders there are.
func (g *Gossip) mayForward(now clock.Instant) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.pressureForwardedAt != 0 && now.Sub(g.pressureForwardedAt) < constants.PressurePeriod/2 {
		return false
	}
	g.pressureForwardedAt = now
	return true
}

// pickStores picks constants.PressureFanout stores at random: from this process's zone, since those
// run items on the workers there, and one from another zone, so that over time each store is reached.
// If one group has too few stores, the rest is taken from the other group.
func pickStores(sameZone, otherZones []messages.NodeInfo, random func() float64) []messages.NodeInfo {
	local, remote := withRole(sameZone, membership.RoleStore), withRole(otherZones, membership.RoleStore)
	var chosen []messages.NodeInfo
	take := func(from *[]messages.NodeInfo, limit int) {
		for list := *from; len(list) > 0 && len(chosen) < limit; list = *from {
			position := int(random() * float64(len(list)))
			chosen = append(chosen, list[position])
			list[position] = list[len(list)-1]
			*from = list[:len(list)-1]
		}
	}
	take(&local, constants.PressureFanout-1)
	take(&remote, constants.PressureFanout)
	take(&local, constants.PressureFanout)
	return chosen
}

func withRole(nodes []messages.NodeInfo, role string) []messages.NodeInfo {
	var found []messages.NodeInfo
	for _, node := range nodes {
		if node.Role == role {
			found = append(found, node)
		}
	}
	return found
}
