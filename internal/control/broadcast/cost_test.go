package broadcast_test

import (
	"fmt"
	"math"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// cost is what one process of a role sends in a second of calm.
type cost struct {
	messages, bytes, crossZoneBytes float64
}

// idle runs a calm fleet whose workers send heartbeats, and gives the cost by role.
func measureIdleCost(seed int64, gateways, stores, workers int) map[string]cost {
	fleet := newFleet(seed, 4, 2, stores, gateways)
	count := int64(0)
	var heartbeatAll func()
	heartbeatAll = func() {
		fleet.After(heartbeatPeriod, heartbeatAll)
		count++
		for i := 0; i < workers; i++ {
			controller, id, number := fleet.controllers()[fleet.Random.Intn(8)], fmt.Sprintf("i-%08x", i*7919), count
			fleet.After(clock.Duration(fleet.Random.Int63n(heartbeatPeriod)), func() {
				if controller.registry.Heartbeat(newWorker(id, number, messages.PhaseSteady), fleet.Now) {
					worker, _ := controller.registry.Get(id)
					controller.broadcast(&messages.RelayRequest{Workers: []messages.Worker{worker}}, constants.BroadcastTimeout, func() {})
				}
			})
		}
	}
	heartbeatAll()
	fleet.Run(clock.Instant(0).Add(8 * constants.ShufflePeriod))
	const seconds = 10
	for _, process := range fleet.nodes {
		process.messages, process.bytes, process.crossZoneBytes = 0, 0, 0
	}
	fleet.Run(fleet.Now.Add(seconds * constants.ShufflePeriod))
	sums, counts := map[string]cost{}, map[string]float64{}
	for _, process := range fleet.nodes {
		sum := sums[process.own.Role]
		sum.messages += float64(process.messages) / seconds
		sum.bytes += float64(process.bytes) / seconds
		sum.crossZoneBytes += float64(process.crossZoneBytes) / seconds
		sums[process.own.Role] = sum
		counts[process.own.Role]++
	}
	for role, sum := range sums {
		sums[role] = cost{sum.messages / counts[role], sum.bytes / counts[role], sum.crossZoneBytes / counts[role]}
	}
	return sums
}

// Exchanges on membership and workers cost a gateway or a store no more than a
// logarithm when the fleet grows from 24 to 392 processes with workers in proportion. A
// controller's grows with the processes and workers that report to it, by a few bytes each.
func TestCostPerNodeGrowsAtMostLogarithmically(t *testing.T) {
	t.Parallel()
	sizes := []struct{ gateways, stores, workerList int }{{3, 1, 18}, {19, 4, 75}, {80, 16, 300}}
	costs := []map[string]cost{}
	for _, size := range sizes {
		byRole := measureIdleCost(1, size.gateways, size.stores, size.workerList)
		costs = append(costs, byRole)
		for _, role := range simulation.Keys(byRole) {
			c := byRole[role]
			t.Logf("processes %d, workers %d: a %s sends %.1f messages, %.0f bytes, %.0f of them to other zones, each second",
				4*(2+size.gateways+size.stores), size.workerList, role, c.messages, c.bytes, c.crossZoneBytes)
		}
	}
	small, large := costs[0], costs[2]
	logarithm := math.Log2(392) / math.Log2(24)
	for _, role := range []string{membership.RoleGateway, membership.RoleStore} {
		if large[role].messages > 1.1*small[role].messages || large[role].crossZoneBytes > 1.1*small[role].crossZoneBytes+1 {
			t.Errorf("a %s: %+v grew to %+v", role, small[role], large[role])
		}
	}
	// Whose ages are asked is the bounded view: stores know all stores besides.
	if large[membership.RoleGateway].bytes > 1.5*logarithm*small[membership.RoleGateway].bytes {
		t.Errorf("a gateway: %+v grew to %+v", small[membership.RoleGateway], large[membership.RoleGateway])
	}
	controller := large[membership.RoleController]
	if reports := 392.0 / 8; controller.messages > 40+1.5*reports || controller.crossZoneBytes > 8*4*(300+392) {
		t.Errorf("a controller: %+v", controller)
	}
}
