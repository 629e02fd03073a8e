package linearize

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

const (
	// setSize is how many acceptors the simulated fleet keeps: one loss is borne.
	setSize = 3
	// attemptMs is how long a proposer waits for its two rounds, and attempts how many
	// it makes for one call.
	attemptMs = 400
	attempts  = 4
	// silentMs is how long a member is down before others take its place.
	silentMs = 2500
)

// Breaks takes guards of the fleet out, so that a test can see the check find it.
type Breaks struct {
	// KeepIdentity: a machine whose disk came back empty votes under its old identity.
	KeepIdentity bool
	// ReadOne: a read believes the first acceptor that answers.
	ReadOne bool
	// RefuseResent: a version that was taken is refused when it is sent again.
	RefuseResent bool
	// AnswerUnsynced: an acceptor answers before its record is on disk.
	AnswerUnsynced bool
}

// Fleet is a seeded simulation of the control machines with the real core of the
// register, of operators who call them, and of their worst days.
type Fleet struct {
	History History
	breaks  Breaks
	world   *simulation.World
	names   []string
	nodes   map[string]*controller
	since   map[string]clock.Moment
	// crash says that the next proposer that begins its second round dies in it.
	crash bool
	// next is the highest generation that any operator has used.
	next int64
	err  error
}

// NewFleet makes a fleet of five control machines, three of them acceptors.
func NewFleet(seed int64, breaks Breaks) *Fleet {
	fleet := &Fleet{breaks: breaks, world: simulation.NewWorld(seed), names: []string{"a", "b", "c", "d", "e"},
		nodes: map[string]*controller{}, since: map[string]clock.Moment{}}
	fleet.world.Loss, fleet.world.Double = 0.05, 0.05
	var first []messages.Member
	for _, name := range fleet.names[:setSize] {
		first = append(first, messages.Member{Name: name, Address: name, Disk: name})
	}
	for place, name := range fleet.names {
		node := &controller{name: name, disk: simulation.NewDisk(seed + int64(place))}
		fleet.nodes[name] = node
		fleet.fail(node.start(name, first))
		fleet.tend(name)
	}
	return fleet
}

// Run plays the fleet's day and gives the first error of its machinery.
func (fleet *Fleet) Run(span clock.Span) error {
	for number := range operators {
		fleet.operate(number, fleet.world.Now.Plus(span))
	}
	fleet.trouble(fleet.world.Now.Plus(span))
	fleet.world.Run(fleet.world.Now.Plus(span + clock.Milliseconds(20_000)))
	return fleet.err
}

func (fleet *Fleet) fail(err error) {
	if fleet.err == nil {
		fleet.err = err
	}
}

// after runs a function in a random time between two, in milliseconds.
func (fleet *Fleet) after(least, most float64, function func()) {
	fleet.world.After(clock.Milliseconds(least+(most-least)*fleet.world.Random.Float64()), function)
}

func (fleet *Fleet) any() *controller {
	return fleet.nodes[fleet.names[fleet.world.Random.Intn(len(fleet.names))]]
}

// tend is what each process does about once in half a second: hear of newer sets from
// others, then propose what the step says.
func (fleet *Fleet) tend(name string) {
	fleet.after(200, 800, func() {
		fleet.tend(name)
		node := fleet.nodes[name]
		if node.down {
			return
		}
		if other := fleet.any(); !other.down && (other.known.SetEpoch > node.known.SetEpoch || len(node.known.Acceptors) == 0) {
			known, life := other.known, node.life
			fleet.world.Send(other.name, name, func() {
				if node.life == life {
					node.learn(known)
				}
			})
		}
		tending := register.Tending{Own: node.member(), Votes: true, Size: setSize, Gone: fleet.gone}
		if change := tending.Step(node.known); change != nil {
			fleet.propose(node, change, attempts, func(*messages.Register) {})
		}
	})
}

func (fleet *Fleet) gone(member messages.Member) bool {
	node := fleet.nodes[member.Address]
	return node.down && fleet.world.Now.Since(fleet.since[member.Address]) > clock.Milliseconds(silentMs)
}

// whole tells whether all machines are up, none is cut off, and the newest set known
// anywhere is complete with the disks that its members have.
func (fleet *Fleet) whole() bool {
	var newest messages.Register
	for _, name := range fleet.names {
		node := fleet.nodes[name]
		if node.down {
			return false
		}
		if node.known.SetEpoch >= newest.SetEpoch && len(node.known.Acceptors) > 0 {
			newest = node.known
		}
	}
	for _, member := range newest.Acceptors {
		if fleet.nodes[member.Address].acceptor.Disk() != member.Disk {
			return false
		}
	}
	return len(newest.Acceptors) == setSize && len(newest.Previous) == 0
}
