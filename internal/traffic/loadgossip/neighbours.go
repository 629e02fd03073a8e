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

// draws is a process's name as a number, from which its places in the rings follow.
func draws(entry messages.NodeInfo) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(entry.Role))
	sum.Write([]byte{'/'})
	sum.Write([]byte(entry.Name))
	return sum.Sum64()
}

// ring is the place in one of the rings. Names differ in their last bytes only, so
// these must move the whole number.
func ring(name uint64, number int) uint64 {
	return prefixindex.Mix(name + uint64(number+1)*0x9e3779b97f4a7c15)
}

// Neighbours gives whom a process tells: its successor in each of so many rings, in
// which everybody stands by a hash of the name. Each is told by as many as it tells,
// nobody needs a list of all, and who comes or goes moves its own neighbours only.
func Neighbours(own messages.NodeInfo, entries []messages.NodeInfo, fanout int) []messages.NodeInfo {
	names := make([]uint64, len(entries))
	for position := range entries {
		names[position] = draws(entries[position])
	}
	myself := draws(own)
	var chosen []messages.NodeInfo
	for number := 0; number < 4*fanout && len(chosen) < min(fanout, len(entries)); number++ {
		place := ring(myself, number)
		next, least := -1, uint64(0)
		for position, name := range names {
			// Unsigned: past the end of the ring it begins anew.
			if way := ring(name, number) - place; name != myself && (next < 0 || way < least) {
				next, least = position, way
			}
		}
		if next >= 0 && !holds(chosen, entries[next]) {
			chosen = append(chosen, entries[next])
		}
	}
	return chosen
}

func holds(entries []messages.NodeInfo, one messages.NodeInfo) bool {
	for _, entry := range entries {
		if membership.Key(entry) == membership.Key(one) {
			return true
		}
	}
	return false
}

// circle is whom this process tells, found anew each period.
type circle struct {
	near, far                  []messages.NodeInfo
	zones                      [][]messages.NodeInfo
	population                 int
	gossip, gateways, readings []messages.NodeInfo
}

// around finds the circle from what is known of others. Nothing else needs to know
// how neighbours are found.
func around(own messages.NodeInfo, known []messages.NodeInfo) circle {
	found := circle{}
	for _, entry := range known {
		switch {
		case entry.Role != membership.RoleGateway && entry.Role != membership.RoleStore,
			entry.Draining || entry.AgeMs >= constants.NeighbourAge.Milliseconds():
		case entry.Zone == own.Zone:
			found.near = append(found.near, entry)
		default:
			found.far = append(found.far, entry)
		}
	}
	found.zones = byZone(found.far)
	found.gossip = Neighbours(own, found.near, constants.GossipFanout)
	found.gateways = Neighbours(own, only(found.near, membership.RoleGateway), constants.GossipFanout)
	found.readings = Neighbours(own, found.near, constants.ReadingFanout)
	if left := constants.ReadingFanout - len(found.readings); left > 0 {
		found.readings = append(found.readings, Neighbours(own, found.far, left)...)
	}
	return found
}

// about gives the present circle.
func (g *Gossip) about() circle {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.circle
}

// lookAround finds it anew.
func (g *Gossip) lookAround() circle {
	found := around(g.Node.Self, g.Node.All(""))
	found.population = g.Node.Population(membership.RoleGateway) + g.Node.Population(membership.RoleStore)
	g.lock.Lock()
	defer g.lock.Unlock()
	g.circle = found
	return found
}

// byZone parts processes by their zones, whose names come in order.
func byZone(entries []messages.NodeInfo) (zones [][]messages.NodeInfo) {
	places := map[string]int{}
	for _, entry := range entries {
		place, known := places[entry.Zone]
		if !known {
			place = len(zones)
			places[entry.Zone] = place
			zones = append(zones, nil)
		}
		zones[place] = append(zones[place], entry)
	}
	sort.Slice(zones, func(left, right int) bool { return zones[left][0].Zone < zones[right][0].Zone })
	return zones
}

// zoneSize is how many placing processes a zone has, this one's as far as it is in
// view, else the mean.
func (c *circle) zoneSize() int {
	return max(len(c.near)+1, c.population/(len(c.zones)+1))
}

// across draws whether this process tells somebody in another zone this period: each
// zone tells each other about once, however many processes it has.
func (c *circle) across(draw func() float64) (messages.NodeInfo, bool) {
	if len(c.zones) == 0 || draw() >= float64(len(c.zones))/float64(c.zoneSize()) {
		return messages.NodeInfo{}, false
	}
	there := c.zones[int(draw()*float64(len(c.zones)))]
	return there[int(draw()*float64(len(there)))], true
}

// draw is the chance of a running process.
func draw() float64 { return clock.Float64() }
