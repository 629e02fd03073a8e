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
	downSince map[string]clock.Instant
	number    int
	// met is when each process first saw the set that it knows.
	met map[string]sighting
}

// sighting is an epoch of the set and when it was first seen.
type sighting struct {
	epoch uint64
	at    clock.Instant
}

// fresh tells whether a process met its set a short while ago.
func (g *grown) fresh(name string) bool {
	epoch := g.controllers[name].known.SetEpoch
	if g.met[name].epoch < epoch {
		g.met[name] = sighting{epoch, g.world.Now}
	}
	return g.world.Now.Sub(g.met[name].at) < constants.JointSetOwnerTime
}

func newGrown(t *testing.T, seed int64) *grown {
	t.Helper()

	g := &grown{fleet: newFleet(t, seed, "a", "b", "c"), downSince: map[string]clock.Instant{}, met: map[string]sighting{}}
	g.size = budgetSize
	for _, name := range []string{"d", "e", "f", "g", "h"} {
		g.outsider(name)
	}
	for _, name := range simulation.Keys(g.controllers) {
		g.reconcile(name)
	}
	return g
}

// reconcile is what each process does about once in half a second: learn of newer sets
// from others, then propose what the step says.
func (g *grown) reconcile(name string) {
	g.world.After(clock.Milliseconds(200+600*g.world.Random.Float64()), func() {
		g.reconcile(name)
		node := g.controllers[name]
		if node == nil || node.down {
			return
		}
		names := simulation.Keys(g.controllers)
		for requested := 0; requested < 3; requested++ {
			other := g.controllers[names[g.world.Random.Intn(len(names))]]
			if !other.down && other.chosen && (other.known.SetEpoch > node.known.SetEpoch || len(node.known.Acceptors) == 0) {
				node.known, node.chosen = other.known, false
			}
		}
		tending := register.SetReconciler{Own: node.member, Votes: true, Size: budgetSize, Departed: g.departed}
		if !node.chosen || node.disk.Value.SetEpoch > node.known.SetEpoch || tending.NextChange(node.known) != nil {
			g.read(name, func(value messages.RegisterValue) {
				tending.JointRecent = g.fresh(name)
				g.step(name, tending, value)
			})
		}
	})
}

// step proposes what a chosen value asks for, and ends the joint set that it made.
func (g *grown) step(name string, tending register.SetReconciler, value messages.RegisterValue) {
	change := tending.NextChange(value)
	if change == nil {
		return
	}
	g.change(name, change, 3, func(value messages.RegisterValue, done bool) {
		if done && len(value.Previous) > 0 {
			g.change(name, register.EndJoint, 3, func(messages.RegisterValue, bool) {})
		}
	})
}

// read gives a process the value in force: quickly where that is clear, and by a
// proposal at times where it is not, as a change may be under way.
func (g *grown) read(name string, read func(value messages.RegisterValue)) {
	g.look(name, register.ReadOnly, func(value messages.RegisterValue, decided bool) {
		node := g.controllers[name]
		switch {
		case node == nil:
		case decided:
			read(value)
		case g.world.Random.Intn(4) == 0:
			g.change(name, register.ReadOnly, 2, func(value messages.RegisterValue, done bool) {
				if done {
					read(value)
				}
			})
		}
	})
}

func (g *grown) departed(member messages.Member) bool {
	node := g.controllers[member.Address]
	return node == nil || (node.down && g.world.Now.Sub(g.downSince[member.Address]) > budgetSilence)
}

func (g *grown) stop(name string) {
	g.controllers[name].down = true
	g.downSince[name] = g.world.Now
}

// start brings a process back, with its disk or without.
func (g *grown) start(name string, wiped bool) {
	if wiped {
		g.wipe(name)
	}
	g.restart(name)
}

// complete tells whether the newest set known anywhere is complete and all of it up.
func (g *grown) complete() bool {
	var newest messages.RegisterValue
	for _, name := range simulation.Keys(g.controllers) {
		if node := g.controllers[name]; node.chosen && node.known.SetEpoch >= newest.SetEpoch {
			newest = node.known
		}
	}
	for _, member := range newest.Acceptors {
		node := g.controllers[member.Address]
		if node == nil || node.down || node.member.Disk != member.Disk {
			return false
		}
	}
	return len(newest.Acceptors) == budgetSize && len(newest.Previous) == 0
}

// until runs the world in steps until something holds; false when it takes longer.
func (g *grown) until(timeout clock.Duration, condition func() bool) bool {
	for end := g.world.Now.Add(timeout); g.world.Now < end; {
		if condition() {
			return true
		}
		g.world.Run(g.world.Now.Add(clock.Milliseconds(50)))
	}
	return condition()
}

// insist sends a configuration to one process after another until it is told.
func (g *grown) insist(generation, base int64) {
	if g.acked[generation] != "" {
		return
	}
	names := simulation.Keys(g.controllers)
	g.replace(names[g.world.Random.Intn(len(names))], generation, base, fmt.Sprint(generation))
	g.world.After(clock.Milliseconds(700), func() { g.insist(generation, base) })
}
