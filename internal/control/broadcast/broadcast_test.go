package broadcast_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

func steady(id string, count int64, phase messages.Phase) messages.Worker {
	return messages.Worker{ID: id, Backend: "s", Address: id + ":1", Zone: "h0", Capacity: 16, Phase: phase, CallCount: count}
}

func (f *fleet) controllers() (found []*node) {
	for _, here := range f.nodes {
		if here.own.Role == membership.RoleController {
			found = append(found, here)
		}
	}
	return found
}

// trouble hits some controllers and some others, and gives who is no longer in touch.
func (f *fleet) trouble(kind int, keep *node) map[*node]bool {
	out := map[*node]bool{}
	controllers := f.controllers()
	hit := func(here *node) {
		if here != keep {
			here.down = true
			out[here] = true
		}
	}
	switch kind {
	case 1:
		// Both controllers of one zone, at once and without notice.
		zone := f.Random.Intn(4)
		for _, here := range controllers {
			if here.own.Zone == fmt.Sprint("h", zone) {
				hit(here)
			}
		}
	case 2:
		// One controller of each of two zones.
		hit(controllers[f.Random.Intn(len(controllers)/2)])
		hit(controllers[len(controllers)/2+f.Random.Intn(len(controllers)/2)])
	case 3:
		// A controller receives from the rest and cannot send: it is out of contact, the rest is not.
		here := controllers[f.Random.Intn(len(controllers))]
		if here == keep {
			return out
		}
		out[here] = true
		for _, other := range f.nodes {
			f.SetPartitioned(here.own.Address, other.own.Address, true)
		}
	case 4:
		// Two controllers can't reach a tenth of the fleet, which others can.
		for _, here := range controllers[2:4] {
			if here == keep {
				continue
			}
			for i, other := range f.nodes {
				if i%10 == 3 && other.own.Role != membership.RoleController {
					f.SetPartitioned(here.own.Address, other.own.Address, true)
				}
			}
		}
	}
	return out
}

// A drain is known at every process in touch before it is acknowledged, whichever
// controllers are lost or half cut off in that moment, and never later than the bound.
func TestDrainBindsFromItsAcknowledgement(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{4, 20} {
		for seed := int64(1); seed <= 10; seed++ {
			fleet := newFleet(seed, 4, 2, 2, gateways)
			fleet.Run(clock.Instant(0).Add(6 * constants.ShufflePeriod))
			taker := fleet.controllers()[fleet.Random.Intn(8)]
			taker.registry.Heartbeat(steady("w", 1, messages.PhaseSteady), fleet.Now)
			fleet.Run(fleet.Now.Add(4 * constants.ShufflePeriod))
			for _, here := range fleet.nodes {
				if _, known := here.registry.Get("w"); !known {
					t.Fatalf("seed %d: %s never learnt of the worker", seed, here.own.Address)
				}
			}
			out := fleet.trouble(int(seed%5), taker)
			worker, sentAt, acknowledged := steady("w", 2, messages.PhaseDraining), fleet.Now, clock.Instant(0)
			if !taker.registry.Heartbeat(worker, fleet.Now) {
				t.Fatal("no change")
			}
			taker.spread(&messages.RelayRequest{Workers: []messages.Worker{worker}}, constants.BroadcastTimeout, func() {
				acknowledged = fleet.Now
				for _, here := range fleet.nodes {
					if got, _ := here.registry.Get("w"); got.Phase != messages.PhaseDraining && !out[here] {
						t.Fatalf("seed %d, trouble %d: %s does not know at the acknowledgement, %v later; asked %s", seed, seed%5, here.own.Address, fleet.Now.Sub(sentAt), taker.own.Address)
					}
				}
			})
			fleet.Run(fleet.Now.Add(2 * constants.ShufflePeriod))
			if acknowledged == 0 || acknowledged.Sub(sentAt) > 1_000_000_000 {
				t.Fatalf("seed %d: acknowledged after %v", seed, acknowledged.Sub(sentAt))
			}
		}
	}
}

// On a network that loses calls, what the tree missed is pulled within the time that a
// worker serves on after its drain.
func TestMissedChangesArePulled(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 10; seed++ {
		fleet := newFleet(seed, 4, 2, 2, 10)
		fleet.Run(clock.Instant(0).Add(6 * constants.ShufflePeriod))
		taker := fleet.controllers()[0]
		taker.registry.Heartbeat(steady("w", 1, messages.PhaseSteady), fleet.Now)
		fleet.Run(fleet.Now.Add(4 * constants.ShufflePeriod))
		// The tree fails as a whole: only the digests are left.
		taker.registry.Heartbeat(steady("w", 2, messages.PhaseDraining), fleet.Now)
		fleet.Run(fleet.Now.Add(2500 * 1_000_000))
		for _, here := range fleet.nodes {
			if got, _ := here.registry.Get("w"); got.Phase != messages.PhaseDraining {
				t.Fatalf("seed %d: %s", seed, here.own.Address)
			}
		}
	}
}

// Every acknowledged configuration is in force at each process in touch within the
// bound, under the same troubles and on a lossy network, and nobody ever goes back.
func TestConfigurationsConverge(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 10; seed++ {
		fleet := newFleet(seed, 4, 2, 3, 20)
		fleet.Run(clock.Instant(0).Add(6 * constants.ShufflePeriod))
		out := map[*node]bool{}
		for generation := int64(1); generation <= 3; generation++ {
			taker := fleet.controllers()[fleet.Random.Intn(8)]
			for out[taker] {
				taker = fleet.controllers()[fleet.Random.Intn(8)]
			}
			if generation == 2 {
				out = fleet.trouble(int(seed%5), taker)
				fleet.Loss = 0.02
			}
			taker.take(generation)
			acknowledged := clock.Instant(0)
			taker.spread(&messages.RelayRequest{Generation: generation, Body: body}, constants.PushTimeout, func() { acknowledged = fleet.Now })
			fleet.Run(fleet.Now.Add(constants.PushTimeout + 10_000_000))
			fleet.Run(acknowledged.Add(2500 * 1_000_000))
			for _, here := range fleet.nodes {
				if here.config != generation && !out[here] {
					t.Fatalf("seed %d, trouble %d, generation %d: %s follows %d", seed, seed%5, generation, here.own.Address, here.config)
				}
			}
		}
		for _, here := range fleet.nodes {
			for i := 1; i < len(here.taken); i++ {
				if here.taken[i] <= here.taken[i-1] {
					t.Fatalf("%s went back: %v", here.own.Address, here.taken)
				}
			}
		}
	}
}

// Silence of a worker is told, that of a controller is not taken for one of its workers.
func TestOverdueWorkersAreReportedAndOthersNotSuspected(t *testing.T) {
	t.Parallel()
	fleet := newFleet(3, 4, 2, 2, 10)
	fleet.Run(clock.Instant(0).Add(5 * constants.ShufflePeriod))
	count, crashed := int64(0), false
	var beatAll func()
	beatAll = func() {
		fleet.After(beat, beatAll)
		count++
		for i := 0; i < 30; i++ {
			taker := fleet.controllers()[fleet.Random.Intn(8)]
			for taker.down {
				// A worker that is not answered calls the next node.
				taker = fleet.controllers()[fleet.Random.Intn(8)]
			}
			if id := fmt.Sprint("w", i); (!crashed || i != 7) && taker.registry.Heartbeat(steady(id, count, messages.PhaseSteady), fleet.Now) {
				worker, _ := taker.registry.Get(id)
				taker.spread(&messages.RelayRequest{Workers: []messages.Worker{worker}}, constants.BroadcastTimeout, func() {})
			}
		}
	}
	beatAll()
	fleet.Run(fleet.Now.Add(10 * constants.ShufflePeriod))
	fleet.controllers()[2].down, crashed = true, true
	for second := 1; second <= 20; second++ {
		fleet.Run(fleet.Now.Add(constants.ShufflePeriod))
		for _, here := range fleet.nodes {
			if here.own.Role != membership.RoleGateway {
				continue
			}
			for i := 0; i < 30; i++ {
				want := workers.StatusHealthy
				if i == 7 && second >= 15 {
					want = workers.StatusUnavailable
				} else if i == 7 && second >= 7 {
					want = workers.StatusSuspect
				} else if i == 7 {
					continue
				}
				if got := here.registry.Status(fmt.Sprint("w", i), fleet.Now, true); got < want || (i != 7 && got != want) {
					t.Fatalf("second %d: %s takes w%d for %v", second, here.own.Address, i, got)
				}
			}
		}
	}
}
