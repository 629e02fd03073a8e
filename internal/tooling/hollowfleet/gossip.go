package hollowfleet

import (
	"math"
	"sort"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/loadgossip"
)

// gossip drives the utilization and weights of admission, health and prefixindex as
// loadgossip does: bounded packets to a few neighbours, one way, once a period.
type gossip struct {
	fleet *Fleet
	ages  ages
	// near are the ages of observations of workers of the own zone.
	near ages
	// off adds up how many requests observations are off from what workers really have.
	off, offCount float64
	// The sums of what workers really have, for its mean and spread.
	had, hadSquares, full, hadCount float64
}

func newGossip(fleet *Fleet) *gossip { return &gossip{fleet: fleet} }

// Name names it.
func (*gossip) Name() string { return "gossip" }

// neighbours is whom a process tells.
type neighbours struct {
	near, far        []messages.NodeInfo
	zones            [][]messages.NodeInfo
	gossip, readings []messages.NodeInfo
	population       int
}

// zoneSize is how many placing processes a zone has.
func (n *neighbours) zoneSize() int {
	return max(len(n.near)+1, n.population/(len(n.zones)+1))
}

// Begin starts the gossip of a process that places work.
func (g *gossip) Begin(node *Node) any {
	if !node.places() {
		return nil
	}
	own := node.state[1].(*placing)
	node.answerers[messages.KindGossip] = reads(node, CoreGossip, func(packet *messages.Gossip) transport.Marshaler {
		own.scheduler.HandleGossip(packet, node.now())
		g.fleet.members.touched(node, packet.From)
		g.fleet.configuration.saw(node, packet.Generation)
		return taken()
	})
	node.answerers[messages.KindPrefill] = reads(node, CoreReadings, func(received *messages.PrefillNotice) transport.Marshaler {
		own.scheduler.HandlePrefill(received, node.now())
		if received.Forward {
			further := *received
			further.Forward = false
			node.after(0, func() { g.spreadReading(node, own, &further, false) })
		}
		return taken()
	})
	node.answerers[messages.KindPressure] = reads(node, CoreReadings, func(received *messages.PressureNotice) transport.Marshaler {
		own.scheduler.YieldToPressure(received, max(received.Sharers, 1), node.now())
		return taken()
	})
	own.scheduler.OnPrefill(func(worker string, milliseconds float64) {
		received := &messages.PrefillNotice{From: membership.Key(node.own), Worker: worker, Prefill: milliseconds}
		// Called under the admission's lock.
		node.after(0, func() { g.spreadReading(node, own, received, true) })
	})
	node.every(constants.GossipPeriod, func() { g.period(node, own) })
	return nil
}

// Drop has nothing of its own: health and index go with the workers.
func (*gossip) Drop(*Node) {}

func (g *gossip) period(node *Node, own *placing) {
	var packet *messages.Gossip
	var received []messages.NodeInfo
	node.step(CoreGossip, func() {
		packet = own.scheduler.MakeGossip(node.now())
		packet.Generation = node.generation
		view := g.fleet.members.view(node)
		own.neighbours = neighboursOf(node.own, view.All("", node.now()))
		own.neighbours.population = view.Population(membership.RoleGateway, node.now()) + view.Population(membership.RoleStore, node.now())
		received = append([]messages.NodeInfo(nil), own.neighbours.gossip...)
		// Each zone tells each other about once a period, however many it has.
		if zones := own.neighbours.zones; len(zones) > 0 && node.random.Float64() < float64(len(zones))/float64(own.neighbours.zoneSize()) {
			there := zones[node.random.Intn(len(zones))]
			received = append(received, there[node.random.Intn(len(there))])
		}
	})
	node.tell(received, CoreGossip, messages.KindGossip, packet)
}

// neighboursOf finds whom a process tells, as loadgossip does.
func neighboursOf(own messages.NodeInfo, known []messages.NodeInfo) neighbours {
	found := neighbours{}
	for _, entry := range known {
		switch {
		case entry.Role != membership.RoleGateway && entry.Role != membership.RoleStore,
			entry.Draining || entry.AgeMs >= constants.NeighbourAgeMax.Milliseconds():
		case entry.Zone == own.Zone:
			found.near = append(found.near, entry)
		default:
			found.far = append(found.far, entry)
		}
	}
	positions := map[string]int{}
	for _, entry := range found.far {
		i, known := positions[entry.Zone]
		if !known {
			i = len(found.zones)
			positions[entry.Zone] = i
			found.zones = append(found.zones, nil)
		}
		found.zones[i] = append(found.zones[i], entry)
	}
	sort.Slice(found.zones, func(left, right int) bool { return found.zones[left][0].Zone < found.zones[right][0].Zone })
	found.gossip = loadgossip.Neighbours(own, found.near, constants.GossipFanout)
	found.readings = loadgossip.Neighbours(own, found.near, constants.PrefillFanout)
	if left := constants.PrefillFanout - len(found.readings); left > 0 {
		found.readings = append(found.readings, loadgossip.Neighbours(own, found.far, left)...)
	}
	return found
}

// sample looks now and then at how old the observation is that processes have of workers, and
// how far it is from what these really have.
func (g *gossip) sample() {
	now := g.fleet.world.Now
	for _, node := range g.fleet.live("") {
		if !node.places() {
			continue
		}
		own := g.fleet.registrations.placing(node)
		for _, worker := range g.fleet.registrations.all {
			if worker.Phase != messages.PhaseSteady {
				continue
			}
			g.look(own.scheduler, worker.ID)
			_, at := own.scheduler.Tracker.HealthOf(worker.ID).Observed()
			g.ages.add(now.Sub(at), at > 0)
			if worker.Zone == node.own.Zone {
				g.near.add(now.Sub(at), at > 0)
			}
		}
	}
	for _, worker := range g.fleet.registrations.all {
		has := float64(g.fleet.traffic.running[worker.ID])
		g.had, g.hadSquares, g.hadCount = g.had+has, g.hadSquares+has*has, g.hadCount+1
		if has > float64(worker.Capacity) {
			g.full++
		}
	}
	g.fleet.world.After(seconds(5.3), g.sample)
}

// loads sums up what workers really had.
func (g *gossip) loads() WorkerLoads {
	count := max(g.hadCount, 1)
	mean := g.had / count
	return WorkerLoads{Mean: mean, Deviation: math.Sqrt(max(0, g.hadSquares/count-mean*mean)), OverFull: g.full / count,
		BelievedOff: g.off / max(g.offCount, 1)}
}

func (g *gossip) look(scheduler *admission.Scheduler, worker string) {
	believed := scheduler.Tracker.HealthOf(worker).Running(g.fleet.world.Now)
	g.off += math.Abs(float64(believed - g.fleet.traffic.running[worker]))
	g.offCount++
}
