package loadgossip

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// budget is how many connections this node may have to a worker. No count of nodes goes into
// it: requests are placed by the load that all see, so the connections in use at a worker
// follow what it takes at once, and a node never needs more than that. The eighth
// keeps one node's burst from taking what others need.
func (g *Gossip) budget(worker messages.Worker) int {
	config := g.Node.Config()
	if config == nil {
		return 0
	}
	service := config.Service(worker.Backend)
	if service == nil || service.ConnLimit == 0 {
		return 0
	}
	return connectionsFor(worker.Capacity, service.ConnLimit, g.Node.Self.Role)
}

// connectionsFor is the budget by what the worker takes and allows.
func connectionsFor(capacity, limit int, role string) int {
	part := constants.ConnectionPart
	if role == membership.RoleStore {
		// Few processes run items, and each has many at a worker.
		part = constants.ConnectionPartItems
	}
	need := capacity + constants.QueueAheadMax + constants.LeastConnections
	return max(min(need, int(part*float64(limit))), constants.LeastConnections)
}
