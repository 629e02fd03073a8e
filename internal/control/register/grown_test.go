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
	if one.met[name].epoch < epoch {
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
			if !other.down && other.chosen && (other.known.SetEpoch > node.known.SetEpoch || len(node.known.Acceptors) == 0) {
				node.known, node.chosen = other.known, false
			}
		}
		tending := register.Tending{Own: node.member, Votes: true, Size: budgetSize, Gone: one.gone}
		if !node.chosen || node.disk.Value.SetEpoch > node.known.SetEpoch || tending.Step(node.known) != nil {
			one.read(name, func(value messages.Register) {
				tending.Fresh = one.fresh(name)
				one.step(name, tending, value)
			})
		}
	})
}

// step proposes what a chosen value asks for, and ends the joint set that it made.
func (one *grown) step(name string, tending register.Tending, value messages.Register) {
	change := tending.Step(value)
	if change == nil {
		return
	}
	one.change(name, change, 3, func(value messages.Register, done bool) {
		if done && len(value.Previous) > 0 {
			one.change(name, register.Settle, 3, func(messages.Register, bool) {})
		}
	})
}

// read gives a process the value in force: quickly where that is clear, and by a
// proposal at times where it is not, as a change may be under way.
func (one *grown) read(name string, read func(value messages.Register)) {
	one.look(name, register.Look, func(value messages.Register, settled bool) {
		node := one.controllers[name]
		switch {
		case node == nil:
		case settled:
			read(value)
		case one.world.Random.Intn(4) == 0:
			one.change(name, register.Look, 2, func(value messages.Register, done bool) {
				if done {
					read(value)
				}
			})
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
		if node := one.controllers[name]; node.chosen && node.known.SetEpoch >= newest.SetEpoch {
			newest = node.known
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
