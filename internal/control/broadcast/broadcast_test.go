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

// newWorker returns a worker in a phase with a number of heartbeat calls.
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

// injectFault stops or partitions some controllers, except exempt, and returns the processes that are
// no longer in contact.
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
		// Both controllers of one zone crash at the same time.
		zone := f.Random.Intn(4)
		for _, process := range controllers {
			if process.own.Zone == fmt.Sprint("h", zone) {
				stop(process)
			}
		}
	case 2:
		// One controller in each of two zones crashes.
		stop(controllers[f.Random.Intn(len(controllers)/2)])
		stop(controllers[len(controllers)/2+f.Random.Intn(len(controllers)/2)])
	case 3:
		// One controller can receive but not send: it loses contact, the other processes do not.
		process := controllers[f.Random.Intn(len(controllers))]
		if process == exempt {
			return detached
		}
		detached[process] = true
		for _, other := range f.nodes {
			f.SetPartitioned(process.own.Address, other.own.Address, true)
		}
	case 4:
		// Two controllers cannot reach a tenth of the fleet, which other controllers can reach.
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

// TestDrainIsKnownEverywhereOnceAcknowledged checks that every process in contact knows of a drain
// before it is acknowledged, and that the acknowledgement comes within the bound, while
// controllers crash or are partially partitioned at that moment.
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
					t.Fatalf("seed %d: %s does not know the worker", seed, process.own.Address)
				}
			}
			detached := fleet.injectFault(int(seed%5), controller)
			worker, sentAt, acknowledged := newWorker("w", 2, messages.PhaseDraining), fleet.Now, clock.Instant(0)
			if !controller.registry.Heartbeat(worker, fleet.Now) {
				t.Fatal("heartbeat with the draining phase was not reported as a change")
			}
			controller.broadcast(&messages.RelayRequest{Workers: []messages.Worker{worker}}, constants.BroadcastTimeout, func() {
				acknowledged = fleet.Now
				for _, process := range fleet.nodes {
					if got, _ := process.registry.Get("w"); got.Phase != messages.PhaseDraining && !detached[process] {
						t.Fatalf("seed %d, fault %d: %s does not know of the drain at the acknowledgement, %v after the request to %s", seed, seed%5, process.own.Address, fleet.Now.Sub(sentAt), controller.own.Address)
					}
				}
			})
			fleet.Run(fleet.Now.Add(2 * constants.ShufflePeriod))
			if acknowledged == 0 || acknowledged.Sub(sentAt) > 1_000_000_000 {
				t.Fatalf("seed %d: drain acknowledged at %v, %v after the request, want within 1 s (at 0: never acknowledged)", seed, acknowledged, acknowledged.Sub(sentAt))
			}
		}
	}
}

// TestMissedChangesArePulled checks that processes that a broadcast missed pull the change, by
// comparing digests, within the time for which a worker still serves after its drain.
func TestMissedChangesArePulled(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 10; seed++ {
		fleet := newFleet(seed, 4, 2, 2, 10)
		fleet.Run(clock.Instant(0).Add(6 * constants.ShufflePeriod))
		controller := fleet.controllers()[0]
		controller.registry.Heartbeat(newWorker("w", 1, messages.PhaseSteady), fleet.Now)
		fleet.Run(fleet.Now.Add(4 * constants.ShufflePeriod))
		// No broadcast is made, so the change can spread only by digests.
		controller.registry.Heartbeat(newWorker("w", 2, messages.PhaseDraining), fleet.Now)
		fleet.Run(fleet.Now.Add(2500 * 1_000_000))
		for _, process := range fleet.nodes {
			if got, _ := process.registry.Get("w"); got.Phase != messages.PhaseDraining {
				t.Fatalf("seed %d: %s does not know of the drain", seed, process.own.Address)
			}
		}
	}
}

// TestConfigurationsConverge checks that every process in contact applies each acknowledged
// configuration within the bound, with the faults of injectFault and on a lossy network, and that
// no process ever applies an older one.
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
				fleet.LossProbability = 0.02
			}
			controller.applyConfig(generation)
			acknowledged := clock.Instant(0)
			controller.broadcast(&messages.RelayRequest{Generation: generation, Body: body}, constants.PushTimeout, func() { acknowledged = fleet.Now })
			fleet.Run(fleet.Now.Add(constants.PushTimeout + 10_000_000))
			fleet.Run(acknowledged.Add(2500 * 1_000_000))
			for _, process := range fleet.nodes {
				if process.generation != generation && !detached[process] {
					t.Fatalf("seed %d, fault %d, want generation %d: %s follows generation %d", seed, seed%5, generation, process.own.Address, process.generation)
				}
			}
		}
		for _, process := range fleet.nodes {
			for i := 1; i < len(process.appliedGenerations); i++ {
				if process.appliedGenerations[i] <= process.appliedGenerations[i-1] {
					t.Fatalf("%s applied an older generation: %v", process.own.Address, process.appliedGenerations)
				}
			}
		}
	}
}

// TestOverdueWorkersAreReportedAndOthersNotSuspected checks that gateways learn that a worker is
// silent, and that the crash of a controller does not make its workers suspect.
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
				// A worker that gets no response calls another controller.
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
					t.Fatalf("second %d: %s: got status %v for w%d, want %v (for w7: at least that)", second, process.own.Address, got, i, want)
				}
			}
		}
	}
}
