package leadership

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// firstStoresAmong gives the first set that a store proposes just after its start, while it
// knows so many other stores, one for each zone named.
func firstStoresAmong(zones ...string) []messages.Member {
	c := newCampaign()
	c.node.Settings.FaultBudget.Machines, c.node.Settings.FaultBudget.Zones = 2, 1
	c.node.Self.Zone = "north"
	c.node.StartedAt = clock.Now()
	for i, zone := range zones {
		name := fmt.Sprintf("store-%d", i)
		c.node.Observe([]messages.NodeInfo{{Name: name, Incarnation: 1, Role: membership.RoleStore, Zone: zone, Address: name, Disk: name}})
	}
	return c.firstStores()
}

// A first set of stores spans zones: one that a store could propose from the first few that it
// hears of, nearly all in its own zone, has to wait for others.
func TestFirstStoresWaitForFurtherZones(t *testing.T) {
	if stores := firstStoresAmong("south", "east", "west", "centre"); len(stores) != 5 {
		t.Fatalf("%d stores of five zones proposed, want 5", len(stores))
	}
	if stores := firstStoresAmong("north", "north", "north", "south"); len(stores) != 0 {
		t.Errorf("proposed four stores of one zone at once: %v", stores)
	}
}
