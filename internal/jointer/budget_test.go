package jointer

import (
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
)

// What a node may open follows from what a worker takes at once and allows, and
// never falls under what it takes to serve at all.
func TestPipesFollowTheWorker(test *testing.T) {
	for _, one := range []struct {
		capacity, limit int
		role            string
		want            int
	}{
		{16, 520, bellows.RoleForge, 16 + almanac.RoomAhead + almanac.LeastPipes},
		{48, 320, bellows.RoleForge, 40},
		{48, 320, bellows.RoleLocker, 48 + almanac.RoomAhead + almanac.LeastPipes},
		{24, 220, bellows.RoleForge, 27},
		{24, 10, bellows.RoleForge, almanac.LeastPipes},
	} {
		if got := pipesFor(one.capacity, one.limit, one.role); got != one.want {
			test.Errorf("%+v: %d", one, got)
		}
	}
}
