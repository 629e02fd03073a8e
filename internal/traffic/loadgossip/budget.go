package loadgossip

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// budget returns the maximum number of connections that this node may have to a worker, or 0 (no
// limit) if the service is unknown or states no connection limit. The budget does not depend on the
// number of nodes: requests are placed by the load that all nodes observe, so the connections in use
// at a worker follow its capacity, and a node never needs more than that. The limit of one eighth of
// the worker's connections (constants.ConnectionShare) keeps a burst at one node from taking
// connections that other nodes need.
func (g *Gossip) budget(worker messages.Worker) int {
	config := g.Node.Config()
	if config == nil {
		return 0
	}
	service := config.Service(worker.Backend)
	if service == nil || service.ConnLimit == 0 {
		return 0
	}
	return connectionBudget(worker.Capacity, service.ConnLimit, g.Node.Self.Role)
}

// connectionBudget returns the budget for a worker of the given capacity, in concurrent requests,
// and the given limit of connections. It is never below constants.ConnectionsMin.
func connectionBudget(capacity, limit int, role string) int {
	share := constants.ConnectionShare
	if role == membership.RoleStore {
		// Few processes run items, and each of them runs many at a worker.
		share = constants.ConnectionShareItems
	}
	need := capacity + constants.QueueAheadMax + constants.ConnectionsMin
	return max(min(need, int(share*float64(limit))), constants.ConnectionsMin)
}
