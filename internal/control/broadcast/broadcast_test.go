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
	return messages.Worker{ID: id, Backend: "s", Address: id + ":1", Zone: "h0", Capacity: 16, Phase: phase, Count: count}
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
		// A controller hears the rest and is not heard: it is out, the rest is not.
		here := controllers[f.Random.Intn(len(controllers))]
		if here == keep {
			return out
		}
		out[here] = true
		for _, other := range f.nodes {
			f.Cut(here.own.Address, other.own.Address, true)
		}
	case 4:
		// Two controllers can't reach a tenth of the fleet, which others can.
		for _, here := range controllers[2:4] {
			if here == keep {
				continue
			}
			for place, other := range f.nodes {
				if place%10 == 3 && other.own.Role != membership.RoleController {
					f.Cut(here.own.Address, other.own.Address, true)
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
			one := newFleet(seed, 4, 2, 2, gateways)
			one.Run(clock.Moment(0).Plus(6 * constants.ShufflePeriod))
			taker := one.controllers()[one.Random.Intn(8)]
			taker.registry.Beat(steady("w", 1, messages.PhaseSteady), one.Now)
			one.Run(one.Now.Plus(4 * constants.ShufflePeriod))
			for _, here := range one.nodes {
				if _, known := here.registry.Get("w"); !known {
					t.Fatalf("seed %d: %s never learnt of the worker", seed, here.own.Address)
				}
			}
			out := one.trouble(int(seed%5), taker)
			worker, asked, acknowledged := steady("w", 2, messages.PhaseDraining), one.Now, clock.Moment(0)
			if !taker.registry.Beat(worker, one.Now) {
				t.Fatal("no change")
			}
			taker.spread(&messages.Relay{Workers: []messages.Worker{worker}}, constants.TreeTime, func() {
				acknowledged = one.Now
				for _, here := range one.nodes {
					if got, _ := here.registry.Get("w"); got.Phase != messages.PhaseDraining && !out[here] {
						t.Fatalf("seed %d, trouble %d: %s does not know at the acknowledgement, %v later; asked %s", seed, seed%5, here.own.Address, one.Now.Since(asked), taker.own.Address)
					}
				}
			})
			one.Run(one.Now.Plus(2 * constants.ShufflePeriod))
			if acknowledged == 0 || acknowledged.Since(asked) > 1_000_000_000 {
				t.Fatalf("seed %d: acknowledged after %v", seed, acknowledged.Since(asked))
			}
		}
	}
}

// On a network that loses calls, what the tree missed is pulled within the time that a
// worker serves on after its drain.
func TestMissedChangesArePulled(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 10; seed++ {
		one := newFleet(seed, 4, 2, 2, 10)
		one.Run(clock.Moment(0).Plus(6 * constants.ShufflePeriod))
		taker := one.controllers()[0]
		taker.registry.Beat(steady("w", 1, messages.PhaseSteady), one.Now)
		one.Run(one.Now.Plus(4 * constants.ShufflePeriod))
		// The tree fails as a whole: only the digests are left.
		taker.registry.Beat(steady("w", 2, messages.PhaseDraining), one.Now)
		one.Run(one.Now.Plus(2500 * 1_000_000))
		for _, here := range one.nodes {
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
		one := newFleet(seed, 4, 2, 3, 20)
		one.Run(clock.Moment(0).Plus(6 * constants.ShufflePeriod))
		out := map[*node]bool{}
		for generation := int64(1); generation <= 3; generation++ {
			taker := one.controllers()[one.Random.Intn(8)]
			for out[taker] {
				taker = one.controllers()[one.Random.Intn(8)]
			}
			if generation == 2 {
				out = one.trouble(int(seed%5), taker)
				one.Loss = 0.02
			}
			taker.take(generation)
			acknowledged := clock.Moment(0)
			taker.spread(&messages.Relay{Generation: generation, Body: body}, constants.PushTime, func() { acknowledged = one.Now })
			one.Run(one.Now.Plus(constants.PushTime + 10_000_000))
			one.Run(acknowledged.Plus(2500 * 1_000_000))
			for _, here := range one.nodes {
				if here.config != generation && !out[here] {
					t.Fatalf("seed %d, trouble %d, generation %d: %s follows %d", seed, seed%5, generation, here.own.Address, here.config)
				}
			}
		}
		for _, here := range one.nodes {
			for place := 1; place < len(here.taken); place++ {
				if here.taken[place] <= here.taken[place-1] {
					t.Fatalf("%s went back: %v", here.own.Address, here.taken)
				}
			}
		}
	}
}

// Silence of a worker is told, that of a controller is not taken for one of its workers.
func TestSilentWorkersAreToldAndOthersNotDoubted(t *testing.T) {
	t.Parallel()
	one := newFleet(3, 4, 2, 2, 10)
	one.Run(clock.Moment(0).Plus(5 * constants.ShufflePeriod))
	count, crashed := int64(0), false
	var beatAll func()
	beatAll = func() {
		one.After(beat, beatAll)
		count++
		for place := 0; place < 30; place++ {
			taker := one.controllers()[one.Random.Intn(8)]
			for taker.down {
				// A worker that is not answered calls the next node.
				taker = one.controllers()[one.Random.Intn(8)]
			}
			if id := fmt.Sprint("w", place); !(crashed && place == 7) && taker.registry.Beat(steady(id, count, messages.PhaseSteady), one.Now) {
				worker, _ := taker.registry.Get(id)
				taker.spread(&messages.Relay{Workers: []messages.Worker{worker}}, constants.TreeTime, func() {})
			}
		}
	}
	beatAll()
	one.Run(one.Now.Plus(10 * constants.ShufflePeriod))
	one.controllers()[2].down, crashed = true, true
	for second := 1; second <= 20; second++ {
		one.Run(one.Now.Plus(constants.ShufflePeriod))
		for _, here := range one.nodes {
			if here.own.Role != membership.RoleGateway {
				continue
			}
			for place := 0; place < 30; place++ {
				want := workers.StandingGood
				if place == 7 && second >= 15 {
					want = workers.StandingOut
				} else if place == 7 && second >= 7 {
					want = workers.StandingSuspect
				} else if place == 7 {
					continue
				}
				if got := here.registry.Standing(fmt.Sprint("w", place), one.Now, true); got < want || (place != 7 && got != want) {
					t.Fatalf("second %d: %s takes w%d for %v", second, here.own.Address, place, got)
				}
			}
		}
	}
}
