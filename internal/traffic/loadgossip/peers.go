package loadgossip

import (
	"hash/fnv"
	"sort"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/prefixindex"
)

// nameHash is a process's name as a number, from which its positions in the rings follow.
func nameHash(entry messages.NodeInfo) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(entry.Role))
	sum.Write([]byte{'/'})
	sum.Write([]byte(entry.Name))
	return sum.Sum64()
}

// ringPosition is the position in one of the rings. Names differ in their last bytes only, so
// these must move the whole number.
func ringPosition(name uint64, number int) uint64 {
	return prefixindex.MixBits(name + uint64(number+1)*0x9e3779b97f4a7c15)
}

// Neighbours gives whom a process notifies: its successor in each of so many rings, in
// which everybody stands by a hash of the name. Each is notified by as many as it notifies,
// nobody needs a list of all, and who comes or goes moves its own neighbours only.
func Neighbours(own messages.NodeInfo, entries []messages.NodeInfo, fanout int) []messages.NodeInfo {
	names := make([]uint64, len(entries))
	for position := range entries {
		names[position] = nameHash(entries[position])
	}
	myself := nameHash(own)
	var chosen []messages.NodeInfo
	for number := 0; number < 4*fanout && len(chosen) < min(fanout, len(entries)); number++ {
		i := ringPosition(myself, number)
		next, least := -1, uint64(0)
		for position, name := range names {
			// Unsigned: past the end of the ring it begins anew.
			if way := ringPosition(name, number) - i; name != myself && (next < 0 || way < least) {
				next, least = position, way
			}
		}
		if next >= 0 && !contains(chosen, entries[next]) {
			chosen = append(chosen, entries[next])
		}
	}
	return chosen
}

func contains(entries []messages.NodeInfo, member messages.NodeInfo) bool {
	for _, entry := range entries {
		if membership.Key(entry) == membership.Key(member) {
			return true
		}
	}
	return false
}

// peerSet is whom this process notifies, selected anew each period.
type peerSet struct {
	sameZone, otherZones                    []messages.NodeInfo
	byZone                                  [][]messages.NodeInfo
	population                              int
	gossipPeers, gatewayPeers, prefillPeers []messages.NodeInfo
}

// selectPeers makes the set from what is known of others. Nothing else needs to know
// how neighbours are found.
func selectPeers(own messages.NodeInfo, known []messages.NodeInfo) peerSet {
	found := peerSet{}
	for _, entry := range known {
		switch {
		case entry.Role != membership.RoleGateway && entry.Role != membership.RoleStore,
			entry.Draining || entry.AgeMs >= constants.NeighbourAge.Milliseconds():
		case entry.Zone == own.Zone:
			found.sameZone = append(found.sameZone, entry)
		default:
			found.otherZones = append(found.otherZones, entry)
		}
	}
	found.byZone = groupByZone(found.otherZones)
	found.gossipPeers = Neighbours(own, found.sameZone, constants.GossipFanout)
	found.gatewayPeers = Neighbours(own, withRole(found.sameZone, membership.RoleGateway), constants.GossipFanout)
	found.prefillPeers = Neighbours(own, found.sameZone, constants.ReadingFanout)
	if left := constants.ReadingFanout - len(found.prefillPeers); left > 0 {
		found.prefillPeers = append(found.prefillPeers, Neighbours(own, found.otherZones, left)...)
	}
	return found
}

// currentPeers gives the present set.
func (g *Gossip) currentPeers() peerSet {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.peers
}

// refreshPeers selects it anew.
func (g *Gossip) refreshPeers() peerSet {
	found := selectPeers(g.Node.Self, g.Node.All(""))
	found.population = g.Node.Population(membership.RoleGateway) + g.Node.Population(membership.RoleStore)
	g.lock.Lock()
	defer g.lock.Unlock()
	g.peers = found
	return found
}

// groupByZone parts processes by their zones, whose names come in order.
func groupByZone(entries []messages.NodeInfo) (zones [][]messages.NodeInfo) {
	positions := map[string]int{}
	for _, entry := range entries {
		position, known := positions[entry.Zone]
		if !known {
			position = len(zones)
			positions[entry.Zone] = position
			zones = append(zones, nil)
		}
		zones[position] = append(zones[position], entry)
	}
	sort.Slice(zones, func(left, right int) bool { return zones[left][0].Zone < zones[right][0].Zone })
	return zones
}

// zoneSize is how many placing processes a zone has, this one's as far as it is in
// view, else the mean.
func (c *peerSet) zoneSize() int {
	return max(len(c.sameZone)+1, c.population/(len(c.byZone)+1))
}

// pickOtherZone decides at random whether this process notifies somebody in another zone this period: each
// zone notifies each other about once, however many processes it has.
func (c *peerSet) pickOtherZone(random func() float64) (messages.NodeInfo, bool) {
	if len(c.byZone) == 0 || random() >= float64(len(c.byZone))/float64(c.zoneSize()) {
		return messages.NodeInfo{}, false
	}
	others := c.byZone[int(random()*float64(len(c.byZone)))]
	return others[int(random()*float64(len(others)))], true
}

// randomFraction is a random number in [0, 1).
func randomFraction() float64 { return clock.Float64() }
