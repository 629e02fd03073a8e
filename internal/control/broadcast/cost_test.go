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

// cost is the average traffic that one process of a role sends per second in a fleet without faults.
type cost struct {
	messages, bytes, crossZoneBytes float64
}

// measureIdleCost runs a fleet without faults whose workers send heartbeats, and returns the cost by role.
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

// TestCostPerNodeGrowsAtMostLogarithmically checks that the cost of the exchanges about membership and
// workers grows at most logarithmically for a gateway or store when the fleet grows from 24 to
// 392 processes with workers in proportion. A controller's cost grows by a few bytes for each
// process and worker that reports to it.
func TestCostPerNodeGrowsAtMostLogarithmically(t *testing.T) {
	t.Parallel()
	sizes := []struct{ gateways, stores, workers int }{{3, 1, 18}, {19, 4, 75}, {80, 16, 300}}
	costs := []map[string]cost{}
	for _, size := range sizes {
		byRole := measureIdleCost(1, size.gateways, size.stores, size.workers)
		costs = append(costs, byRole)
		for _, role := range simulation.SortedKeys(byRole) {
			c := byRole[role]
			t.Logf("processes %d, workers %d: each %s sends %.1f messages and %.0f bytes (%.0f to other zones) per second",
				4*(2+size.gateways+size.stores), size.workers, role, c.messages, c.bytes, c.crossZoneBytes)
		}
	}
	small, large := costs[0], costs[2]
	logarithm := math.Log2(392) / math.Log2(24)
	for _, role := range []string{membership.RoleGateway, membership.RoleStore} {
		if large[role].messages > 1.1*small[role].messages || large[role].crossZoneBytes > 1.1*small[role].crossZoneBytes+1 {
			t.Errorf("cost of a %s grew from %+v to %+v, want at most 1.1 times the messages and the bytes to other zones (plus 1)",
				role, small[role], large[role])
		}
	}
	// A report requests the ages of the peers in the bounded view. Only gateways are checked,
	// because stores also know all stores.
	if large[membership.RoleGateway].bytes > 1.5*logarithm*small[membership.RoleGateway].bytes {
		t.Errorf("cost of a gateway grew from %+v to %+v, want at most %.2f times the bytes",
			small[membership.RoleGateway], large[membership.RoleGateway], 1.5*logarithm)
	}
	controller := large[membership.RoleController]
	if reports := 392.0 / 8; controller.messages > 40+1.5*reports || controller.crossZoneBytes > 8*4*(300+392) {
		t.Errorf("cost of a controller is %+v, want at most %.1f messages and %d bytes to other zones",
			controller, 40+1.5*reports, 8*4*(300+392))
	}
}
