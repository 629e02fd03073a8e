package loadgossip

import (
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/constants"
)

// What a node may open follows from what a worker takes at once and allows, and
// never falls under what it takes to serve at all.
func TestConnectionBudgetFollowsWorkerLimits(t *testing.T) {
	for _, entry := range []struct {
		capacity, limit int
		role            string
		want            int
	}{
		{16, 520, membership.RoleGateway, 16 + constants.QueueAheadMax + constants.LeastConnections},
		{48, 320, membership.RoleGateway, 40},
		{48, 320, membership.RoleStore, 48 + constants.QueueAheadMax + constants.LeastConnections},
		{24, 220, membership.RoleGateway, 27},
		{24, 10, membership.RoleGateway, constants.LeastConnections},
	} {
		if got := connectionBudget(entry.capacity, entry.limit, entry.role); got != entry.want {
			t.Errorf("%+v: %d", entry, got)
		}
	}
}
