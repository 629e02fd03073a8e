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
func (c *Controller) addToBacklog(update *messages.RelayRequest, entries []messages.NodeInfo, backoff clock.Duration) {
	var ids []string
	for _, worker := range update.Workers {
		ids = append(ids, worker.ID)
	}
	now := clock.Now()
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, entry := range entries {
		c.backlog.Add(entry, update.Generation, ids, backoff, now)
	}
}

// retryBacklog makes the deliveries that are due.
func (c *Controller) retryBacklog() {
	now := clock.Now()
	c.lock.Lock()
	if len(c.backlog.Names()) == 0 {
		c.lock.Unlock()
		return
	}
	c.lock.Unlock()
	directory := c.Node.All("")
	c.lock.Lock()
	due := c.backlog.Due(directory, now)
	updates := make([][]messages.Worker, len(due))
	for i, delivery := range due {
		for _, id := range delivery.Workers {
			if worker, known := c.registry.Get(id); known {
				updates[i] = append(updates[i], worker)
			}
		}
	}
	c.lock.Unlock()
	for i, delivery := range due {
		go c.redeliver(delivery, updates[i])
	}
}

// redeliver makes one delivery. A configuration is only named: the process pulls it from
// the controllers of its zone, so that no single link carries all of them.
func (c *Controller) redeliver(delivery broadcast.Delivery, updates []messages.Worker) {
	wire, address, from := c.Node.Transport, delivery.Entry.Address, membership.Key(c.Node.Self)
	taken := &messages.Ack{Accepted: true}
	if len(updates) > 0 {
		push := &messages.WorkersUpdate{From: from, Workers: updates}
		if transport.Call(wire, address, messages.KindWorkersUpdate, push, &messages.Ack{}, constants.CallTimeout) != nil {
			return
		}
	}
	if delivery.Generation > 0 {
		push := &messages.ConfigPush{Generation: delivery.Generation}
		if transport.Call(wire, address, messages.KindConfigPush, push, taken, constants.CallTimeout) != nil {
			return
		}
	}
	if taken.Accepted {
		c.lock.Lock()
		c.backlog.Confirmed(delivery)
		c.lock.Unlock()
	}
}
