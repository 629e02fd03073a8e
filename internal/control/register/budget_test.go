package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// strike is the fault right after an acknowledgement, within the budget of two.
func (g *grown) strike() {
	names := simulation.Keys(g.controllers)
	g.world.Random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	lost, others := names[:2], names[2:]
	resp := func(name string, wiped bool) {
		g.world.After(clock.Milliseconds(300+1500*g.world.Random.Float64()), func() { g.start(name, wiped) })
	}
	switch g.world.Random.Intn(4) {
	case 0:
		// Two disks are lost while all others lose power.
		for _, name := range names {
			g.stop(name)
		}
		for _, name := range lost {
			resp(name, true)
		}
		for _, name := range others {
			resp(name, false)
		}
	case 1:
		for _, name := range lost {
			g.stop(name)
			resp(name, g.world.Random.Intn(2) == 0)
		}
	case 2:
		// Two machines are gone for good; others with empty disks come for them.
		for _, name := range lost {
			g.stop(name)
			delete(g.controllers, name)
			g.number++
			fresh := fmt.Sprint(name, g.number)
			g.world.After(clock.Milliseconds(2000*g.world.Random.Float64()), func() {
				record := messages.AcceptorRecord{Disk: fresh}
				member := messages.Member{Name: fresh, Address: fresh, Disk: fresh}
				g.controllers[fresh] = &controller{member: member, disk: record, live: register.NewAcceptor(record)}
				g.reconcile(fresh)
			})
		}
	case 3:
		for _, name := range lost {
			g.world.Isolate(name, names, true)
		}
		g.world.After(clock.Milliseconds(3000), func() {
			for _, name := range lost {
				g.world.Isolate(name, names, false)
			}
		})
	}
}

// The set grows from the three seeds to five before anything is acknowledged, and
// whatever was acknowledged outlasts the loss of two at any moment after it.
func TestBudgetOfTwo(t *testing.T) {
	for seed := int64(1); seed <= int64(simulation.Seeds(120)); seed++ {
		grown := newGrown(t, seed)
		grown.world.Loss, grown.world.Double = 0.02, 0.02
		if seed%3 == 0 {
			grown.slow = 60
		}
		start := grown.world.Now
		struck := false
		grown.told = func(int64) {
			if !struck {
				struck = true
				grown.strike()
			}
		}
		for generation := int64(1); generation <= 5; generation++ {
			struck = false
			grown.insist(generation, generation-1)
			if !grown.until(clock.Milliseconds(budgetRecover), func() bool { return grown.acked[generation] != "" }) {
				t.Fatalf("seed %d: version %d not acknowledged after %v", seed, generation, grown.world.Now.Sub(start))
			}
			// The next one has to come through within the time to recover.
			grown.world.Run(grown.world.Now.Add(clock.Milliseconds(1800)))
			names := simulation.Keys(grown.controllers)
			if found := grown.newest(names[grown.world.Random.Intn(len(names))]); found >= 0 && found < generation {
				t.Fatalf("seed %d: found %d, want %d", seed, found, generation)
			}
			// Troubles beyond the budget wait their turn.
			if !grown.until(clock.Milliseconds(60_000), grown.complete) {
				t.Fatalf("seed %d: the set is not whole a minute after a fault", seed)
			}
		}
	}
}

// Growing takes a small part of the time before traffic starts.
func TestSetExpandsSoon(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		grown := newGrown(t, seed)
		grown.slow = 30
		if !grown.until(clock.Milliseconds(8000), grown.complete) {
			t.Fatalf("seed %d: not whole after %v", seed, grown.world.Now)
		}
		grown.world.Run(grown.world.Now.Add(clock.Milliseconds(10_000)))
		for _, name := range simulation.Keys(grown.controllers) {
			if count := len(grown.controllers[name].known.Acceptors); count > budgetSize {
				t.Fatalf("seed %d: %d members", seed, count)
			}
		}
	}
}
