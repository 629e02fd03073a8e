package jointer

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
)

// budget is how many pipes this node may have to a worker. No count of nodes goes into
// it: requests are placed by the load that all see, so the pipes in use at a worker
// follow what it takes at once, and a node never needs more than that. The eighth
// keeps one node's burst from taking what others need.
func (jointer *Jointer) budget(worker pattern.Worker) int {
	config := jointer.Stand.Config()
	if config == nil {
		return 0
	}
	one := config.Service(worker.Backend)
	if one == nil || one.ConnLimit == 0 {
		return 0
	}
	return pipesFor(worker.Capacity, one.ConnLimit, jointer.Stand.Own.Role)
}

// pipesFor is the budget by what the worker takes and allows.
func pipesFor(capacity, limit int, role string) int {
	part := almanac.PipePart
	if role == bellows.RoleLocker {
		// Few processes run items, and each has many at a worker.
		part = almanac.PipePartItems
	}
	need := capacity + almanac.RoomAhead + almanac.LeastPipes
	return max(min(need, int(part*float64(limit))), almanac.LeastPipes)
}
