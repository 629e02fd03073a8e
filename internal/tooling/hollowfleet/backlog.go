package hollowfleet

import (
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// addToBacklog notes processes that have not confirmed an update.
func (r *registrations) addToBacklog(node *Node, update *messages.RelayRequest, entries []messages.NodeInfo, backoff clock.Duration) {
	own := r.table(node)
	var ids []string
	for _, worker := range update.Workers {
		ids = append(ids, worker.ID)
	}
	node.step(CoreBacklog, func() {
		for _, entry := range entries {
			own.backlog.Add(entry, update.Generation, ids, backoff, node.now())
		}
	})
}

// retryBacklog makes the deliveries that are due.
func (r *registrations) retryBacklog(node *Node, own *table) {
	if len(own.backlog.Names()) == 0 {
		return
	}
	directory := r.fleet.members.all(node)
	var due []broadcast.Delivery
	node.step(CoreBacklog, func() { due = own.backlog.Due(directory, node.now()) })
	for _, delivery := range due {
		r.redeliver(node, own, delivery)
	}
}

// redeliver makes one delivery: changes of workers first, then the number of the
// configuration, which the process pulls.
func (r *registrations) redeliver(node *Node, own *table, delivery broadcast.Delivery) {
	var updates []messages.Worker
	for _, id := range delivery.Workers {
		if worker, known := own.registry.Get(id); known {
			updates = append(updates, worker)
		}
	}
	name := func() { r.nameConfiguration(node, own, delivery) }
	if len(updates) == 0 {
		name()
		return
	}
	push := &messages.WorkersUpdate{From: membership.Key(node.own), Workers: updates}
	node.ask(CoreBacklog, delivery.Entry.Address, messages.KindWorkersUpdate, push, &messages.Ack{}, constants.CallTimeout, func(reached bool) {
		if reached {
			name()
		}
	})
}

// nameConfiguration tells a process the generation that it has not confirmed.
func (r *registrations) nameConfiguration(node *Node, own *table, delivery broadcast.Delivery) {
	if delivery.Generation == 0 {
		own.backlog.Confirmed(delivery)
		return
	}
	taken := &messages.Ack{}
	push := &messages.ConfigPush{Generation: delivery.Generation}
	node.ask(CoreBacklog, delivery.Entry.Address, messages.KindConfigPush, push, taken, constants.CallTimeout, func(reached bool) {
		if reached && taken.Accepted {
			own.backlog.Confirmed(delivery)
		}
	})
}
