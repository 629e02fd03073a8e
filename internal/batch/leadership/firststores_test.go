package leadership

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// firstStoresAmong returns the initial store set that a newly started store in zone north
// proposes while it knows one other store for each of the given zones.
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

// The initial store set must span zones. A store that at first discovers mostly stores in its own
// zone must wait for stores in other zones before it proposes a set.
func TestFirstStoresWaitForFurtherZones(t *testing.T) {
	if stores := firstStoresAmong("south", "east", "west", "centre"); len(stores) != 5 {
		t.Fatalf("got %d stores proposed from five zones, want 5", len(stores))
	}
	if stores := firstStoresAmong("north", "north", "north", "south"); len(stores) != 0 {
		t.Errorf("proposed a set with four stores in one zone without waiting: %v", stores)
	}
}
