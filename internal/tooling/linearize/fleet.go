package linearize

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

const (
	// setSize is the number of acceptors that the simulated fleet maintains. A set of three
	// tolerates the loss of one.
	setSize = 3
	// attemptMs is how long a proposer waits for its two phases, and attempts the number of
	// attempts for one call.
	attemptMs = 400
	attempts  = 4
	// departedAfterMs is how long a member must be down before the others replace it.
	departedAfterMs = 2500
)

// Defects removes guards from the fleet, so that a test can verify that the check detects it.
type Defects struct {
	// KeepIdentity lets a machine whose disk came back empty vote under its old identity.
	KeepIdentity bool
	// ReadFromOne lets a read return the value of the first acceptor that responds.
	ReadFromOne bool
	// RejectResent rejects a version that was already applied when it is sent again.
	RejectResent bool
	// RespondUnsynced lets an acceptor respond before its record is on disk.
	RespondUnsynced bool
}

// Fleet is a seeded simulation of the controller machines, which run the real register core, of
// the operators that call them, and of severe faults of the machines and the network.
type Fleet struct {
	History   History
	defects   Defects
	world     *simulation.World
	names     []string
	nodes     map[string]*controller
	downSince map[string]clock.Instant
	// crashNextProposer reports whether the next proposer that begins its accept phase crashes
	// in it.
	crashNextProposer bool
	// highestGeneration is the highest generation that any operator has used.
	highestGeneration int64
	err               error
}

// NewFleet returns a fleet of five controller machines, three of which are acceptors.
func NewFleet(seed int64, defects Defects) *Fleet {
	fleet := &Fleet{defects: defects, world: simulation.NewWorld(seed), names: []string{"a", "b", "c", "d", "e"},
		nodes: map[string]*controller{}, downSince: map[string]clock.Instant{}}
	fleet.world.LossProbability, fleet.world.DuplicateProbability = 0.05, 0.05
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

// Run runs the simulation for a time span, and then for 20 s in which operators begin no new calls
// and no new faults are scheduled. It returns the first internal error of the simulation.
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

// afterRandom calls a function after a random delay between minMs and maxMs, in milliseconds.
func (f *Fleet) afterRandom(minMs, maxMs float64, function func()) {
	f.world.After(clock.Milliseconds(minMs+(maxMs-minMs)*f.world.Random.Float64()), function)
}

func (f *Fleet) any() *controller {
	return f.nodes[f.names[f.world.Random.Intn(len(f.names))]]
}

// reconcile runs on each process about every half second: it learns newer sets from another
// process, then proposes the change that register.SetReconciler returns.
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

// healthy reports whether all machines are up and the newest known acceptor set is complete,
// with the disks that its members currently have.
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
