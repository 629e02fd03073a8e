package foreman

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/boot"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// tendPlansNow has a foreman look after the register of assignments as one does in
// its first second.
func tendPlansNow(foreman *Foreman) {
	foreman.begun = watch.Now()
	foreman.tendNamed(foreman.plans.register)
}

// voters makes foremen whose disks are in memory and vote all the same, so that the
// test does not hang on how fast the machine's disk syncs.
func voters(test *testing.T, count int) (map[int]*Foreman, *tongs.Room) {
	room, foremen := tongs.NewRoom(), map[int]*Foreman{}
	for number := 1; number <= count; number++ {
		foremen[number] = voter(test, room, number, true)
	}
	acquaint(foremen)
	return foremen, room
}

func voter(test *testing.T, room *tongs.Room, number int, first bool) *Foreman {
	settings := &boot.Boot{NodeName: fmt.Sprint("m", number), Address: fmt.Sprint("10.0.0.", number), Hall: fmt.Sprint("h", number%4),
		InternalPorts: []int{7000, 7010}, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, Bootstrap: first, InQuorum: true,
		HeartbeatMs: 1200, FaultBudget: boot.FaultBudget{Machines: 2}}
	foreman, failure := New(settings, hclog.NewNullLogger())
	if failure != nil {
		test.Fatal(failure)
	}
	foreman.Stand.Wire = room.Transport(foreman.Stand.Own.Address)
	if failure = foreman.Stand.Wire.Serve(foreman.Stand.Handle); failure != nil {
		test.Fatal(failure)
	}
	return foreman
}

// acquaint has all hear of all, as their beats would.
func acquaint(foremen map[int]*Foreman) {
	for _, one := range foremen {
		for _, other := range foremen {
			if one != other {
				one.Stand.Hear([]pattern.Entry{other.Stand.Own})
			}
		}
	}
}

// TestAssignmentsOutlastAWipeAndTwoLosses: the register of assignments grows to the
// budget, a wiped member comes back as somebody else, and what was acknowledged is
// read from the rest. The configuration's set is left as it was throughout.
func TestAssignmentsOutlastAWipeAndTwoLosses(test *testing.T) {
	foremen, room := voters(test, 8)
	for round := 0; round < 3; round++ {
		for number := 1; number <= 8; number++ {
			tendPlansNow(foremen[number])
		}
	}
	set := foremen[8].plans.register.Known()
	if len(set.Acceptors) != 5 || len(set.Previous) != 0 {
		test.Fatal("the set is of ", len(set.Acceptors), len(set.Previous))
	}
	if len(members(foremen[8])) != 3 {
		test.Fatal("the configuration's set changed with it: ", members(foremen[8]))
	}
	rules, answer := rulesAndAnswer(test)
	acquaint(foremen)
	back := &pattern.PlanApplied{}
	asked(test, foremen[1], pattern.KindPlanApply, &pattern.PlanApply{Rules: rules, Answer: answer}, back)
	if !back.Taken || back.Revision != 1 {
		test.Fatalf("%+v", back)
	}
	room.Cut(foremen[1].Stand.Own.Address, true)
	before := foremen[3].plans.register.Identity()
	foremen[3].Stand.Wire.Close()
	// The same machine with an empty disk, which is no first start.
	foremen[3] = voter(test, room, 3, false)
	acquaint(foremen)
	promise := &pattern.Promise{}
	asked(test, foremen[3], pattern.KindNamedPrepare, &pattern.NamedPrepare{Name: PlansRegister,
		Prepare: pattern.Prepare{Ballot: pattern.Ballot{Counter: 1 << 30, Node: "x"}, Disk: before.Disk}}, promise)
	if promise.Granted {
		test.Fatal("an amnesiac voted under its old name")
	}
	for round := 0; round < 3; round++ {
		tendPlansNow(foremen[3])
	}
	known := foremen[3].plans.register.Known()
	inside := false
	for _, member := range known.Acceptors {
		inside = inside || member.Disk == foremen[3].plans.register.Identity().Disk
	}
	if !inside || len(known.Acceptors) != 5 {
		test.Fatal("the wiped machine did not come back: ", known.Acceptors)
	}
	room.Cut(foremen[2].Stand.Own.Address, true)
	told, failure := foremen[3].planRead()
	if failure != nil || told.Revision != 1 || !bytes.Equal(told.Value.Rules, rules) {
		test.Fatal(failure, told)
	}
}
