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
	departedAfterMs = 2500
)

// Breaks takes guards of the fleet out, so that a test can see the check find it.
type Defects struct {
	// KeepIdentity: a machine whose disk came back empty votes under its old identity.
	KeepIdentity bool
	// ReadOne: a read believes the first acceptor that answers.
	ReadFromOne bool
	// RefuseResent: a version that was taken is refused when it is sent again.
	RejectResent bool
	// AnswerUnsynced: an acceptor answers before its record is on disk.
	RespondUnsynced bool
}

// Fleet is a seeded simulation of the control machines with the real core of the
// register, of operators who call them, and of their worst days.
type Fleet struct {
	History   History
	defects   Defects
	world     *simulation.World
	names     []string
	nodes     map[string]*controller
	downSince map[string]clock.Instant
	// crash says that the next proposer that begins its second round dies in it.
	crashNextProposer bool
	// next is the highest generation that any operator has used.
	highestGeneration int64
	err               error
}

// NewFleet makes a fleet of five control machines, three of them acceptors.
func NewFleet(seed int64, breaks Defects) *Fleet {
	fleet := &Fleet{defects: breaks, world: simulation.NewWorld(seed), names: []string{"a", "b", "c", "d", "e"},
		nodes: map[string]*controller{}, downSince: map[string]clock.Instant{}}
	fleet.world.Loss, fleet.world.Double = 0.05, 0.05
	var first []messages.Member
	for _, name := range fleet.names[:setSize] {
		first = append(first, messages.Member{Name: name, Address: name, Disk: name})
	}
	for i, name := range fleet.names {
		node := &controller{name: name, disk: simulation.NewDisk(seed + int64(i))}
		fleet.nodes[name] = node
		fleet.recordError(node.start(name, first))
		fleet.reconcile(name)
	}
	return fleet
}

// Run plays the fleet's day and gives the first error of its machinery.
func (f *Fleet) Run(span clock.Duration) error {
	for number := range operators {
		f.runOperator(number, f.world.Now.Add(span))
	}
	f.scheduleFaults(f.world.Now.Add(span))
	f.world.Run(f.world.Now.Add(span + clock.Milliseconds(20_000)))
	return f.err
}

func (f *Fleet) recordError(err error) {
	if f.err == nil {
		f.err = err
	}
}

// after runs a function in a random time between two, in milliseconds.
func (f *Fleet) afterRandom(minMs, maxMs float64, function func()) {
	f.world.After(clock.Milliseconds(minMs+(maxMs-minMs)*f.world.Random.Float64()), function)
}

func (f *Fleet) any() *controller {
	return f.nodes[f.names[f.world.Random.Intn(len(f.names))]]
}

// tend is what each process does about once in half a second: learn of newer sets from
// others, then propose what the step says.
func (f *Fleet) reconcile(name string) {
	f.afterRandom(200, 800, func() {
		f.reconcile(name)
		node := f.nodes[name]
		if node.down {
			return
		}
		if other := f.any(); !other.down && (other.known.SetEpoch > node.known.SetEpoch || len(node.known.Acceptors) == 0) {
			known, incarnation := other.known, node.incarnation
			f.world.Send(other.name, name, func() {
				if node.incarnation == incarnation {
					node.learn(known)
				}
			})
		}
		reconciler := register.SetReconciler{Own: node.member(), Votes: true, Size: setSize, Departed: f.departed}
		if change := reconciler.NextChange(node.known); change != nil {
			f.propose(node, change, attempts, func(*messages.RegisterValue) {})
		}
	})
}

func (f *Fleet) departed(member messages.Member) bool {
	node := f.nodes[member.Address]
	return node.down && f.world.Now.Sub(f.downSince[member.Address]) > clock.Milliseconds(departedAfterMs)
}

// whole tells whether all machines are up, none is cut off, and the newest set known
// anywhere is complete with the disks that its members have.
func (f *Fleet) healthy() bool {
	var newest messages.RegisterValue
	for _, name := range f.names {
		node := f.nodes[name]
		if node.down {
			return false
		}
		if node.known.SetEpoch >= newest.SetEpoch && len(node.known.Acceptors) > 0 {
			newest = node.known
		}
	}
	for _, member := range newest.Acceptors {
		if f.nodes[member.Address].acceptor.Disk() != member.Disk {
			return false
		}
	}
	return len(newest.Acceptors) == setSize && len(newest.Previous) == 0
}
