package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// The fleet of these tests: eight controllers that know three seeds, and a budget of
// two machines, which five acceptors bear.
const (
	budgetSize    = 5
	budgetSilence = 6_000_000_000
	budgetRecover = 15_000
)

// grown is a fleet whose processes look after the set by themselves.
type grown struct {
	*fleet
	downSince map[string]clock.Moment
	number    int
	// met is when each process first saw the set that it knows.
	met map[string]sighting
}

// sighting is an epoch of the set and when it was first seen.
type sighting struct {
	epoch uint64
	at    clock.Moment
}

// fresh tells whether a process met its set a short while ago.
func (one *grown) fresh(name string) bool {
	epoch := one.controllers[name].known.SetEpoch
	if one.met[name].epoch != epoch {
		one.met[name] = sighting{epoch, one.world.Now}
	}
	return one.world.Now.Since(one.met[name].at) < constants.JointTime
}

func newGrown(test *testing.T, seed int64) *grown {
	one := &grown{fleet: newFleet(test, seed, "a", "b", "c"), downSince: map[string]clock.Moment{}, met: map[string]sighting{}}
	one.size = budgetSize
	for _, name := range []string{"d", "e", "f", "g", "h"} {
		one.outsider(name)
	}
	for _, name := range simulation.Keys(one.controllers) {
		one.tend(name)
	}
	return one
}

// tend is what each process does about once in half a second: hear of newer sets
// from others, then propose what the step says.
func (one *grown) tend(name string) {
	one.world.After(clock.Milliseconds(200+600*one.world.Random.Float64()), func() {
		one.tend(name)
		node := one.controllers[name]
		if node == nil || node.down {
			return
		}
		names := simulation.Keys(one.controllers)
		for asked := 0; asked < 3; asked++ {
			other := one.controllers[names[one.world.Random.Intn(len(names))]]
			if !other.down && (other.known.SetEpoch > node.known.SetEpoch || len(node.known.Acceptors) == 0) {
				node.known = other.known
			}
		}
		tending := register.Tending{Own: node.member, Votes: true, Size: budgetSize, Gone: one.gone, Fresh: one.fresh(name)}
		if change := tending.Step(node.known); change != nil {
			one.change(name, change, 3, func(messages.Register, bool) {})
		}
	})
}

func (one *grown) gone(member messages.Member) bool {
	node := one.controllers[member.Address]
	return node == nil || (node.down && one.world.Now.Since(one.downSince[member.Address]) > budgetSilence)
}

func (one *grown) stop(name string) {
	one.controllers[name].down = true
	one.downSince[name] = one.world.Now
}

// start brings a process back, with its disk or without.
func (one *grown) start(name string, wiped bool) {
	if wiped {
		one.wipe(name)
	}
	one.restart(name)
}

// whole tells whether the newest set known anywhere is complete and all of it up.
func (one *grown) whole() bool {
	var newest messages.Register
	for _, name := range simulation.Keys(one.controllers) {
		if known := one.controllers[name].known; known.SetEpoch >= newest.SetEpoch && len(known.Acceptors) > 0 {
			newest = known
		}
	}
	for _, member := range newest.Acceptors {
		node := one.controllers[member.Address]
		if node == nil || node.down || node.member.Disk != member.Disk {
			return false
		}
	}
	return len(newest.Acceptors) == budgetSize && len(newest.Previous) == 0
}

// until runs the world in steps until something holds; false when it takes longer.
func (one *grown) until(span clock.Span, holds func() bool) bool {
	for end := one.world.Now.Plus(span); one.world.Now < end; {
		if holds() {
			return true
		}
		one.world.Run(one.world.Now.Plus(clock.Milliseconds(50)))
	}
	return holds()
}

// insist sends a configuration to one process after another until it is told.
func (one *grown) insist(generation, base int64) {
	if one.acked[generation] != "" {
		return
	}
	names := simulation.Keys(one.controllers)
	one.replace(names[one.world.Random.Intn(len(names))], generation, base, fmt.Sprint(generation))
	one.world.After(clock.Milliseconds(700), func() { one.insist(generation, base) })
}

// strike is the fault right after an acknowledgement, within the budget of two.
func (one *grown) strike() {
	names := simulation.Keys(one.controllers)
	one.world.Random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	lost, others := names[:2], names[2:]
	back := func(name string, wiped bool) {
		one.world.After(clock.Milliseconds(300+1500*one.world.Random.Float64()), func() { one.start(name, wiped) })
	}
	switch one.world.Random.Intn(4) {
	case 0:
		// Two disks are lost while all others lose power.
		for _, name := range names {
			one.stop(name)
		}
		for _, name := range lost {
			back(name, true)
		}
		for _, name := range others {
			back(name, false)
		}
	case 1:
		for _, name := range lost {
			one.stop(name)
			back(name, one.world.Random.Intn(2) == 0)
		}
	case 2:
		// Two machines are gone for good; others with empty disks come for them.
		for _, name := range lost {
			one.stop(name)
			delete(one.controllers, name)
			one.number++
			fresh := fmt.Sprint(name, one.number)
			one.world.After(clock.Milliseconds(2000*one.world.Random.Float64()), func() {
				record := messages.AcceptorRecord{Disk: fresh}
				member := messages.Member{Name: fresh, Address: fresh, Disk: fresh}
				one.controllers[fresh] = &controller{member: member, disk: record, live: register.NewAcceptor(record)}
				one.tend(fresh)
			})
		}
	case 3:
		for _, name := range lost {
			one.world.Isolate(name, names, true)
		}
		one.world.After(clock.Milliseconds(3000), func() {
			for _, name := range lost {
				one.world.Isolate(name, names, false)
			}
		})
	}
}

// The set grows from the three seeds to five before anything is acknowledged, and
// whatever was acknowledged outlasts the loss of two at any moment after it.
func TestBudgetOfTwo(test *testing.T) {
	for seed := int64(1); seed <= int64(simulation.Seeds(120)); seed++ {
		one := newGrown(test, seed)
		one.world.Loss, one.world.Double = 0.02, 0.02
		if seed%3 == 0 {
			one.slow = 60
		}
		begun := one.world.Now
		struck := false
		one.told = func(int64) {
			if !struck {
				struck = true
				one.strike()
			}
		}
		for generation := int64(1); generation <= 5; generation++ {
			struck = false
			one.insist(generation, generation-1)
			if !one.until(clock.Milliseconds(budgetRecover), func() bool { return one.acked[generation] != "" }) {
				test.Fatalf("seed %d: version %d not acknowledged after %v", seed, generation, one.world.Now.Since(begun))
			}
			// The next one has to come through within the time to recover.
			one.world.Run(one.world.Now.Plus(clock.Milliseconds(1800)))
			names := simulation.Keys(one.controllers)
			if found := one.newest(names[one.world.Random.Intn(len(names))]); found >= 0 && found < generation {
				test.Fatalf("seed %d: found %d, want %d", seed, found, generation)
			}
			// Troubles beyond the budget wait their turn.
			if !one.until(clock.Milliseconds(60_000), one.whole) {
				test.Fatalf("seed %d: the set is not whole a minute after a fault", seed)
			}
		}
	}
}

// Growing takes a small part of the time before traffic starts.
func TestSetGrowsSoon(test *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		one := newGrown(test, seed)
		one.slow = 30
		if !one.until(clock.Milliseconds(8000), one.whole) {
			test.Fatalf("seed %d: not whole after %v", seed, one.world.Now)
		}
		one.world.Run(one.world.Now.Plus(clock.Milliseconds(10_000)))
		for _, name := range simulation.Keys(one.controllers) {
			if count := len(one.controllers[name].known.Acceptors); count > budgetSize {
				test.Fatalf("seed %d: %d members", seed, count)
			}
		}
	}
}
