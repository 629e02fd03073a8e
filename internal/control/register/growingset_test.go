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

// These tests use eight controllers that know three seeds, and a fault budget of two machines,
// which needs five acceptors (budgetSize). budgetSilence is the time in ns after which a stopped
// member counts as departed, and budgetRecover the time in ms within which a change must be
// acknowledged.
const (
	budgetSize    = 5
	budgetSilence = 6_000_000_000
	budgetRecover = 15_000
)

// growingFleet is a fleet whose processes maintain the acceptor set.
type growingFleet struct {
	*fleet
	downSince    map[string]clock.Instant
	replacements int
	// setFirstSeen records when each process first saw the set that it knows.
	setFirstSeen map[string]setObservation
}

// setObservation is an epoch of the set and the time at which it was first seen.
type setObservation struct {
	epoch uint64
	at    clock.Instant
}

// jointRecent reports whether a process first saw its set a short while ago.
func (g *growingFleet) jointRecent(name string) bool {
	epoch := g.controllers[name].known.SetEpoch
	if g.setFirstSeen[name].epoch < epoch {
		g.setFirstSeen[name] = setObservation{epoch, g.world.Now}
	}
	return g.world.Now.Sub(g.setFirstSeen[name].at) < constants.JointSetOwnerTime
}

func newGrowingFleet(t *testing.T, seed int64) *growingFleet {
	t.Helper()

	g := &growingFleet{fleet: newFleet(t, seed, "a", "b", "c"), downSince: map[string]clock.Instant{}, setFirstSeen: map[string]setObservation{}}
	g.size = budgetSize
	for _, name := range []string{"d", "e", "f", "g", "h"} {
		g.addNonMember(name)
	}
	for _, name := range simulation.SortedKeys(g.controllers) {
		g.reconcile(name)
	}
	return g
}

// reconcile is what each process does about every half second: it learns of newer sets from others,
// then proposes the change that it has to make.
func (g *growingFleet) reconcile(name string) {
	g.world.After(clock.Milliseconds(200+600*g.world.Random.Float64()), func() {
		g.reconcile(name)
		node := g.controllers[name]
		if node == nil || node.down {
			return
		}
		names := simulation.SortedKeys(g.controllers)
		for lookups := 0; lookups < 3; lookups++ {
			other := g.controllers[names[g.world.Random.Intn(len(names))]]
			if !other.down && other.chosen && (other.known.SetEpoch > node.known.SetEpoch || len(node.known.Acceptors) == 0) {
				node.known, node.chosen = other.known, false
			}
		}
		reconciler := register.SetReconciler{Own: node.member, Votes: true, Size: budgetSize, Departed: g.departed}
		if !node.chosen || node.disk.Value.SetEpoch > node.known.SetEpoch || reconciler.NextChange(node.known) != nil {
			g.read(name, func(value messages.RegisterValue) {
				reconciler.JointRecent = g.jointRecent(name)
				g.step(name, reconciler, value)
			})
		}
	})
}

// step proposes the change that a chosen value requires, and ends the joint set that it created.
func (g *growingFleet) step(name string, reconciler register.SetReconciler, value messages.RegisterValue) {
	change := reconciler.NextChange(value)
	if change == nil {
		return
	}
	g.change(name, change, 3, func(value messages.RegisterValue, done bool) {
		if done && len(value.Previous) > 0 {
			g.change(name, register.EndJoint, 3, func(messages.RegisterValue, bool) {})
		}
	})
}

// read passes the value in force to a callback: by a quick read if that is decisive; otherwise, as
// a change may be in progress, by a proposal with a probability of 1/4, or not at all.
func (g *growingFleet) read(name string, read func(value messages.RegisterValue)) {
	g.quickRead(name, register.ReadOnly, func(value messages.RegisterValue, decided bool) {
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

func (g *growingFleet) departed(member messages.Member) bool {
	node := g.controllers[member.Address]
	return node == nil || (node.down && g.world.Now.Sub(g.downSince[member.Address]) > budgetSilence)
}

func (g *growingFleet) stop(name string) {
	g.controllers[name].down = true
	g.downSince[name] = g.world.Now
}

// start restarts a process, with its disk or with an empty one.
func (g *growingFleet) start(name string, wiped bool) {
	if wiped {
		g.wipe(name)
	}
	g.restart(name)
}

// complete reports whether the newest known set is complete and all its members are up.
func (g *growingFleet) complete() bool {
	var newest messages.RegisterValue
	for _, name := range simulation.SortedKeys(g.controllers) {
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

// runUntil runs the simulation in steps until the condition is true; it returns false if that takes
// longer than the timeout.
func (g *growingFleet) runUntil(timeout clock.Duration, condition func() bool) bool {
	for end := g.world.Now.Add(timeout); g.world.Now < end; {
		if condition() {
			return true
		}
		g.world.Run(g.world.Now.Add(clock.Milliseconds(50)))
	}
	return condition()
}

// replaceUntilAcknowledged sends a configuration to one process after another until it is
// acknowledged.
func (g *growingFleet) replaceUntilAcknowledged(generation, base int64) {
	if g.acked[generation] != "" {
		return
	}
	names := simulation.SortedKeys(g.controllers)
	g.replace(names[g.world.Random.Intn(len(names))], generation, base, fmt.Sprint(generation))
	g.world.After(clock.Milliseconds(700), func() { g.replaceUntilAcknowledged(generation, base) })
}
