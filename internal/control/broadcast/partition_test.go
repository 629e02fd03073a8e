package broadcast_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

const (
	second = 1_000_000_000
	// convergeBound and drainBound are converge-ms and drain-ms of the strictest deployment.
	convergeBound = 2 * second
	drainBound    = 2 * second
)

// seeds returns the number of seeds to simulate: the value of LEMONARCH_SEEDS if it is set, otherwise
// defaultCount.
func seeds(defaultCount int) int {
	if count, err := strconv.Atoi(os.Getenv("LEMONARCH_SEEDS")); err == nil {
		return count
	}
	return defaultCount
}

// partitionMode is the way in which a controller is partitioned.
type partitionMode int

const (
	// bothWays: messages between it and other controllers are lost in both directions.
	bothWays partitionMode = iota
	// outbound: messages from it to other controllers are lost.
	outbound
	// inbound: messages from other controllers to it are lost.
	inbound
	// fromEveryProcess: messages between it and every other process are lost in both directions.
	fromEveryProcess
	// paused: the process is paused and later resumes with its state.
	paused
	partitionModes
)

// partitionRun is one simulation in which a controller is partitioned while configurations and drains
// are requested.
type partitionRun struct {
	test   *testing.T
	fleet  *fleet
	target *node
	mode   partitionMode
	// startedAt is when the partition began, 0 while there is none.
	startedAt        clock.Instant
	name             string
	newestGeneration int64
	workerCount      int
	acks             int
}

// apply starts or ends the partition of the target.
func (c *partitionRun) apply(partitioned bool) {
	if c.mode == paused {
		c.target.down = partitioned
		return
	}
	for _, other := range c.fleet.nodes {
		if other == c.target || (c.mode != fromEveryProcess && other.own.Role != membership.RoleController) {
			continue
		}
		if c.mode != inbound {
			c.fleet.SetPartitioned(c.target.own.Address, other.own.Address, partitioned)
		}
		if c.mode != outbound {
			c.fleet.SetPartitioned(other.own.Address, c.target.own.Address, partitioned)
		}
	}
}

// isTarget reports whether a process is the partitioned controller, which is exempt from the checks.
func (c *partitionRun) isTarget(process *node) bool { return process == c.target }

// changeConfig submits a new configuration to a random controller. If it is confirmed, every process
// must follow it within convergeBound. The target must not confirm it once its lease has expired.
func (c *partitionRun) changeConfig() {
	c.newestGeneration++
	generation, controller := c.newestGeneration, c.randomController()
	controller.submitConfig(generation, func() {
		c.acks++
		if controller == c.target && c.startedAt > 0 && c.fleet.Now.Sub(c.startedAt) > constants.ContactLease+constants.PushTimeout {
			c.test.Errorf("%s: the partitioned controller confirmed generation %d after its lease had expired", c.name, generation)
		}
		c.fleet.After(convergeBound, func() {
			for _, process := range c.fleet.nodes {
				if process.generation < generation && !c.isTarget(process) {
					c.test.Errorf("%s: %s follows generation %d, want %d as confirmed by %s", c.name, process.own.Address, process.generation, generation, controller.own.Address)
				}
			}
		})
	})
}

// drainWorker registers a worker and drains it one second later. If the drain is acknowledged, every
// process that knows the worker must know of the drain within drainBound.
func (c *partitionRun) drainWorker() {
	c.workerCount++
	id, registerController, drainController := fmt.Sprint("w", c.workerCount), c.randomController(), c.randomController()
	if !registerController.attached() || !registerController.registry.Heartbeat(newWorker(id, 1, messages.PhaseSteady), c.fleet.Now) {
		return
	}
	registerController.broadcast(&messages.RelayRequest{Workers: []messages.Worker{newWorker(id, 1, messages.PhaseSteady)}}, constants.BroadcastTimeout, func() {})
	c.fleet.After(second, func() {
		drainController.drainWorker(newWorker(id, 2, messages.PhaseDraining), func() {
			c.acks++
			c.fleet.After(drainBound, func() {
				for _, process := range c.fleet.nodes {
					if got, known := process.registry.Get(id); known && got.Phase != messages.PhaseDraining && !c.isTarget(process) {
						c.test.Errorf("%s: %s does not know of the drain of %s that was acknowledged by %s", c.name, process.own.Address, id, drainController.own.Address)
					}
				}
			})
		})
	})
}

// randomController returns a random controller that is not down.
func (c *partitionRun) randomController() *node {
	controllers := c.fleet.controllers()
	controller := controllers[c.fleet.Random.Intn(len(controllers))]
	for controller.down {
		controller = controllers[c.fleet.Random.Intn(len(controllers))]
	}
	return controller
}

// checkLiveness checks that every controller except the target considers every other process live.
func (c *partitionRun) checkLiveness() {
	for _, process := range c.fleet.controllers() {
		if c.isTarget(process) {
			continue
		}
		live := map[string]bool{}
		for _, entry := range process.view.Live("", c.fleet.Now) {
			live[entry.Address] = true
		}
		for _, other := range c.fleet.nodes {
			if other != process && !c.isTarget(other) && !live[other.own.Address] {
				c.test.Errorf("%s: at %v: %s considers %s silent, want live", c.name, c.fleet.Now, process.own.Address, other.own.Address)
			}
		}
	}
}

// checkNoReports checks that no process still reports to the partitioned controller once its lease
// has expired and the reports after that have been rejected or have timed out.
func (c *partitionRun) checkNoReports() {
	bound := constants.ContactLease + constants.ShufflePeriod + 2*constants.ReportTimeout
	if c.startedAt == 0 || c.fleet.Now.Sub(c.startedAt) < bound {
		return
	}
	for _, process := range c.fleet.nodes {
		if process.control.firstController == c.target.own.Address && process != c.target {
			c.test.Errorf("%s: %s still reports to the partitioned controller after %v", c.name, process.own.Address, c.fleet.Now.Sub(c.startedAt))
		}
	}
}

// run simulates one partition of a length, with configurations and drains requested before, during and
// after it.
func (c *partitionRun) run(length clock.Duration) {
	fleet := c.fleet
	fleet.Run(clock.Instant(0).Add(6 * second))
	end := fleet.Now.Add(length + 6*second)
	var changes, drains, checks func()
	repeat := func(period clock.Duration, function func(), next *func()) {
		*next = func() {
			if fleet.Now < end && !c.test.Failed() {
				function()
				fleet.After(period, *next)
			}
		}
		fleet.After(period, *next)
	}
	repeat(700_000_000, c.changeConfig, &changes)
	repeat(1_100_000_000, c.drainWorker, &drains)
	repeat(500_000_000, func() {
		c.checkLiveness()
		c.checkNoReports()
	}, &checks)
	fleet.After(2*second, func() {
		c.startedAt = fleet.Now
		c.apply(true)
		fleet.After(length, func() {
			c.startedAt = 0
			c.apply(false)
		})
	})
	fleet.Run(end.Add(convergeBound + second))
	for _, process := range fleet.nodes {
		if process.generation < c.target.generation || c.target.generation < process.generation {
			c.test.Errorf("%s: after the partition %s follows generation %d, the partitioned controller follows %d", c.name, process.own.Address, process.generation, c.target.generation)
		}
	}
	if c.acks == 0 {
		c.test.Errorf("%s: no request was acknowledged", c.name)
	}
}

// TestAcknowledgedIsKnownWhileOneControllerIsPartitioned partitions each controller in turn (in both
// directions, in one direction, from every process, or paused) for 1 to 60 s, with 3, 5 or 8
// controllers. Every other process must know what was acknowledged meanwhile within its bound, no
// live process may be considered silent, no process may go on reporting to the partitioned
// controller, and that controller must not confirm a configuration after its lease has expired.
func TestAcknowledgedIsKnownWhileOneControllerIsPartitioned(t *testing.T) {
	t.Parallel()
	sizes := []struct{ zones, controllers int }{{3, 1}, {5, 1}, {4, 2}}
	for seed := 1; seed <= seeds(1); seed++ {
		for _, size := range sizes {
			for i := 0; i < size.zones*size.controllers; i++ {
				t.Run(fmt.Sprintf("seed %d, %d controllers, number %d", seed, size.zones*size.controllers, i), func(t *testing.T) {
					t.Parallel()
					runPartitions(t, int64(seed), size.zones, size.controllers, i)
				})
			}
		}
	}
}

// runPartitions partitions one controller in each mode, for each length.
func runPartitions(t *testing.T, seed int64, zones, controllers, index int) {
	t.Helper()

	for mode := bothWays; mode < partitionModes; mode++ {
		for j, length := range []clock.Duration{1, 5, 12, 20, 60} {
			if seeds(0) == 0 && (index+j+int(mode))%int(partitionModes) != 0 {
				// In CI each length runs in one mode; the others run if LEMONARCH_SEEDS is set.
				continue
			}
			c := &partitionRun{test: t, fleet: newFleet(seed, zones, controllers, 1, 2), mode: mode}
			c.target = c.fleet.controllers()[index]
			c.name = fmt.Sprintf("seed %d, %d controllers, %s, mode %d, %d s", seed, zones*controllers, c.target.own.Address, mode, length)
			c.run(length * second)
			if t.Failed() {
				return
			}
		}
	}
}
