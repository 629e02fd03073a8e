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
	member  messages.Member
	disk    messages.AcceptorRecord
	live    *register.Acceptor
	down    bool
	counter uint64
	life    int64
	known   messages.RegisterValue
	// chosen says that a majority was seen to hold what is known.
	chosen bool
	// archive is what is known of versions taken long ago, and file what of it is
	// on disk. syncing is when the disk is done with what it was given.
	archive register.Archive
	file    []messages.ArchiveChunk
	syncing clock.Instant
}

type fleet struct {
	world       *simulation.World
	controllers map[string]*controller
	acked       map[int64]string
	onBase      map[int64]int64
	test        *testing.T
	// slow is how many ms a sync may take beyond the usual.
	slow float64
	// crash is the chance that a proposer dies between its two rounds.
	crash float64
	// chosen, where set, is told of each value that was chosen.
	chosen func(value messages.RegisterValue)
	// attempts counts proposals begun.
	attempts int
	// size, where it is set, is how many acceptors bear the fault budget: nothing
	// is acknowledged in a smaller set. told is called at each acknowledgement.
	size int
	told func(generation int64)
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
		f.controllers[member.Address] = &controller{member: member, disk: record, live: register.NewAcceptor(record), known: messages.RegisterValue{Acceptors: first}, chosen: true}
	}
	return f
}

// outsider adds a process that proposes and does not vote.
func (f *fleet) outsider(name string) {
	first := f.controllers["a"].disk.First
	record := messages.AcceptorRecord{Disk: name, First: first}
	member := messages.Member{Name: name, Address: name, Disk: name}
	f.controllers[name] = &controller{member: member, disk: record, live: register.NewAcceptor(record), known: messages.RegisterValue{Acceptors: first}, chosen: true}
}

// wipe gives a machine an empty disk and a new identity.
func (f *fleet) wipe(name string) {
	node := f.controllers[name]
	node.member.Disk = fmt.Sprintf("new-%d", f.world.Random.Int63())
	node.disk = messages.AcceptorRecord{Disk: node.member.Disk}
	node.live = register.NewAcceptor(node.disk)
	node.archive, node.file = register.Archive{}, nil
}

// restart reads the disk again: only what was kept is known.
func (f *fleet) restart(name string) {
	node := f.controllers[name]
	node.live, node.down = register.NewAcceptor(node.disk), false
	// A new incarnation knows what its disk says, and nothing of what it proposed.
	node.counter = 0
	node.life++
	node.known, node.chosen = node.live.Value(), false
	node.syncing = f.world.Now
	node.archive = register.Archive{}
	for _, chunk := range node.file {
		node.archive.Restore(chunk)
	}
}

// replace sends a configuration and checks what an acknowledgement promises.
func (f *fleet) replace(from string, generation, base int64, label string) {
	version := messages.Version{Generation: generation, Base: base, Hash: label}
	var result register.Result
	f.change(from, register.Replace(version, []byte(label), &result), 8, func(value messages.RegisterValue, done bool) {
		if !done {
			return
		}
		f.world.Record("%s %d on %d: %d", from, generation, base, result)
		if f.size > 0 && !register.ToleratesBudget(&value, f.size, len(f.controllers)-len(value.Acceptors)) {
			// Not told yet: two losses could take it away again.
			return
		}
		if result == register.ResultApplied || result == register.ResultAlreadyApplied {
			if other, known := f.onBase[base]; known && other != generation {
				f.test.Fatalf("two changes on base %d acknowledged: %d and %d", base, other, generation)
			}
			f.onBase[base] = generation
			f.acked[generation] = label
			if f.told != nil {
				f.told(generation)
			}
		}
	})
}

// newest reads the register and checks that nothing acknowledged is gone.
func (f *fleet) newest(from string) int64 {
	var found int64 = -1
	f.change(from, register.ReadOnly, 12, func(value messages.RegisterValue, done bool) {
		if !done {
			return
		}
		found = value.Current.Generation
		for generation, label := range f.acked {
			if generation > found {
				f.test.Fatalf("acknowledged %d (%s) is gone, newest is %d", generation, label, found)
			}
			if generation == found && string(value.Body) != label {
				f.test.Fatalf("version %d holds another body", generation)
			}
		}
	})
	f.world.Run(f.world.Now.Add(clock.Milliseconds(8000)))
	return found
}
