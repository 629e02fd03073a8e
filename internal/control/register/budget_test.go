package register_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// injectFault causes a fault within the budget of two, right after an acknowledgement.
func (g *growingFleet) injectFault() {
	names := simulation.SortedKeys(g.controllers)
	g.world.Random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
	lost, others := names[:2], names[2:]
	restartAfterDelay := func(name string, wiped bool) {
		g.world.After(clock.Milliseconds(300+1500*g.world.Random.Float64()), func() { g.start(name, wiped) })
	}
	switch g.world.Random.Intn(4) {
	case 0:
		// Two disks are lost while all other processes lose power.
		for _, name := range names {
			g.stop(name)
		}
		for _, name := range lost {
			restartAfterDelay(name, true)
		}
		for _, name := range others {
			restartAfterDelay(name, false)
		}
	case 1:
		for _, name := range lost {
			g.stop(name)
			restartAfterDelay(name, g.world.Random.Intn(2) == 0)
		}
	case 2:
		// Two machines are lost permanently and replaced by others with empty disks.
		for _, name := range lost {
			g.stop(name)
			delete(g.controllers, name)
			g.replacements++
			fresh := fmt.Sprint(name, g.replacements)
			g.world.After(clock.Milliseconds(2000*g.world.Random.Float64()), func() {
				record := messages.AcceptorRecord{Disk: fresh}
				member := messages.Member{Name: fresh, Address: fresh, Disk: fresh}
				g.controllers[fresh] = &controller{member: member, disk: record, acceptor: register.NewAcceptor(record)}
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

// The set grows from the three seeds to five members before anything is acknowledged. Each
// acknowledged version survives a fault of two machines that occurs right after its acknowledgement.
func TestAcknowledgedSurvivesTwoLosses(t *testing.T) {
	for seed := int64(1); seed <= int64(simulation.Seeds(120)); seed++ {
		fleet := newGrowingFleet(t, seed)
		fleet.world.LossProbability, fleet.world.DuplicateProbability = 0.02, 0.02
		if seed%3 == 0 {
			fleet.maxSyncMs = 60
		}
		start := fleet.world.Now
		injected := false
		fleet.onAcknowledged = func(int64) {
			if !injected {
				injected = true
				fleet.injectFault()
			}
		}
		for generation := int64(1); generation <= 5; generation++ {
			injected = false
			fleet.replaceUntilAcknowledged(generation, generation-1)
			if !fleet.runUntil(clock.Milliseconds(budgetRecover), func() bool { return fleet.acked[generation] != "" }) {
				t.Fatalf("seed %d: version %d not acknowledged within %d ms, %v after the start", seed, generation, budgetRecover, fleet.world.Now.Sub(start))
			}
			// After 1,800 ms, every process that the fault stopped and that keeps its machine has been
			// restarted. A read that succeeds then must not miss the acknowledged version.
			fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(1800)))
			names := simulation.SortedKeys(fleet.controllers)
			if found := fleet.newest(names[fleet.world.Random.Intn(len(names))]); found >= 0 && found < generation {
				t.Fatalf("seed %d: read generation %d, want at least %d", seed, found, generation)
			}
			// No further fault is injected before the set is complete, as it would exceed the
			// budget.
			if !fleet.runUntil(clock.Milliseconds(60_000), fleet.complete) {
				t.Fatalf("seed %d: the set is not complete a minute after a fault", seed)
			}
		}
	}
}

// The set reaches its full size within 8 s, a small part of the time before traffic starts, and has
// not exceeded it 10 s later.
func TestSetGrowsToFullSizeInTime(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		fleet := newGrowingFleet(t, seed)
		fleet.maxSyncMs = 30
		if !fleet.runUntil(clock.Milliseconds(8000), fleet.complete) {
			t.Fatalf("seed %d: set not complete after %v, want at most 8 s", seed, clock.Duration(fleet.world.Now))
		}
		fleet.world.Run(fleet.world.Now.Add(clock.Milliseconds(10_000)))
		for _, name := range simulation.SortedKeys(fleet.controllers) {
			if count := len(fleet.controllers[name].known.Acceptors); count > budgetSize {
				t.Fatalf("seed %d: %s knows a set of %d members, want at most %d", seed, name, count, budgetSize)
			}
		}
	}
}
