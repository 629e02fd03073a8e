package maquette

import (
	"math"
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/jointer"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/workbench"
)

// gossip drives the utilization and weights of workbench, gauge and plumbline as
// jointer does: bounded packets to a few neighbours, one way, once a period.
type gossip struct {
	fleet *Fleet
	ages  ages
	// near are the ages of words on workers of the own zone.
	near ages
	// off adds up how many requests words are off from what workers really have.
	off, offCount float64
	// The sums of what workers really have, for its mean and spread.
	had, hadSquares, full, hadCount float64
}

func newGossip(fleet *Fleet) *gossip { return &gossip{fleet: fleet} }

// Name names it.
func (*gossip) Name() string { return "gossip" }

// circle is whom a process tells.
type circle struct {
	near, far        []pattern.Entry
	halls            [][]pattern.Entry
	gossip, readings []pattern.Entry
	population       int
}

// zoneSize is how many placing processes a zone has.
func (circle *circle) zoneSize() int {
	return max(len(circle.near)+1, circle.population/(len(circle.halls)+1))
}

// Begin starts the gossip of a process that places work.
func (gossip *gossip) Begin(node *Node) any {
	if !node.places() {
		return nil
	}
	own := node.state[1].(*placing)
	node.answerers[pattern.KindGossip] = reads(node, CoreGossip, func(packet *pattern.Gossip) tongs.Writable {
		own.bench.Heard(packet, node.now())
		gossip.fleet.members.touched(node, packet.From)
		gossip.fleet.register.saw(node, packet.Generation)
		return taken()
	})
	node.answerers[pattern.KindReading] = reads(node, CoreReadings, func(told *pattern.ReadingTold) tongs.Writable {
		own.bench.PeerReads(told, node.now())
		if told.Pass {
			further := *told
			further.Pass = false
			node.after(0, func() { gossip.spreadReading(node, own, &further, false) })
		}
		return taken()
	})
	node.answerers[pattern.KindPressure] = reads(node, CoreReadings, func(told *pattern.PressureTold) tongs.Writable {
		own.bench.Pressed(told, max(told.Sharers, 1), node.now())
		return taken()
	})
	own.bench.OnReading(func(worker string, milliseconds float64) {
		told := &pattern.ReadingTold{From: bellows.Key(node.own), Worker: worker, Reading: milliseconds}
		// Called under the workbench's lock.
		node.after(0, func() { gossip.spreadReading(node, own, told, true) })
	})
	node.every(almanac.GossipPeriod, func() { gossip.period(node, own) })
	return nil
}

// Drop has nothing of its own: gauge and index go with the roster.
func (*gossip) Drop(*Node) {}

func (gossip *gossip) period(node *Node, own *placing) {
	var packet *pattern.Gossip
	var told []pattern.Entry
	node.step(CoreGossip, func() {
		packet = own.bench.Gossip(node.now())
		packet.Generation = node.generation
		view := gossip.fleet.members.view(node)
		own.around = around(node.own, view.All("", node.now()))
		own.around.population = view.Population(bellows.RoleForge, node.now()) + view.Population(bellows.RoleLocker, node.now())
		told = append([]pattern.Entry(nil), own.around.gossip...)
		// Each zone tells each other about once a period, however many it has.
		if halls := own.around.halls; len(halls) > 0 && node.random.Float64() < float64(len(halls))/float64(own.around.zoneSize()) {
			there := halls[node.random.Intn(len(halls))]
			told = append(told, there[node.random.Intn(len(there))])
		}
	})
	node.tell(told, CoreGossip, pattern.KindGossip, packet)
}

// around finds whom a process tells, as jointer does.
func around(own pattern.Entry, known []pattern.Entry) circle {
	found := circle{}
	for _, entry := range known {
		switch {
		case entry.Role != bellows.RoleForge && entry.Role != bellows.RoleLocker,
			entry.Leaving || entry.AgeMs >= almanac.NeighbourAge.Milliseconds():
		case entry.Hall == own.Hall:
			found.near = append(found.near, entry)
		default:
			found.far = append(found.far, entry)
		}
	}
	places := map[string]int{}
	for _, entry := range found.far {
		place, known := places[entry.Hall]
		if !known {
			place = len(found.halls)
			places[entry.Hall] = place
			found.halls = append(found.halls, nil)
		}
		found.halls[place] = append(found.halls[place], entry)
	}
	sort.Slice(found.halls, func(left, right int) bool { return found.halls[left][0].Hall < found.halls[right][0].Hall })
	found.gossip = jointer.Neighbours(own, found.near, almanac.GossipFanout)
	found.readings = jointer.Neighbours(own, found.near, almanac.ReadingFanout)
	if left := almanac.ReadingFanout - len(found.readings); left > 0 {
		found.readings = append(found.readings, jointer.Neighbours(own, found.far, left)...)
	}
	return found
}

// sample looks now and then at how old the word is that processes have of workers, and
// how far it is from what these really have.
func (gossip *gossip) sample() {
	now := gossip.fleet.world.Now
	for _, node := range gossip.fleet.live("") {
		if !node.places() {
			continue
		}
		own := gossip.fleet.workers.placing(node)
		for _, worker := range gossip.fleet.workers.all {
			if worker.Phase != pattern.PhaseSteady {
				continue
			}
			gossip.look(own.bench, worker.ID)
			_, at := own.bench.Gauge.Of(worker.ID).Observed()
			gossip.ages.add(now.Since(at), at > 0)
			if worker.Hall == node.own.Hall {
				gossip.near.add(now.Since(at), at > 0)
			}
		}
	}
	for _, worker := range gossip.fleet.workers.all {
		has := float64(gossip.fleet.traffic.running[worker.ID])
		gossip.had, gossip.hadSquares, gossip.hadCount = gossip.had+has, gossip.hadSquares+has*has, gossip.hadCount+1
		if has > float64(worker.Capacity) {
			gossip.full++
		}
	}
	gossip.fleet.world.After(seconds(5.3), gossip.sample)
}

// loads sums up what workers really had.
func (gossip *gossip) loads() WorkerLoads {
	count := max(gossip.hadCount, 1)
	mean := gossip.had / count
	return WorkerLoads{Mean: mean, Deviation: math.Sqrt(max(0, gossip.hadSquares/count-mean*mean)), OverFull: gossip.full / count,
		BelievedOff: gossip.off / max(gossip.offCount, 1)}
}

func (gossip *gossip) look(bench *workbench.Workbench, worker string) {
	believed := bench.Gauge.Of(worker).Running(gossip.fleet.world.Now)
	gossip.off += math.Abs(float64(believed - gossip.fleet.traffic.running[worker]))
	gossip.offCount++
}
