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

// fleet is many placing nodes in four zones, each with a bounded view, and what they
// say to each other, without sockets. All chance comes from one seed.
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

type simNode struct {
	own        messages.NodeInfo
	view       *membership.View
	scheduler  *admission.Scheduler
	phase      clock.Instant
	received   int
	paused     bool
	replyPeers replyPeers
}

func newSimulation(seed int64, nodes, workerList int) *simulation {
	entry := &simulation{random: rand.New(rand.NewSource(seed)), byAddress: map[string]*simNode{}}
	for position := 0; position < workerList; position++ {
		entry.workerList = append(entry.workerList, messages.Worker{ID: fmt.Sprintf("i-%05d", position), Backend: "s", Zone: fmt.Sprint("h", position%4),
			Capacity: 16, CallCount: 1})
	}
	var entries []messages.NodeInfo
	for position := 0; position < nodes; position++ {
		entries = append(entries, messages.NodeInfo{Name: fmt.Sprint("edge-", position), Role: membership.RoleGateway, Zone: fmt.Sprint("h", position%4),
			Address: fmt.Sprint("a", position), Incarnation: 1})
	}
	for position, own := range entries {
		node := &simNode{own: own, view: membership.NewView(own, int64(position)), scheduler: admission.New(own, 1_200_000_000),
			phase: clock.Instant(entry.random.Int63n(int64(constants.GossipPeriod)))}
		node.view.Observe(entries, 0)
		node.scheduler.Merge(entry.workerList, 0)
		entry.nodes = append(entry.nodes, node)
		entry.byAddress[own.Address] = node
	}
	return entry
}

// near gives the workers of a node's zone: what it places on.
func (f *simulation) zoneWorkers(node *simNode) []string {
	var found []string
	for _, worker := range f.workerList {
		if worker.Zone == node.own.Zone {
			found = append(found, worker.ID)
		}
	}
	return found
}

// observe gives a node a worker's load header, as in a response to a request.
func (f *simulation) observe(node *simNode, now clock.Instant) {
	// A node's own subset is a part of its zone's workers.
	near := f.zoneWorkers(node)
	worker := near[f.random.Intn(min(len(near), constants.ReachSubset))]
	if len(near) > constants.ReachSubset {
		sum := fmt.Sprint(node.own.Name, f.random.Intn(constants.ReachSubset))
		random := 0
		for _, outgoing := range sum {
			random = random*31 + int(outgoing)
		}
		worker = near[random%len(near)]
	}
	node.scheduler.Locked(func() { node.scheduler.Tracker.Of(worker).ObserveLoad("5,0,16", now) })
}

// gossip is one node's second.
func (f *simulation) gossipRound(node *simNode, now clock.Instant) {
	packet := node.scheduler.MakeGossip(now)
	peers := selectPeers(node.own, node.view.All("", now))
	peers.population = len(f.nodes)
	if node.replyPeers.hasFewSenders(now) {
		packet.ReplyTo = node.own.Address
	}
	recipients := append(append([]messages.NodeInfo(nil), peers.gossipPeers...), node.replyPeers.missingFrom(peers.gossipPeers, now)...)
	if entry, selected := peers.pickOtherZone(f.random.Float64); selected {
		recipients = append(recipients, entry)
		f.otherZonePackets++
	}
	body, _ := packet.MarshalMsg(nil)
	for _, entry := range recipients {
		f.packets++
		f.bytes += len(body)
		f.largest = max(f.largest, len(body))
		other := f.byAddress[entry.Address]
		if !other.paused {
			other.received++
			other.replyPeers.observe(packet, now)
			other.scheduler.HandleGossip(packet, now.Add(clock.Milliseconds(1)))
		}
	}
}

// play runs whole seconds: rate requests a second and worker, over all nodes.
func (f *simulation) run(from, seconds int, rate float64) {
	const steps = 20
	step := clock.Instant(constants.GossipPeriod) / steps
	start := clock.Instant(from) * clock.Instant(constants.GossipPeriod)
	for count := 0; count < seconds*steps; count++ {
		now := start + clock.Instant(count+1)*step
		expected := rate * float64(len(f.workerList)) / steps
		for requests := int(expected + f.random.Float64()); requests > 0; requests-- {
			node := f.nodes[f.random.Intn(len(f.nodes))]
			if !node.paused {
				f.observe(node, now)
			}
		}
		for _, node := range f.nodes {
			if phase := now % clock.Instant(constants.GossipPeriod); !node.paused && node.phase >= phase && node.phase < phase+step {
				f.gossipRound(node, now)
			}
		}
	}
}

// ages lists, over all nodes and the workers of their zones, how old the evidence is
// that they place by; what is older than the limit counts for nothing.
func (f *simulation) ages(now clock.Instant) (ages []float64, blind float64) {
	none := 0
	for _, node := range f.nodes {
		for _, worker := range f.zoneWorkers(node) {
			node.scheduler.Locked(func() {
				sample, recipients := node.scheduler.Tracker.Of(worker).Sample(now)
				if !recipients || sample.Running == messages.RunningUnknown {
					none++
					return
				}
				ages = append(ages, float64(sample.AgeMs))
			})
		}
	}
	sort.Float64s(ages)
	return ages, float64(none) / float64(none+len(ages))
}

// The cost of a node is the same in any fleet, and evidence of its zone's workers
// stays well within the age limit for nearly all of it.
func TestStalenessAndCostByFleetSize(t *testing.T) {
	for _, size := range []struct{ nodes, workerList int }{{25, 40}, {100, 160}, {390, 600}} {
		entry := newSimulation(11, size.nodes, size.workerList)
		const seconds = 6
		entry.run(1, seconds, 4)
		now := clock.Instant(seconds+1) * clock.Instant(constants.GossipPeriod)
		ages, blind := entry.ages(now)
		median, late := ages[len(ages)/2], ages[len(ages)*95/100]
		packets := float64(entry.packets) / seconds / float64(size.nodes)
		bytes := float64(entry.bytes) / seconds / float64(size.nodes)
		t.Logf("%d nodes, %d workers: age median %.0f ms, p95 %.0f ms, without evidence %.3f; a node and second %.2f packets, %.0f bytes; largest %d; across zones %.1f packets a second in all",
			size.nodes, size.workerList, median, late, blind, packets, bytes, entry.largest, float64(entry.otherZonePackets)/seconds)
		limit := clock.ToMilliseconds(constants.GossipStale)
		if median > limit/2 || late >= limit || blind > 0.15 {
			t.Errorf("%d nodes: evidence too old", size.nodes)
		}
		if packets > constants.GossipFanout+1.5 || entry.largest > 1400 {
			t.Errorf("%d nodes: %.2f packets a node, largest %d bytes", size.nodes, packets, entry.largest)
		}
		for _, node := range entry.nodes {
			if node.received < seconds {
				t.Errorf("%d nodes: %s heard %d packets in %d s", size.nodes, node.own.Name, node.received, seconds)
			}
		}
	}
}

// A node that was paused says nothing that counts: its old evidence has aged, and
// what it then tells is passed over.
func TestStaleReportOfPausedPeerIsIgnored(t *testing.T) {
	entry := newSimulation(5, 25, 40)
	entry.run(1, 4, 4)
	paused := entry.nodes[3]
	paused.paused = true
	worker := entry.zoneWorkers(paused)[0]
	at := clock.Instant(5) * clock.Instant(constants.GossipPeriod)
	paused.scheduler.Locked(func() { paused.scheduler.Tracker.Of(worker).ObserveLoad("200,0,16", at) })
	entry.run(5, 4, 0)
	paused.paused = false
	entry.run(9, 3, 0)
	for _, node := range entry.nodes {
		node.scheduler.Locked(func() {
			if running := node.scheduler.Tracker.Of(worker).Running(at.Add(7 * constants.GossipPeriod)); running != 0 {
				t.Errorf("%s still counts %d", node.own.Name, running)
			}
		})
	}
}

// The same seed repeats the same history.
func TestSimulationIsDeterministic(t *testing.T) {
	sum := func() float64 {
		entry := newSimulation(3, 40, 64)
		entry.run(1, 3, 4)
		ages, blind := entry.ages(clock.Instant(4) * clock.Instant(constants.GossipPeriod))
		total := blind + float64(entry.bytes)
		for _, age := range ages {
			total += math.Sqrt(age)
		}
		return total
	}
	if first, second := sum(), sum(); first != second {
		t.Fatal(first, second)
	}
}
