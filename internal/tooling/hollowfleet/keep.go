package hollowfleet

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// beginKeep lets a controller keep binding changes of workers for another. The sync of
// its disk takes no time here.
func (r *registrations) beginKeep(node *Node, own *table) {
	node.answerers[messages.KindWorkersPersist] = reads(node, CoreWorkers, func(req *messages.WorkersPersistRequest) transport.Marshaler {
		r.merge(node, own, req.Workers)
		return r.fleet.contacts.accepted(node)
	})
}

// persistAtQuorum has a drain or a departure kept by a majority of the acceptors; done is
// told then, or never where that fails.
func (r *registrations) persistAtQuorum(node *Node, worker messages.Worker, done func()) {
	sets, answered := r.fleet.contacts.sets(node), map[string]bool{}
	once := onceOf(done)
	retained := func(member messages.Member, disk string) {
		member.Disk = disk
		answered[register.Identity(member)] = true
		if register.Quorum(&sets, answered) {
			once()
		}
	}
	req := &messages.WorkersPersistRequest{From: node.own.Address, Workers: []messages.Worker{worker}}
	for _, member := range register.Targets(&sets) {
		if member.Address == node.own.Address {
			retained(member, r.fleet.contacts.accepted(node).Disk)
			continue
		}
		back := &messages.ContactResponse{}
		node.ask(CoreWorkers, member.Address, messages.KindWorkersPersist, req, back, constants.BroadcastTimeout, func(reached bool) {
			if reached {
				retained(member, back.Disk)
			}
		})
	}
}
