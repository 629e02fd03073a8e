package loadgossip

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// tell sends one way; each in its own goroutine, since one that must be dialled must
// not hold the others up.
func (g *Gossip) tell(entries []messages.NodeInfo, kind messages.Kind, message transport.Marshaler) {
	for _, entry := range entries {
		go func() { _ = transport.Notify(g.Node.Transport, entry.Address, kind, message) }()
	}
}

// gossip tells what changed most to a few neighbours, and now and then to another zone.
func (g *Gossip) gossip() {
	packet := g.Scheduler.Gossip(clock.Now())
	packet.Generation = g.Node.Generation()
	circle := g.lookAround()
	told := append([]messages.NodeInfo(nil), circle.gossip...)
	now := clock.Now()
	g.lock.Lock()
	// In a zone of few everybody tells everybody already.
	if len(circle.near) > constants.GossipFanout && g.ties.lonely(now) {
		packet.ReplyTo = g.Node.Self.Address
	}
	told = append(told, g.ties.adopted(told, now)...)
	g.lock.Unlock()
	if entry, drawn := circle.across(draw); drawn {
		told = append(told, entry)
	}
	g.tell(told, messages.KindGossip, packet)
	placements, downgrades, alert := g.Scheduler.Alert()
	if alert && !g.alerted {
		g.Node.Log.Warn("residency downgrades above threshold", "residency_route_downgrades", downgrades, "placements", placements)
	}
	g.alerted = alert
	g.logDisplacement()
}

func (g *Gossip) gossiped(packet *messages.Gossip) (*messages.Ack, error) {
	now := clock.Now()
	g.Scheduler.Heard(packet, now)
	g.lock.Lock()
	g.ties.heard(packet, now)
	g.lock.Unlock()
	g.Node.NoteContact(packet.From)
	g.Node.ObserveGeneration(packet.Generation)
	return &messages.Ack{Accepted: true}, nil
}

// press tells at once that requests wait here, so that work of a lower rank makes
// room well before the next gossip: a few stores, which pass it on among themselves,
// and the neighbours. Each yields its part of what waits.
func (g *Gossip) press(words []messages.Pressure) {
	circle := g.about()
	told := &messages.PressureNotice{From: membership.Key(g.Node.Self), Entries: words, Hops: constants.PressureHops}
	stores := someStores(circle.near, circle.far, draw)
	told.Sharers = len(stores)
	g.tell(stores, messages.KindPressure, told)
	shared := *told
	shared.Hops, shared.Sharers = 0, len(circle.gateways)+1
	g.tell(circle.gateways, messages.KindPressure, &shared)
}

func (g *Gossip) pressed(told *messages.PressureNotice) (*messages.Ack, error) {
	now := clock.Now()
	if told.Sharers > 0 {
		g.Scheduler.Pressed(told, told.Sharers, now)
	} else {
		g.Scheduler.Noted(told, now)
	}
	if told.Hops > 0 && g.mayPass(now) {
		// Who has it at second hand starts nothing new for a while; the places
		// themselves are given up by those who were asked.
		circle := g.about()
		further := *told
		further.Hops, further.Sharers = told.Hops-1, 0
		g.tell(someStores(circle.near, circle.far, draw), messages.KindPressure, &further)
	}
	return &messages.Ack{Accepted: true}, nil
}

// mayPass bounds how much of others' pressure a process passes on, whatever their
// number.
func (g *Gossip) mayPass(now clock.Instant) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.passedAt != 0 && now.Sub(g.passedAt) < constants.PressurePeriod/2 {
		return false
	}
	g.passedAt = now
	return true
}

// someStores draws a few stores: of the own zone, which run items on the workers
// there, and one of another, so that each is reached in its turn.
func someStores(near, far []messages.NodeInfo, draw func() float64) []messages.NodeInfo {
	here, there := only(near, membership.RoleStore), only(far, membership.RoleStore)
	var chosen []messages.NodeInfo
	take := func(from *[]messages.NodeInfo, limit int) {
		for list := *from; len(list) > 0 && len(chosen) < limit; list = *from {
			place := int(draw() * float64(len(list)))
			chosen = append(chosen, list[place])
			list[place] = list[len(list)-1]
			*from = list[:len(list)-1]
		}
	}
	take(&here, constants.PressureFanout-1)
	take(&there, constants.PressureFanout)
	take(&here, constants.PressureFanout)
	return chosen
}

func only(entries []messages.NodeInfo, role string) []messages.NodeInfo {
	var found []messages.NodeInfo
	for _, entry := range entries {
		if entry.Role == role {
			found = append(found, entry)
		}
	}
	return found
}
