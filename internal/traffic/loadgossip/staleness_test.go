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
type fleet struct {
	random     *rand.Rand
	nodes      []*simNode
	byAddress  map[string]*simNode
	workerList []messages.Worker
	packets    int
	bytes      int
	far        int
	largest    int
}

type simNode struct {
	own       messages.NodeInfo
	view      *membership.View
	scheduler *admission.Scheduler
	phase     clock.Instant
	heard     int
	paused    bool
	ties      ties
}

func newFleet(seed int64, nodes, workerList int) *fleet {
	one := &fleet{random: rand.New(rand.NewSource(seed)), byAddress: map[string]*simNode{}}
	for place := 0; place < workerList; place++ {
		one.workerList = append(one.workerList, messages.Worker{ID: fmt.Sprintf("i-%05d", place), Backend: "s", Zone: fmt.Sprint("h", place%4),
			Capacity: 16, CallCount: 1})
	}
	var entries []messages.NodeInfo
	for place := 0; place < nodes; place++ {
		entries = append(entries, messages.NodeInfo{Name: fmt.Sprint("edge-", place), Role: membership.RoleGateway, Zone: fmt.Sprint("h", place%4),
			Address: fmt.Sprint("a", place), Incarnation: 1})
	}
	for place, own := range entries {
		node := &simNode{own: own, view: membership.NewView(own, int64(place)), scheduler: admission.New(own, 1_200_000_000),
			phase: clock.Instant(one.random.Int63n(int64(constants.GossipPeriod)))}
		node.view.Observe(entries, 0)
		node.scheduler.Merge(one.workerList, 0)
		one.nodes = append(one.nodes, node)
		one.byAddress[own.Address] = node
	}
	return one
}

// near gives the workers of a node's zone: what it places on.
func (f *fleet) near(node *simNode) []string {
	var found []string
	for _, worker := range f.workerList {
		if worker.Zone == node.own.Zone {
			found = append(found, worker.ID)
		}
	}
	return found
}

// observe lets a node hear a worker's load header, as in an answer to a request.
func (f *fleet) observe(node *simNode, now clock.Instant) {
	// A node's own subset is a part of its zone's workers.
	near := f.near(node)
	worker := near[f.random.Intn(min(len(near), constants.ReachSubset))]
	if len(near) > constants.ReachSubset {
		sum := fmt.Sprint(node.own.Name, f.random.Intn(constants.ReachSubset))
		draw := 0
		for _, outgoing := range sum {
			draw = draw*31 + int(outgoing)
		}
		worker = near[draw%len(near)]
	}
	node.scheduler.Locked(func() { node.scheduler.Tracker.Of(worker).Load("5,0,16", now) })
}

// gossip is one node's second.
func (f *fleet) gossip(node *simNode, now clock.Instant) {
	packet := node.scheduler.Gossip(now)
	circle := around(node.own, node.view.All("", now))
	circle.population = len(f.nodes)
	if node.ties.lonely(now) {
		packet.ReplyTo = node.own.Address
	}
	told := append(append([]messages.NodeInfo(nil), circle.gossip...), node.ties.adopted(circle.gossip, now)...)
	if entry, drawn := circle.across(f.random.Float64); drawn {
		told = append(told, entry)
		f.far++
	}
	body, _ := packet.MarshalMsg(nil)
	for _, entry := range told {
		f.packets++
		f.bytes += len(body)
		f.largest = max(f.largest, len(body))
		other := f.byAddress[entry.Address]
		if !other.paused {
			other.heard++
			other.ties.heard(packet, now)
			other.scheduler.Heard(packet, now.Add(clock.Milliseconds(1)))
		}
	}
}

// play runs whole seconds: rate requests a second and worker, over all nodes.
func (f *fleet) play(from, seconds int, rate float64) {
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
				f.gossip(node, now)
			}
		}
	}
}

// ages lists, over all nodes and the workers of their zones, how old the evidence is
// that they place by; what is older than the limit counts for nothing.
func (f *fleet) ages(now clock.Instant) (ages []float64, blind float64) {
	none := 0
	for _, node := range f.nodes {
		for _, worker := range f.near(node) {
			node.scheduler.Locked(func() {
				word, told := node.scheduler.Tracker.Of(worker).Word(now)
				if !told || word.Running == messages.RunningUnknown {
					none++
					return
				}
				ages = append(ages, float64(word.AgeMs))
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
		one := newFleet(11, size.nodes, size.workerList)
		const seconds = 6
		one.play(1, seconds, 4)
		now := clock.Instant(seconds+1) * clock.Instant(constants.GossipPeriod)
		ages, blind := one.ages(now)
		median, late := ages[len(ages)/2], ages[len(ages)*95/100]
		packets := float64(one.packets) / seconds / float64(size.nodes)
		bytes := float64(one.bytes) / seconds / float64(size.nodes)
		t.Logf("%d nodes, %d workers: age median %.0f ms, p95 %.0f ms, without evidence %.3f; a node and second %.2f packets, %.0f bytes; largest %d; across zones %.1f packets a second in all",
			size.nodes, size.workerList, median, late, blind, packets, bytes, one.largest, float64(one.far)/seconds)
		limit := clock.ToMilliseconds(constants.GossipStale)
		if median > limit/2 || late >= limit || blind > 0.15 {
			t.Errorf("%d nodes: evidence too old", size.nodes)
		}
		if packets > constants.GossipFanout+1.5 || one.largest > 1400 {
			t.Errorf("%d nodes: %.2f packets a node, largest %d bytes", size.nodes, packets, one.largest)
		}
		for _, node := range one.nodes {
			if node.heard < seconds {
				t.Errorf("%d nodes: %s heard %d packets in %d s", size.nodes, node.own.Name, node.heard, seconds)
			}
		}
	}
}

// A node that was paused says nothing that counts: its old evidence has aged, and
// what it then tells is passed over.
func TestPausedPeerMisleadsNobody(t *testing.T) {
	one := newFleet(5, 25, 40)
	one.play(1, 4, 4)
	paused := one.nodes[3]
	paused.paused = true
	worker := one.near(paused)[0]
	at := clock.Instant(5) * clock.Instant(constants.GossipPeriod)
	paused.scheduler.Locked(func() { paused.scheduler.Tracker.Of(worker).Load("200,0,16", at) })
	one.play(5, 4, 0)
	paused.paused = false
	one.play(9, 3, 0)
	for _, node := range one.nodes {
		node.scheduler.Locked(func() {
			if running := node.scheduler.Tracker.Of(worker).Running(at.Add(7 * constants.GossipPeriod)); running != 0 {
				t.Errorf("%s still counts %d", node.own.Name, running)
			}
		})
	}
}

// The same seed repeats the same history.
func TestFleetRepeats(t *testing.T) {
	sum := func() float64 {
		one := newFleet(3, 40, 64)
		one.play(1, 3, 4)
		ages, blind := one.ages(clock.Instant(4) * clock.Instant(constants.GossipPeriod))
		total := blind + float64(one.bytes)
		for _, age := range ages {
			total += math.Sqrt(age)
		}
		return total
	}
	if first, second := sum(), sum(); first != second {
		t.Fatal(first, second)
	}
}
