package hollowfleet

import (
	"io"
	"runtime"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// Mechanism is one way in which processes keep each other informed: a small adapter
// between the fleet and the cores, so that a mechanism can be replaced by another.
type Mechanism interface {
	// Begin starts the mechanism in a process, registers what it answers and its
	// periods, and gives what it keeps there.
	Begin(node *Node) any
	// Drop lets go of what it keeps there, so that its memory can be measured.
	Drop(node *Node)
	// Name names it in results.
	Name() string
}

// Fleet is a hollow fleet.
type Fleet struct {
	Plan          Plan
	world         *simulation.World
	network       *transport.MemoryNetwork
	nodes         []*Node
	byAddress     map[string]*Node
	mechanisms    []Mechanism
	members       *memberList
	registrations *registrations
	gossip        *gossip
	traffic       *traffic
	configuration *configuration
	storage       *storage
	contacts      *contacts
	troubles      *troubles
	counting      bool
	kinds         map[messages.Kind]*[ways]Traffic
	inner         int64
	parted        bool
	seeds         []string
	progress      io.Writer
}

// contactsPlace is the place of the contact leases among the mechanisms.
const contactsPlace = 6

// New builds a fleet; progress, where not nil, is told how far long runs are.
func New(plan Plan, progress io.Writer) *Fleet {
	plan.Scale()
	fleet := &Fleet{Plan: plan, world: simulation.NewWorld(plan.Seed), network: transport.NewMemoryNetwork(), byAddress: map[string]*Node{},
		kinds: map[messages.Kind]*[ways]Traffic{}, progress: progress}
	fleet.network.OnFrame(fleet.count)
	fleet.network.Simulate(transport.Environment{Clock: fleet.world, Delay: fleet.delay, Reachable: fleet.reach})
	hasController := map[int]bool{}
	for machine := 0; machine < plan.Nodes; machine++ {
		role := membership.RoleGateway
		if machine%plan.StoreEach == plan.StoreEach-1 {
			role = membership.RoleStore
		}
		fleet.add(machine, role)
		if role == membership.RoleGateway && !hasController[machine%plan.Zones] {
			hasController[machine%plan.Zones] = true
			fleet.seeds = append(fleet.seeds, fleet.add(machine, membership.RoleController).own.Address)
		}
	}
	fleet.members, fleet.registrations, fleet.gossip = &memberList{fleet: fleet}, newWorkers(fleet), newGossip(fleet)
	fleet.configuration, fleet.storage, fleet.traffic = newRegister(fleet), newLots(fleet), newTraffic(fleet)
	fleet.contacts = &contacts{fleet}
	fleet.mechanisms = []Mechanism{fleet.members, fleet.registrations, fleet.gossip, fleet.configuration, fleet.storage, fleet.traffic, fleet.contacts}
	fleet.troubles = newTroubles(fleet)
	return fleet
}

func (f *Fleet) add(machine int, role string) *Node {
	node := newNode(f, machine, role)
	f.nodes = append(f.nodes, node)
	f.byAddress[node.own.Address] = node
	return node
}

// Run plays the plan and gives what came of it.
func (f *Fleet) Run() *Result {
	// Processor time is that of one thread, so the fleet stays on it.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, node := range f.nodes {
		node.begin()
	}
	f.registrations.begin()
	// There is a first configuration before anything is counted.
	f.world.After(seconds(f.Plan.WarmS/2), func() { f.configuration.change(f.live(membership.RoleController)[0]) })
	warm, complete := clock.Instant(seconds(f.Plan.WarmS)), clock.Instant(seconds(f.Plan.WarmS+f.Plan.DurationS))
	f.play(warm, complete)
	f.counting = true
	for _, node := range f.nodes {
		node.costs, node.out, node.in = [cores]Cost{}, [ways]Traffic{}, [ways]Traffic{}
	}
	f.troubles.begin()
	f.gossip.sample()
	f.play(complete, complete)
	return f.result()
}

// play runs the world in pieces and tells how far it is.
func (f *Fleet) play(until, complete clock.Instant) {
	teller := newTeller(f.progress)
	for f.world.Now < until {
		f.world.Run(min(until, f.world.Now+clock.Instant(seconds(1))))
		teller.tell(f, complete)
	}
}

func (f *Fleet) way(from, to string) Way {
	entry, other := f.byAddress[from], f.byAddress[to]
	switch {
	case entry.zone == other.zone:
		return WayWithin
	case entry.region == other.region:
		return WayZones
	}
	return WayRegions
}

func (f *Fleet) delay(from, to string) clock.Duration {
	base := [ways]float64{f.Plan.NearMs, f.Plan.ZonesMs, f.Plan.RegionMs}[f.way(from, to)]
	return clock.Milliseconds(base * (1 + 0.2*f.world.Random.Float64()))
}

func (f *Fleet) reach(from, to string) bool {
	entry, other := f.byAddress[from], f.byAddress[to]
	return !entry.down && !other.down && (!f.parted || entry.region == other.region)
}

// count is told of every frame.
func (f *Fleet) count(frame transport.ObservedFrame) {
	if !f.counting {
		return
	}
	way := f.way(frame.From, frame.To)
	f.byAddress[frame.From].out[way].add(frame.Bytes)
	f.byAddress[frame.To].in[way].add(frame.Bytes)
	entry := f.kinds[frame.Kind]
	if entry == nil {
		entry = &[ways]Traffic{}
		f.kinds[frame.Kind] = entry
	}
	entry[way].add(frame.Bytes)
}

// live gives the processes of a role that run, or of all roles.
func (f *Fleet) live(role string) []*Node {
	var found []*Node
	for _, node := range f.nodes {
		if !node.down && (role == "" || node.own.Role == role) {
			found = append(found, node)
		}
	}
	return found
}
