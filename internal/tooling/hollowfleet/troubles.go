package hollowfleet

import (
	"math/rand"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
)

// troubles breaks machines, racks, zones and the way between regions, changes the
// configuration and turns workers, and follows until all know.
type troubles struct {
	fleet  *Fleet
	random *rand.Rand
	open   []*track
	taken  map[string][]float64
	missed map[string][]float64
	acked  map[string][]float64
	refuse map[string]int
	failed int
	looks  int
}

// track follows one piece of news until every process it concerns has it.
type track struct {
	kind    string
	begun   clock.Instant
	left    map[*Node]int
	count   int
	knows   func(*Node) bool
	patient clock.Duration
	// slow says that asking is dear, and is done at every tenth look.
	slow bool
}

// trackPeriod is how often processes are looked at, and trackLimit when news that has
// not come round is given up.
const (
	trackPeriod = 10 * 1_000_000
	trackLimit  = 60
	// settledAfter is the age, in s, from which news that is on its way when a run ends
	// counts as unfinished.
	settledAfter = 5
	// roomAfter is the part of a run by which a loss should be over.
	roomAfter = 0.95
)

func newTroubles(fleet *Fleet) *troubles {
	return &troubles{fleet: fleet, random: rand.New(rand.NewSource(fleet.Plan.Seed + 101)), taken: map[string][]float64{},
		missed: map[string][]float64{}, acked: map[string][]float64{}, refuse: map[string]int{}}
}

// at runs something at a rate a minute, until the run ends.
func (t *troubles) at(perMinute float64, function func()) {
	if perMinute <= 0 {
		return
	}
	var next func()
	next = func() {
		function()
		t.fleet.world.After(seconds(60/perMinute*(0.5+t.random.Float64())), next)
	}
	t.fleet.world.After(seconds(60/perMinute*t.random.Float64()), next)
}

func (t *troubles) begin() {
	fleet, plan := t.fleet, t.fleet.Plan
	t.at(plan.Changes, func() {
		if controllers := fleet.live(membership.RoleController); len(controllers) > 0 {
			fleet.configuration.change(controllers[t.random.Intn(len(controllers))])
		}
	})
	t.at(plan.Turns, fleet.registrations.turn)
	t.at(plan.Lots, fleet.storage.submitJob)
	t.at(plan.Failures, func() {
		machine := t.random.Intn(plan.Nodes)
		t.lose("machine", func(node *Node) bool { return node.machine == machine }, plan.DownS)
	})
	quarter := plan.DurationS / 4
	once := func(lost, at float64, function func()) {
		if lost > 0 {
			// A long loss is put in the middle, so that what comes after it is seen too.
			if at+lost > roomAfter*plan.DurationS {
				at = (plan.DurationS - lost) / 2
			}
			fleet.world.After(seconds(at), function)
		}
	}
	// A rack is a twentieth of a zone's machines, two at least.
	once(plan.RackS, quarter/2, func() {
		size := max(2, plan.Nodes/plan.Zones/20)
		zone := t.random.Intn(plan.Zones)
		t.lose("rack", func(node *Node) bool { return node.zone == zone && node.machine/plan.Zones < size }, plan.RackS)
	})
	once(plan.ZoneS, quarter, func() {
		zone := t.random.Intn(plan.Zones)
		t.lose("zone", func(node *Node) bool { return node.zone == zone }, plan.ZoneS)
	})
	once(plan.PartS, quarter*2, func() {
		fleet.parted = true
		fleet.world.After(seconds(plan.PartS), func() { fleet.parted = false })
	})
	t.look()
}

// lose takes machines away, and brings them back as new lives.
func (t *troubles) lose(kind string, among func(*Node) bool, forS float64) {
	fleet := t.fleet
	var lost []*Node
	departed := map[string]bool{}
	for _, node := range fleet.nodes {
		if among(node) && !node.down && node != fleet.storage.holder {
			lost = append(lost, node)
			departed[membership.Key(node.own)] = true
		}
	}
	if len(lost) == 0 {
		return
	}
	t.failed += len(lost)
	for _, node := range lost {
		node.end()
	}
	t.track(kind+" lost", nil, func(node *Node) bool {
		for key := range departed {
			if fleet.members.trusts(node, key) {
				return false
			}
		}
		return true
	})
	fleet.world.After(seconds(forS), func() {
		for _, node := range lost {
			node.begin()
		}
	})
}

// track follows news from a process (or from nobody, where it is a silence).
func (t *troubles) track(kind string, from *Node, knows func(*Node) bool) {
	if !t.fleet.counting {
		return
	}
	entry := &track{kind: kind, begun: t.fleet.world.Now, left: map[*Node]int{}, knows: knows, patient: seconds(trackLimit), slow: from == nil}
	for _, node := range t.fleet.live("") {
		if from == nil || !t.fleet.parted || node.region == from.region {
			entry.left[node] = node.life
		}
	}
	entry.count = len(entry.left)
	t.open = append(t.open, entry)
	if from != nil && t.fleet.parted {
		t.afterParting(kind, from, knows)
	}
}

// afterParting follows the same news on the other side, from the moment of joining on.
func (t *troubles) afterParting(kind string, from *Node, knows func(*Node) bool) {
	fleet := t.fleet
	if fleet.parted {
		fleet.world.After(seconds(0.1), func() { t.afterParting(kind, from, knows) })
		return
	}
	entry := &track{kind: kind + ", once regions met again", begun: fleet.world.Now, left: map[*Node]int{}, knows: knows, patient: seconds(trackLimit)}
	for _, node := range fleet.live("") {
		if node.region != from.region {
			entry.left[node] = node.life
		}
	}
	entry.count = len(entry.left)
	t.open = append(t.open, entry)
}

// look sees who has learnt what; it repeats itself.
func (t *troubles) look() {
	now := t.fleet.world.Now
	retained := t.open[:0]
	t.looks++
	for _, entry := range t.open {
		if entry.slow && t.looks%10 != 0 {
			retained = append(retained, entry)
			continue
		}
		for node, incarnation := range entry.left {
			if node.life != incarnation || entry.knows(node) {
				delete(entry.left, node)
			}
		}
		switch {
		case len(entry.left) == 0:
			t.taken[entry.kind] = append(t.taken[entry.kind], clock.ToMilliseconds(now.Sub(entry.begun)))
		case now.Sub(entry.begun) > entry.patient:
			t.missed[entry.kind] = append(t.missed[entry.kind], float64(len(entry.left))/float64(max(entry.count, 1)))
		default:
			retained = append(retained, entry)
		}
	}
	t.open = retained
	t.fleet.world.After(trackPeriod, t.look)
}

func (t *troubles) acknowledged(kind string, took clock.Duration) {
	if t.fleet.counting {
		t.acked[kind] = append(t.acked[kind], clock.ToMilliseconds(took))
	}
}

func (t *troubles) refused(kind string) { t.refuse[kind]++ }

// close counts the news that is still on its way as unfinished, unless it is young.
func (t *troubles) close() {
	now := t.fleet.world.Now
	for _, entry := range t.open {
		if now.Sub(entry.begun) >= seconds(settledAfter) {
			t.missed[entry.kind] = append(t.missed[entry.kind], float64(len(entry.left))/float64(max(entry.count, 1)))
		}
	}
	t.open = nil
}
