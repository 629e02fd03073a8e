package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// controller is one simulated process with an acceptor on a disk.
type controller struct {
	member      messages.Member
	disk        messages.AcceptorRecord
	acceptor    *register.Acceptor
	down        bool
	counter     uint64
	incarnation int64
	known       messages.RegisterValue
	// chosen is set if a majority was seen to accept the known value.
	chosen bool
	// archive contains the older committed versions, and file the part of it that is on disk.
	// syncing is the time at which the disk has finished its queued writes.
	archive register.Archive
	file    []messages.ArchiveChunk
	syncing clock.Instant
}

// fleet is a set of simulated processes in one network, with the changes that were acknowledged.
type fleet struct {
	world       *simulation.World
	controllers map[string]*controller
	// acked contains the body of each acknowledged version by generation, and onBase the generation
	// that was acknowledged on each base.
	acked  map[int64]string
	onBase map[int64]int64
	test   *testing.T
	// maxSyncMs is the maximum time in ms that a sync takes; 0 disables the delay.
	maxSyncMs float64
	// crashProbability is the probability that a proposer crashes between its two rounds.
	crashProbability float64
	// onChosen, if set, is called with each chosen value.
	onChosen func(value messages.RegisterValue)
	// attempts is the number of proposals started.
	attempts int
	// size, if set, is the number of acceptors that tolerates the fault budget: nothing is
	// acknowledged in a smaller set. onAcknowledged, if set, is called at each acknowledgement.
	size           int
	onAcknowledged func(generation int64)
}

func newFleet(t *testing.T, seed int64, names ...string) *fleet {
	t.Helper()

	f := &fleet{world: simulation.NewWorld(seed), controllers: map[string]*controller{}, acked: map[int64]string{}, onBase: map[int64]int64{}, test: t}
	var first []messages.Member
	for _, name := range names {
		first = append(first, messages.Member{Name: name, Address: name, Disk: "first"})
	}
	for _, member := range first {
		record := messages.AcceptorRecord{Disk: member.Disk, First: first}
		f.controllers[member.Address] = &controller{member: member, disk: record, acceptor: register.NewAcceptor(record), known: messages.RegisterValue{Acceptors: first}, chosen: true}
	}
	return f
}

// addNonMember adds a process that proposes but is not a member of the acceptor set.
func (f *fleet) addNonMember(name string) {
	first := f.controllers["a"].disk.First
	record := messages.AcceptorRecord{Disk: name, First: first}
	member := messages.Member{Name: name, Address: name, Disk: name}
	f.controllers[name] = &controller{member: member, disk: record, acceptor: register.NewAcceptor(record), known: messages.RegisterValue{Acceptors: first}, chosen: true}
}

// wipe gives a machine an empty disk and a new identity.
func (f *fleet) wipe(name string) {
	node := f.controllers[name]
	node.member.Disk = fmt.Sprintf("new-%d", f.world.Random.Int63())
	node.disk = messages.AcceptorRecord{Disk: node.member.Disk}
	node.acceptor = register.NewAcceptor(node.disk)
	node.archive, node.file = register.Archive{}, nil
}

// restart starts a process from its disk; only synced state is kept.
func (f *fleet) restart(name string) {
	node := f.controllers[name]
	node.acceptor, node.down = register.NewAcceptor(node.disk), false
	// A new incarnation knows what is on its disk, but not what it proposed before.
	node.counter = 0
	node.incarnation++
	node.known, node.chosen = node.acceptor.Value(), false
	node.syncing = f.world.Now
	node.archive = register.Archive{}
	for _, chunk := range node.file {
		node.archive.Restore(chunk)
	}
}

// replace sends a configuration and checks the guarantees of an acknowledgement.
func (f *fleet) replace(from string, generation, base int64, label string) {
	version := messages.Version{Generation: generation, Base: base, Hash: label}
	var result register.Result
	f.change(from, register.Replace(version, []byte(label), &result), 8, func(value messages.RegisterValue, done bool) {
		if !done {
			return
		}
		f.world.Record("%s %d on %d: %d", from, generation, base, result)
		if f.size > 0 && !register.ToleratesBudget(&value, f.size, len(f.controllers)-len(value.Acceptors)) {
			// Not acknowledged yet: the loss of two members could lose it.
			return
		}
		if result == register.ResultApplied || result == register.ResultAlreadyApplied {
			if other, known := f.onBase[base]; known && other != generation {
				f.test.Fatalf("two changes on base %d acknowledged: %d and %d", base, other, generation)
			}
			f.onBase[base] = generation
			f.acked[generation] = label
			if f.onAcknowledged != nil {
				f.onAcknowledged(generation)
			}
		}
	})
}

// newest reads the register, checks that no acknowledged version is lost, and returns the newest
// generation, or -1 if the read did not succeed.
func (f *fleet) newest(from string) int64 {
	var found int64 = -1
	f.change(from, register.ReadOnly, 12, func(value messages.RegisterValue, done bool) {
		if !done {
			return
		}
		found = value.Current.Generation
		for generation, label := range f.acked {
			if generation > found {
				f.test.Fatalf("acknowledged version %d (%s) is lost, newest is %d", generation, label, found)
			}
			if generation == found && string(value.Body) != label {
				f.test.Fatalf("version %d has body %q, want %q as acknowledged", generation, string(value.Body), label)
			}
		}
	})
	f.world.Run(f.world.Now.Add(clock.Milliseconds(8000)))
	return found
}
