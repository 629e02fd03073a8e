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

func newWorker(id string, count int64, phase messages.Phase) messages.Worker {
	return messages.Worker{ID: id, Backend: "s", Address: id + ":1", Zone: "h0", Capacity: 16, Phase: phase, CallCount: count}
}

func (f *fleet) controllers() (controllers []*node) {
	for _, process := range f.nodes {
		if process.own.Role == membership.RoleController {
			controllers = append(controllers, process)
		}
	}
	return controllers
}

// trouble hits some controllers and some others, and gives who is no longer in touch.
func (f *fleet) injectFault(kind int, exempt *node) map[*node]bool {
	detached := map[*node]bool{}
	controllers := f.controllers()
	stop := func(process *node) {
		if process != exempt {
			process.down = true
			detached[process] = true
		}
	}
	switch kind {
	case 1:
		// Both controllers of one zone, at once and without notice.
		zone := f.Random.Intn(4)
		for _, process := range controllers {
			if process.own.Zone == fmt.Sprint("h", zone) {
				stop(process)
			}
		}
	case 2:
		// One controller of each of two zones.
		stop(controllers[f.Random.Intn(len(controllers)/2)])
		stop(controllers[len(controllers)/2+f.Random.Intn(len(controllers)/2)])
	case 3:
		// A controller receives from the rest and cannot send: it is out of contact, the rest is not.
		process := controllers[f.Random.Intn(len(controllers))]
		if process == exempt {
			return detached
		}
		detached[process] = true
		for _, other := range f.nodes {
			f.SetPartitioned(process.own.Address, other.own.Address, true)
		}
	case 4:
		// Two controllers can't reach a tenth of the fleet, which others can.
		for _, process := range controllers[2:4] {
			if process == exempt {
				continue
			}
			for i, other := range f.nodes {
				if i%10 == 3 && other.own.Role != membership.RoleController {
					f.SetPartitioned(process.own.Address, other.own.Address, true)
				}
			}
		}
	}
	return detached
}

// A drain is known at every process in touch before it is acknowledged, whichever
// controllers are lost or half cut off in that moment, and never later than the bound.
func TestDrainIsKnownEverywhereOnceAcknowledged(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{4, 20} {
		for seed := int64(1); seed <= 10; seed++ {
			fleet := newFleet(seed, 4, 2, 2, gateways)
			fleet.Run(clock.Instant(0).Add(6 * constants.ShufflePeriod))
			controller := fleet.controllers()[fleet.Random.Intn(8)]
			controller.registry.Heartbeat(newWorker("w", 1, messages.PhaseSteady), fleet.Now)
			fleet.Run(fleet.Now.Add(4 * constants.ShufflePeriod))
			for _, process := range fleet.nodes {
				if _, known := process.registry.Get("w"); !known {
					t.Fatalf("seed %d: %s never learnt of the worker", seed, process.own.Address)
				}
			}
			detached := fleet.injectFault(int(seed%5), controller)
			worker, sentAt, acknowledged := newWorker("w", 2, messages.PhaseDraining), fleet.Now, clock.Instant(0)
			if !controller.registry.Heartbeat(worker, fleet.Now) {
				t.Fatal("no change")
			}
			controller.broadcast(&messages.RelayRequest{Workers: []messages.Worker{worker}}, constants.BroadcastTimeout, func() {
				acknowledged = fleet.Now
				for _, process := range fleet.nodes {
					if got, _ := process.registry.Get("w"); got.Phase != messages.PhaseDraining && !detached[process] {
						t.Fatalf("seed %d, trouble %d: %s does not know at the acknowledgement, %v later; asked %s", seed, seed%5, process.own.Address, fleet.Now.Sub(sentAt), controller.own.Address)
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
		controller := fleet.controllers()[0]
		controller.registry.Heartbeat(newWorker("w", 1, messages.PhaseSteady), fleet.Now)
		fleet.Run(fleet.Now.Add(4 * constants.ShufflePeriod))
		// The tree fails as a whole: only the digests are left.
		controller.registry.Heartbeat(newWorker("w", 2, messages.PhaseDraining), fleet.Now)
		fleet.Run(fleet.Now.Add(2500 * 1_000_000))
		for _, process := range fleet.nodes {
			if got, _ := process.registry.Get("w"); got.Phase != messages.PhaseDraining {
				t.Fatalf("seed %d: %s", seed, process.own.Address)
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
		detached := map[*node]bool{}
		for generation := int64(1); generation <= 3; generation++ {
			controller := fleet.controllers()[fleet.Random.Intn(8)]
			for detached[controller] {
				controller = fleet.controllers()[fleet.Random.Intn(8)]
			}
			if generation == 2 {
				detached = fleet.injectFault(int(seed%5), controller)
				fleet.Loss = 0.02
			}
			controller.applyConfig(generation)
			acknowledged := clock.Instant(0)
			controller.broadcast(&messages.RelayRequest{Generation: generation, Body: body}, constants.PushTimeout, func() { acknowledged = fleet.Now })
			fleet.Run(fleet.Now.Add(constants.PushTimeout + 10_000_000))
			fleet.Run(acknowledged.Add(2500 * 1_000_000))
			for _, process := range fleet.nodes {
				if process.generation != generation && !detached[process] {
					t.Fatalf("seed %d, trouble %d, generation %d: %s follows %d", seed, seed%5, generation, process.own.Address, process.generation)
				}
			}
		}
		for _, process := range fleet.nodes {
			for i := 1; i < len(process.appliedGenerations); i++ {
				if process.appliedGenerations[i] <= process.appliedGenerations[i-1] {
					t.Fatalf("%s went back: %v", process.own.Address, process.appliedGenerations)
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
	var heartbeatAll func()
	heartbeatAll = func() {
		fleet.After(heartbeatPeriod, heartbeatAll)
		count++
		for i := 0; i < 30; i++ {
			controller := fleet.controllers()[fleet.Random.Intn(8)]
			for controller.down {
				// A worker that is not answered calls the next node.
				controller = fleet.controllers()[fleet.Random.Intn(8)]
			}
			if id := fmt.Sprint("w", i); (!crashed || i != 7) && controller.registry.Heartbeat(newWorker(id, count, messages.PhaseSteady), fleet.Now) {
				worker, _ := controller.registry.Get(id)
				controller.broadcast(&messages.RelayRequest{Workers: []messages.Worker{worker}}, constants.BroadcastTimeout, func() {})
			}
		}
	}
	heartbeatAll()
	fleet.Run(fleet.Now.Add(10 * constants.ShufflePeriod))
	fleet.controllers()[2].down, crashed = true, true
	for second := 1; second <= 20; second++ {
		fleet.Run(fleet.Now.Add(constants.ShufflePeriod))
		for _, process := range fleet.nodes {
			if process.own.Role != membership.RoleGateway {
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
				if got := process.registry.Status(fmt.Sprint("w", i), fleet.Now, true); got < want || (i != 7 && got != want) {
					t.Fatalf("second %d: %s takes w%d for %v", second, process.own.Address, i, got)
				}
			}
		}
	}
}
