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

// nameHash returns a hash of a process's role and name, which determines its positions in the rings.
func nameHash(node messages.NodeInfo) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(node.Role))
	sum.Write([]byte{'/'})
	sum.Write([]byte(node.Name))
	return sum.Sum64()
}

// ringPosition returns the position of a name hash in one of the rings. Names differ only in their
// last bytes, so the hash is mixed for these to affect all bits of the position.
func ringPosition(hash uint64, ring int) uint64 {
	return prefixindex.MixBits(hash + uint64(ring+1)*0x9e3779b97f4a7c15)
}

// Neighbours returns the nodes that a process notifies: its successors in fanout hash rings, where
// the position of a process is a hash of its name. Further rings, up to 4*fanout in all, are used if
// some successors are the same node. Each process is thus notified by about as many processes as it
// notifies, no process needs a complete list, and a process that joins or leaves changes the
// neighbours only of the processes before it in the rings.
func Neighbours(own messages.NodeInfo, nodes []messages.NodeInfo, fanout int) []messages.NodeInfo {
	hashes := make([]uint64, len(nodes))
	for position := range nodes {
		hashes[position] = nameHash(nodes[position])
	}
	ownHash := nameHash(own)
	var chosen []messages.NodeInfo
	for ring := 0; ring < 4*fanout && len(chosen) < min(fanout, len(nodes)); ring++ {
		start := ringPosition(ownHash, ring)
		next, least := -1, uint64(0)
		for position, hash := range hashes {
			// Unsigned subtraction wraps around at the end of the ring.
			if distance := ringPosition(hash, ring) - start; hash != ownHash && (next < 0 || distance < least) {
				next, least = position, distance
			}
		}
		if next >= 0 && !contains(chosen, nodes[next]) {
			chosen = append(chosen, nodes[next])
		}
	}
	return chosen
}

func contains(nodes []messages.NodeInfo, member messages.NodeInfo) bool {
	for _, node := range nodes {
		if membership.Key(node) == membership.Key(member) {
			return true
		}
	}
	return false
}

// peerSet contains the nodes that this process notifies. It is selected anew in each gossip period.
// sameZone and otherZones are the known gateways and stores that are not draining; byZone groups
// otherZones by zone. population is the number of live gateways and stores in the fleet.
type peerSet struct {
	sameZone, otherZones                    []messages.NodeInfo
	byZone                                  [][]messages.NodeInfo
	population                              int
	gossipPeers, gatewayPeers, prefillPeers []messages.NodeInfo
}

// selectPeers selects the peers to notify from the known nodes. No other function depends on how they
// are selected.
func selectPeers(own messages.NodeInfo, known []messages.NodeInfo) peerSet {
	selected := peerSet{}
	for _, node := range known {
		switch {
		case node.Role != membership.RoleGateway && node.Role != membership.RoleStore,
			node.Draining || node.AgeMs >= constants.NeighbourAgeMax.Milliseconds():
		case node.Zone == own.Zone:
			selected.sameZone = append(selected.sameZone, node)
		default:
			selected.otherZones = append(selected.otherZones, node)
		}
	}
	selected.byZone = groupByZone(selected.otherZones)
	selected.gossipPeers = Neighbours(own, selected.sameZone, constants.GossipFanout)
	selected.gatewayPeers = Neighbours(own, withRole(selected.sameZone, membership.RoleGateway), constants.GossipFanout)
	selected.prefillPeers = Neighbours(own, selected.sameZone, constants.PrefillFanout)
	if remaining := constants.PrefillFanout - len(selected.prefillPeers); remaining > 0 {
		selected.prefillPeers = append(selected.prefillPeers, Neighbours(own, selected.otherZones, remaining)...)
	}
	return selected
}

// currentPeers returns the set selected last.
func (g *Gossip) currentPeers() peerSet {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.peers
}

// refreshPeers selects a new set from the known nodes, stores it and returns it.
func (g *Gossip) refreshPeers() peerSet {
	selected := selectPeers(g.Node.Self, g.Node.All(""))
	selected.population = g.Node.Population(membership.RoleGateway) + g.Node.Population(membership.RoleStore)
	g.lock.Lock()
	defer g.lock.Unlock()
	g.peers = selected
	return selected
}

// groupByZone groups nodes by zone. The groups are sorted by the name of the zone.
func groupByZone(nodes []messages.NodeInfo) (zones [][]messages.NodeInfo) {
	positions := map[string]int{}
	for _, node := range nodes {
		position, known := positions[node.Zone]
		if !known {
			position = len(zones)
			positions[node.Zone] = position
			zones = append(zones, nil)
		}
		zones[position] = append(zones[position], node)
	}
	sort.Slice(zones, func(left, right int) bool { return zones[left][0].Zone < zones[right][0].Zone })
	return zones
}

// zoneSize returns the number of gateways and stores in this process's zone: the number known to
// this process, or the mean over all zones if that is larger.
func (p *peerSet) zoneSize() int {
	return max(len(p.sameZone)+1, p.population/(len(p.byZone)+1))
}

// pickOtherZone picks at random whether this process notifies a node of another zone in this period,
// and which one. On average each zone notifies each other zone about once per period, however many
// processes it has.
func (p *peerSet) pickOtherZone(random func() float64) (messages.NodeInfo, bool) {
	if len(p.byZone) == 0 || random() >= float64(len(p.byZone))/float64(p.zoneSize()) {
		return messages.NodeInfo{}, false
	}
	others := p.byZone[int(random()*float64(len(p.byZone)))]
	return others[int(random()*float64(len(others)))], true
}

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 { return clock.Float64() }
