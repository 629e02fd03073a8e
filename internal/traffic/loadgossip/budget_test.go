package loadgossip

import (
	"testing"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/constants"
)

// The connection budget of a node follows the worker's capacity and connection limit, and is never
// below the minimum that is needed to serve at all.
func TestConnectionBudgetFollowsWorkerLimits(t *testing.T) {
	for _, test := range []struct {
		capacity, limit int
		role            string
		want            int
	}{
		{16, 520, membership.RoleGateway, 16 + constants.QueueAheadMax + constants.ConnectionsMin},
		{48, 320, membership.RoleGateway, 40},
		{48, 320, membership.RoleStore, 48 + constants.QueueAheadMax + constants.ConnectionsMin},
		{24, 220, membership.RoleGateway, 27},
		{24, 10, membership.RoleGateway, constants.ConnectionsMin},
	} {
		if got := connectionBudget(test.capacity, test.limit, test.role); got != test.want {
			t.Errorf("%+v: got %d connections, want %d", test, got, test.want)
		}
	}
}
