package controller

import (
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// addToBacklog notes processes that have not confirmed an update, so that they are told until
// they do, or until they have been silent for so long that the directory drops them.
func (controller *Controller) addToBacklog(update *messages.Relay, entries []messages.Entry, pause clock.Span) {
	var ids []string
	for _, worker := range update.Workers {
		ids = append(ids, worker.ID)
	}
	now := clock.Now()
	controller.lock.Lock()
	defer controller.lock.Unlock()
	for _, entry := range entries {
		controller.backlog.Add(entry, update.Generation, ids, pause, now)
	}
}

// tendBacklog makes the deliveries that are due.
func (controller *Controller) tendBacklog() {
	now := clock.Now()
	controller.lock.Lock()
	if len(controller.backlog.Names()) == 0 {
		controller.lock.Unlock()
		return
	}
	controller.lock.Unlock()
	directory := controller.Node.All("")
	controller.lock.Lock()
	due := controller.backlog.Due(directory, now)
	updates := make([][]messages.Worker, len(due))
	for place, delivery := range due {
		for _, id := range delivery.Workers {
			if worker, known := controller.registry.Get(id); known {
				updates[place] = append(updates[place], worker)
			}
		}
	}
	controller.lock.Unlock()
	for place, delivery := range due {
		go controller.redeliver(delivery, updates[place])
	}
}

// redeliver makes one delivery. A configuration is only named: the process pulls it from
// the controllers of its zone, so that no single link carries all of them.
func (controller *Controller) redeliver(delivery broadcast.Delivery, updates []messages.Worker) {
	wire, address, from := controller.Node.Wire, delivery.Entry.Address, membership.Key(controller.Node.Own)
	taken := &messages.Nothing{Taken: true}
	if len(updates) > 0 {
		push := &messages.RosterPush{From: from, Workers: updates}
		if transport.Ask(wire, address, messages.KindRosterPush, push, &messages.Nothing{}, constants.CallTime) != nil {
			return
		}
	}
	if delivery.Generation > 0 {
		push := &messages.ConfigPush{Generation: delivery.Generation}
		if transport.Ask(wire, address, messages.KindConfigPush, push, taken, constants.CallTime) != nil {
			return
		}
	}
	if taken.Taken {
		controller.lock.Lock()
		controller.backlog.Confirmed(delivery)
		controller.lock.Unlock()
	}
}
