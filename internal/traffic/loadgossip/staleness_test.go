package loadgossip

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
)

// simulation simulates many gateways in four zones, each with a bounded view, and their gossip, without
// sockets. All random numbers come from one seed.
type simulation struct {
	random           *rand.Rand
	nodes            []*simNode
	byAddress        map[string]*simNode
	workerList       []messages.Worker
	packets          int
	bytes            int
	otherZonePackets int
	largest          int
}

// simNode is one simulated node. phase is the time within the gossip period at which it sends gossip,
// received the number of packets that it received.
type simNode struct {
	own        messages.NodeInfo
	view       *membership.View
	scheduler  *admission.Scheduler
	phase      clock.Instant
	received   int
	paused     bool
	replyPeers replyPeers
}

func newSimulation(seed int64, nodes, workers int) *simulation {
	sim := &simulation{random: rand.New(rand.NewSource(seed)), byAddress: map[string]*simNode{}}
	for position := 0; position < workers; position++ {
		sim.workerList = append(sim.workerList, messages.Worker{ID: fmt.Sprintf("i-%05d", position), Backend: "s", Zone: fmt.Sprint("h", position%4),
			Capacity: 16, CallCount: 1})
	}
	var infos []messages.NodeInfo
	for position := 0; position < nodes; position++ {
		infos = append(infos, messages.NodeInfo{Name: fmt.Sprint("edge-", position), Role: membership.RoleGateway, Zone: fmt.Sprint("h", position%4),
			Address: fmt.Sprint("a", position), Incarnation: 1})
	}
	for position, own := range infos {
		node := &simNode{own: own, view: membership.NewView(own, int64(position)), scheduler: admission.New(own, 1_200_000_000),
			phase: clock.Instant(sim.random.Int63n(int64(constants.GossipPeriod)))}
		node.view.Observe(infos, 0)
		node.scheduler.Merge(sim.workerList, 0)
		sim.nodes = append(sim.nodes, node)
		sim.byAddress[own.Address] = node
	}
	return sim
}

// zoneWorkers returns the workers of a node's zone, on which the node places requests.
func (s *simulation) zoneWorkers(node *simNode) []string {
	var ids []string
	for _, worker := range s.workerList {
		if worker.Zone == node.own.Zone {
			ids = append(ids, worker.ID)
		}
	}
	return ids
}

// observe has a node record a worker's load header, as from a response to a request.
func (s *simulation) observe(node *simNode, now clock.Instant) {
	// If the zone has many workers, a node sends requests only to a subset of them.
	candidates := s.zoneWorkers(node)
	worker := candidates[s.random.Intn(min(len(candidates), constants.SubsetSize))]
	if len(candidates) > constants.SubsetSize {
		key := fmt.Sprint(node.own.Name, s.random.Intn(constants.SubsetSize))
		hash := 0
		for _, character := range key {
			hash = hash*31 + int(character)
		}
		worker = candidates[hash%len(candidates)]
	}
	node.scheduler.WithLock(func() { node.scheduler.Tracker.HealthOf(worker).ObserveLoad("5,0,16", now) })
}

// gossipRound simulates one gossip period of a node.
func (s *simulation) gossipRound(node *simNode, now clock.Instant) {
	packet := node.scheduler.MakeGossip(now)
	peers := selectPeers(node.own, node.view.All("", now))
	peers.population = len(s.nodes)
	if node.replyPeers.hasFewSenders(now) {
		packet.ReplyTo = node.own.Address
	}
	recipients := append(append([]messages.NodeInfo(nil), peers.gossipPeers...), node.replyPeers.missingFrom(peers.gossipPeers, now)...)
	if peer, selected := peers.pickOtherZone(s.random.Float64); selected {
		recipients = append(recipients, peer)
		s.otherZonePackets++
	}
	body, _ := packet.MarshalMsg(nil)
	for _, recipient := range recipients {
		s.packets++
		s.bytes += len(body)
		s.largest = max(s.largest, len(body))
		other := s.byAddress[recipient.Address]
		if !other.paused {
			other.received++
			other.replyPeers.observe(packet, now)
			other.scheduler.HandleGossip(packet, now.Add(clock.Milliseconds(1)))
		}
	}
}

// run simulates whole seconds with rate requests per second and worker, distributed over all nodes.
func (s *simulation) run(from, seconds int, rate float64) {
	const steps = 20
	step := clock.Instant(constants.GossipPeriod) / steps
	start := clock.Instant(from) * clock.Instant(constants.GossipPeriod)
	for count := 0; count < seconds*steps; count++ {
		now := start + clock.Instant(count+1)*step
		expected := rate * float64(len(s.workerList)) / steps
		for requests := int(expected + s.random.Float64()); requests > 0; requests-- {
			node := s.nodes[s.random.Intn(len(s.nodes))]
			if !node.paused {
				s.observe(node, now)
			}
		}
		for _, node := range s.nodes {
			if phase := now % clock.Instant(constants.GossipPeriod); !node.paused && node.phase >= phase && node.phase < phase+step {
				s.gossipRound(node, now)
			}
		}
	}
}

// ages returns the ages in ms, sorted, of the load evidence that all nodes have for the workers of
// their zones, and the share of workers without evidence. Evidence older than the limit is not counted.
func (s *simulation) ages(now clock.Instant) (ages []float64, missingShare float64) {
	missing := 0
	for _, node := range s.nodes {
		for _, worker := range s.zoneWorkers(node) {
			node.scheduler.WithLock(func() {
				sample, known := node.scheduler.Tracker.HealthOf(worker).Sample(now)
				if !known || sample.Running == messages.RunningUnknown {
					missing++
					return
				}
				ages = append(ages, float64(sample.AgeMs))
			})
		}
	}
	sort.Float64s(ages)
	return ages, float64(missing) / float64(missing+len(ages))
}

// The gossip cost of a node does not depend on the size of the fleet, and the evidence about nearly
// all workers of its zone stays well within the age limit.
func TestStalenessAndCostByFleetSize(t *testing.T) {
	for _, size := range []struct{ nodes, workers int }{{25, 40}, {100, 160}, {390, 600}} {
		sim := newSimulation(11, size.nodes, size.workers)
		const seconds = 6
		sim.run(1, seconds, 4)
		now := clock.Instant(seconds+1) * clock.Instant(constants.GossipPeriod)
		ages, missingShare := sim.ages(now)
		median, p95 := ages[len(ages)/2], ages[len(ages)*95/100]
		packets := float64(sim.packets) / seconds / float64(size.nodes)
		bytes := float64(sim.bytes) / seconds / float64(size.nodes)
		t.Logf("%d nodes, %d workers: age median %.0f ms, p95 %.0f ms, without evidence %.3f; per node and second %.2f packets, %.0f bytes; largest packet %d bytes; between zones %.1f packets per second in total",
			size.nodes, size.workers, median, p95, missingShare, packets, bytes, sim.largest, float64(sim.otherZonePackets)/seconds)
		ageLimit := clock.ToMilliseconds(constants.GossipStale)
		if median > ageLimit/2 || p95 >= ageLimit || missingShare > 0.15 {
			t.Errorf("%d nodes: age of evidence median %.0f ms (want at most %.0f), p95 %.0f ms (want below %.0f), missing for a share of %.3f of the workers (want at most 0.15)",
				size.nodes, median, ageLimit/2, p95, ageLimit, missingShare)
		}
		if packets > constants.GossipFanout+1.5 || sim.largest > 1400 {
			t.Errorf("%d nodes: %.2f packets per node and second (want at most %.1f), largest packet %d bytes (want at most 1400)",
				size.nodes, packets, constants.GossipFanout+1.5, sim.largest)
		}
		for _, node := range sim.nodes {
			if node.received < seconds {
				t.Errorf("%d nodes: %s received %d packets in %d s, want at least one per second", size.nodes, node.own.Name, node.received, seconds)
			}
		}
	}
}

// The reports of a node that was paused are ignored: its evidence has expired in the meantime.
func TestStaleReportOfPausedPeerIsIgnored(t *testing.T) {
	sim := newSimulation(5, 25, 40)
	sim.run(1, 4, 4)
	paused := sim.nodes[3]
	paused.paused = true
	worker := sim.zoneWorkers(paused)[0]
	at := clock.Instant(5) * clock.Instant(constants.GossipPeriod)
	paused.scheduler.WithLock(func() { paused.scheduler.Tracker.HealthOf(worker).ObserveLoad("200,0,16", at) })
	sim.run(5, 4, 0)
	paused.paused = false
	sim.run(9, 3, 0)
	for _, node := range sim.nodes {
		node.scheduler.WithLock(func() {
			if running := node.scheduler.Tracker.HealthOf(worker).Running(at.Add(7 * constants.GossipPeriod)); running != 0 {
				t.Errorf("%s still counts %d running requests at the worker, want 0", node.own.Name, running)
			}
		})
	}
}

// Two simulations with the same seed have the same result.
func TestSimulationIsDeterministic(t *testing.T) {
	sum := func() float64 {
		sim := newSimulation(3, 40, 64)
		sim.run(1, 3, 4)
		ages, missingShare := sim.ages(clock.Instant(4) * clock.Instant(constants.GossipPeriod))
		total := missingShare + float64(sim.bytes)
		for _, age := range ages {
			total += math.Sqrt(age)
		}
		return total
	}
	if first, second := sum(), sum(); first != second {
		t.Fatal("two simulations with the same seed differ: ", first, second)
	}
}
