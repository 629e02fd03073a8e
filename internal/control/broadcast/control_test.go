package broadcast_test

import (
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/contact"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// controlState is the state of a process's contact lease, its reports and its backlog.
type controlState struct {
	// firstController is the address of the controller that accepted the last full report.
	firstController    string
	lease              *contact.Lease
	registerValue      messages.RegisterValue
	acceptedGeneration int64
	pullScheduled      bool
	backlog            *broadcast.Backlog
}

// startControl makes the first controllers, at most five, the acceptors, and starts the loops of
// the lease, the backlog and the second reports.
func (f *fleet) startControl() {
	value := messages.RegisterValue{}
	for _, process := range f.controllers() {
		if len(value.Acceptors) < 5 {
			value.Acceptors = append(value.Acceptors, messages.Member{Address: process.own.Address})
		}
	}
	for _, process := range f.nodes {
		process.control.lease, process.control.registerValue, process.control.backlog = contact.New(), value, broadcast.NewBacklog()
		randomDelay := func(period clock.Duration) clock.Duration { return clock.Duration(f.Random.Int63n(int64(period))) }
		if process.own.Role == membership.RoleController {
			f.every(process, randomDelay(constants.ContactPeriod), constants.ContactPeriod, process.contactRound)
			f.every(process, randomDelay(constants.BacklogPeriod), constants.BacklogPeriod, process.retryBacklog)
		} else {
			f.every(process, randomDelay(constants.SecondReportPeriod), constants.SecondReportPeriod, func() {
				process.report(process.view.SecondControllers(process.control.firstController, f.Now), 3, true)
			})
		}
	}
}

func (f *fleet) every(process *node, first, period clock.Duration, function func()) {
	f.After(first, func() {
		if !process.down {
			function()
		}
		f.every(process, period, period, function)
	})
}

func (n *node) attached() bool {
	return n.control.lease.Valid(&n.control.registerValue, n.fleet.Now)
}

func (n *node) contactRound() {
	sentAt := n.fleet.Now
	for _, member := range n.control.registerValue.Acceptors {
		if member.Address == n.own.Address {
			n.handleContactResponse(member, sentAt, n.control.acceptedGeneration)
			continue
		}
		n.call(member.Address, &messages.ContactRequest{}, constants.ContactTimeout, func(resp transport.Marshaler, failed bool) {
			if !failed {
				n.handleContactResponse(member, sentAt, resp.(*messages.ContactResponse).Generation)
			}
		})
	}
}

func (n *node) handleContactResponse(member messages.Member, sentAt clock.Instant, accepted int64) {
	if !n.control.lease.Observe(member, sentAt, contact.Versions{Generation: accepted}, contact.Versions{Generation: n.generation}) || n.control.pullScheduled {
		return
	}
	n.control.pullScheduled = true
	n.fleet.After(constants.PushTimeout/2, func() {
		n.control.pullScheduled = false
		n.pull(accepted, member.Address)
	})
}

func (n *node) addToBacklog(update *messages.RelayRequest, entries []messages.NodeInfo, backoff clock.Duration) {
	var ids []string
	for _, worker := range update.Workers {
		ids = append(ids, worker.ID)
	}
	for _, entry := range entries {
		n.control.backlog.Add(entry, update.Generation, ids, backoff, n.fleet.Now)
	}
}

func (n *node) retryBacklog() {
	for _, delivery := range n.control.backlog.Due(n.view.All("", n.fleet.Now), n.fleet.Now) {
		n.redeliver(delivery)
	}
}

func (n *node) redeliver(delivery broadcast.Delivery) {
	var message transport.Marshaler = &messages.ConfigPush{Generation: delivery.Generation}
	if len(delivery.Workers) > 0 {
		push := &messages.WorkersUpdate{}
		for _, id := range delivery.Workers {
			worker, _ := n.registry.Get(id)
			push.Workers = append(push.Workers, worker)
		}
		message = push
	}
	n.call(delivery.Entry.Address, message, constants.CallTimeout, func(resp transport.Marshaler, failed bool) {
		if !failed && resp.(*messages.Ack).Accepted {
			n.control.backlog.Confirmed(delivery)
		}
	})
}

// sendToMajority sends a message to all acceptors and calls done once a majority has accepted it.
func (n *node) sendToMajority(message transport.Marshaler, done func()) {
	acceptedBy, ended := map[string]bool{}, false
	accept := func(member messages.Member) {
		acceptedBy[register.Identity(member)] = true
		if !ended && register.Quorum(&n.control.registerValue, acceptedBy) {
			ended = true
			done()
		}
	}
	for _, member := range n.control.registerValue.Acceptors {
		if member.Address == n.own.Address {
			n.respond(message, func(transport.Marshaler) { accept(member) })
			continue
		}
		n.call(member.Address, message, constants.RoundTimeout, func(_ transport.Marshaler, failed bool) {
			if !failed {
				accept(member)
			}
		})
	}
}

// submitConfig simulates an operator's request to this controller. It calls acknowledged if the
// response would have status 200.
func (n *node) submitConfig(generation int64, acknowledged func()) {
	if !n.attached() {
		return
	}
	n.sendToMajority(&messages.AcceptRequest{Value: messages.RegisterValue{Current: messages.Version{Generation: generation}}}, func() {
		n.applyConfig(generation)
		n.broadcast(&messages.RelayRequest{Generation: generation, Body: body}, constants.PushTimeout, acknowledged)
	})
}

// drainWorker simulates a worker's drain request to this controller. It calls acknowledged if the
// response would have status 200.
func (n *node) drainWorker(worker messages.Worker, acknowledged func()) {
	if !n.attached() {
		return
	}
	n.registry.Heartbeat(worker, n.fleet.Now)
	worker, _ = n.registry.Get(worker.ID)
	persisted, delivered := false, false
	acknowledge := func() {
		if persisted && delivered {
			acknowledged()
		}
	}
	n.sendToMajority(&messages.WorkersPersistRequest{Workers: []messages.Worker{worker}}, func() {
		persisted = true
		acknowledge()
	})
	n.broadcast(&messages.RelayRequest{Workers: []messages.Worker{worker}}, constants.BroadcastTimeout, func() {
		delivered = true
		acknowledge()
	})
}
