package loadgossip

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// notifyAll sends one way; each in its own goroutine, since one that must be dialled must
// not hold the others up.
func (g *Gossip) notifyAll(entries []messages.NodeInfo, kind messages.Kind, message transport.Marshaler) {
	for _, entry := range entries {
		go func() { _ = transport.Notify(g.Node.Transport, entry.Address, kind, message) }()
	}
}

// gossipRound sends what changed most to a few neighbours, and now and then to another zone.
func (g *Gossip) gossipRound() {
	packet := g.Scheduler.MakeGossip(clock.Now())
	packet.Generation = g.Node.Generation()
	peers := g.refreshPeers()
	recipients := append([]messages.NodeInfo(nil), peers.gossipPeers...)
	now := clock.Now()
	g.lock.Lock()
	// In a zone of few everybody notifies everybody already.
	if len(peers.sameZone) > constants.GossipFanout && g.replyPeers.hasFewSenders(now) {
		packet.ReplyTo = g.Node.Self.Address
	}
	recipients = append(recipients, g.replyPeers.unlisted(recipients, now)...)
	g.lock.Unlock()
	if entry, selected := peers.pickOtherZone(randomFraction); selected {
		recipients = append(recipients, entry)
	}
	g.notifyAll(recipients, messages.KindGossip, packet)
	placements, downgrades, alert := g.Scheduler.Alert()
	if alert && !g.alerted {
		g.Node.Log.Warn("residency downgrades above threshold", "residency_route_downgrades", downgrades, "placements", placements)
	}
	g.alerted = alert
	g.logDisplacement()
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

// notifyPressure reports at once that requests wait here, so that work of a lower rank
// yields well before the next gossip: to a few stores, which forward it among themselves,
// and to the neighbours. Each yields its part of what waits.
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
		// Who has it at second hand starts nothing new for a while; the slots
		// themselves are given up by those who were asked.
		peers := g.currentPeers()
		forwarded := *notice
		forwarded.Hops, forwarded.Sharers = notice.Hops-1, 0
		g.notifyAll(pickStores(peers.sameZone, peers.otherZones, randomFraction), messages.KindPressure, &forwarded)
	}
	return &messages.Ack{Accepted: true}, nil
}

// mayForward bounds how much of others' pressure a process forwards, whatever their
// number.
func (g *Gossip) mayForward(now clock.Instant) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.forwardedAt != 0 && now.Sub(g.forwardedAt) < constants.PressurePeriod/2 {
		return false
	}
	g.forwardedAt = now
	return true
}

// pickStores picks a few stores at random: of the own zone, which run items on the workers
// there, and one of another, so that each is reached in its turn.
func pickStores(near, far []messages.NodeInfo, random func() float64) []messages.NodeInfo {
	here, others := withRole(near, membership.RoleStore), withRole(far, membership.RoleStore)
	var chosen []messages.NodeInfo
	take := func(from *[]messages.NodeInfo, limit int) {
		for list := *from; len(list) > 0 && len(chosen) < limit; list = *from {
			position := int(random() * float64(len(list)))
			chosen = append(chosen, list[position])
			list[position] = list[len(list)-1]
			*from = list[:len(list)-1]
		}
	}
	take(&here, constants.PressureFanout-1)
	take(&others, constants.PressureFanout)
	take(&here, constants.PressureFanout)
	return chosen
}

func withRole(entries []messages.NodeInfo, role string) []messages.NodeInfo {
	var found []messages.NodeInfo
	for _, entry := range entries {
		if entry.Role == role {
			found = append(found, entry)
		}
	}
	return found
}
