package foreman

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/boot"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// fleet makes foremen on machines 10.0.0.1 and so on, joined in memory; the first
// three are the seeds. Machines named blank have no disk.
func fleet(test *testing.T, count int, blank map[int]bool) (map[int]*Foreman, *tongs.Room) {
	room, foremen := tongs.NewRoom(), map[int]*Foreman{}
	for number := 1; number <= count; number++ {
		one := &boot.Boot{NodeName: fmt.Sprint("m", number), Address: fmt.Sprint("10.0.0.", number), Hall: fmt.Sprint("h", number%4),
			InternalPorts: []int{7000, 7010}, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, Bootstrap: true,
			HeartbeatMs: 1200, FaultBudget: boot.FaultBudget{Machines: 2}}
		// Those that count in the quorum vote, here from memory: a real disk's syncs
		// would make the outcome hang on the load of the machine that tests.
		one.InQuorum = !blank[number]
		foreman, failure := New(one, hclog.NewNullLogger())
		if failure != nil {
			test.Fatal(failure)
		}
		foreman.Stand.Wire = room.Transport(foreman.Stand.Own.Address)
		if failure = foreman.Stand.Wire.Serve(foreman.Stand.Handle); failure != nil {
			test.Fatal(failure)
		}
		foremen[number] = foreman
	}
	for _, one := range foremen {
		for _, other := range foremen {
			one.Stand.Hear([]pattern.Entry{other.Stand.Own})
		}
	}
	return foremen, room
}

// tend has a foreman look after the set as one does in its first second, without
// the dice that come later.
func tend(foreman *Foreman) {
	foreman.begun = watch.Now()
	foreman.tendSet()
}

func members(foreman *Foreman) map[string]bool {
	found := map[string]bool{}
	for _, member := range foreman.Register.Known().Acceptors {
		found[member.Address] = true
	}
	return found
}

// Eight foremen that know three seeds make a set of five, and no larger one,
// whoever asks in whatever order.
func TestSetGrowsToTheBudget(test *testing.T) {
	foremen, room := fleet(test, 8, nil)
	for round := 0; round < 3; round++ {
		for number := 1; number <= 8; number++ {
			tend(foremen[number])
		}
	}
	value, failure := foremen[8].Register.Read()
	if failure != nil || len(value.Acceptors) != 5 || len(value.Previous) != 0 {
		test.Fatal(failure, len(value.Acceptors), len(value.Previous))
	}
	// Two of the seeds fall silent: the register still answers, and outlasts them.
	room.Cut("10.0.0.1:7000", true)
	room.Cut("10.0.0.2:7000", true)
	if _, failure = foremen[8].Register.Read(); failure != nil {
		test.Fatal(failure)
	}
}

// A foreman without a disk runs, answers and has no vote; a seat that the seed
// list gave to one goes to a machine with a disk.
func TestForemanWithoutADisk(test *testing.T) {
	foremen, _ := fleet(test, 8, map[int]bool{2: true, 7: true})
	if foremen[7].Stand.Own.Disk != "" {
		test.Fatal("tells of a disk that it has not")
	}
	for round := 0; round < 4; round++ {
		for _, number := range []int{7, 2, 4, 5, 6, 8} {
			tend(foremen[number])
		}
	}
	set := members(foremen[8])
	if len(set) != 5 || set["10.0.0.2:7000"] || set["10.0.0.7:7000"] {
		test.Fatal(set)
	}
	// The front without a vote still reads the register.
	if value, failure := foremen[7].Register.Read(); failure != nil || len(value.Acceptors) != 5 {
		test.Fatal(failure, len(value.Acceptors))
	}
}

// Nothing is acknowledged while two losses could take it away and others are there
// to join; once the set is whole, or nobody can make it so, it is.
func TestAcknowledgedOnlyInASetThatBearsTheBudget(test *testing.T) {
	folder := test.TempDir()
	foreman, server := open(test, folder, true)
	foreman.Stand.Boot.FaultBudget.Machines = 2
	foreman.Stand.Hear([]pattern.Entry{{Name: "other", Role: "foreman", Address: "127.0.0.1:9", Disk: "d"}})
	if status, body := call(test, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 504 {
		test.Fatal(status, body)
	}
	// A refusal needs no waiting.
	if status, _ := call(test, server, "POST", "/-/Configuration.Replace", "7", config(3)); status != 412 {
		test.Fatal(status)
	}
	foreman.begun -= 60_000_000_000
	if status, body := call(test, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		test.Fatal(status, body)
	}
}

// A seed without a disk counts for nothing at the first start: what is acknowledged
// waits until machines with a disk have its seat.
func TestFirstAcknowledgementWaitsForDisks(test *testing.T) {
	foremen, _ := fleet(test, 4, map[int]bool{2: true})
	one := foremen[1]
	one.Stand.Boot.FaultBudget.Machines = 1
	foremen[4].Stand.Boot.FaultBudget.Machines = 1
	value, failure := one.Register.Read()
	if failure != nil || one.bears(&value) {
		test.Fatal("bears with a seed that has no disk: ", failure)
	}
	tend(foremen[4])
	if value, failure = one.Register.Read(); failure != nil || !one.bears(&value) {
		test.Fatal("does not bear with three disks: ", failure, members(one))
	}
}
