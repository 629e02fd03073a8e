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

// control is what a process has of the contact lease and of the two reports.
type control struct {
	// first is the controller that took the last full report.
	first    string
	lease    *contact.Lease
	sets     messages.RegisterValue
	accepted int64
	catching bool
	backlog  *broadcast.Backlog
}

// startControl makes the first controllers, five at most, the acceptors, and starts the
// loops of the lease, the backlog and the second reports.
func (f *fleet) startControl() {
	sets := messages.RegisterValue{}
	for _, here := range f.controllers() {
		if len(sets.Acceptors) < 5 {
			sets.Acceptors = append(sets.Acceptors, messages.Member{Address: here.own.Address})
		}
	}
	for _, here := range f.nodes {
		here.control.lease, here.control.sets, here.control.backlog = contact.New(), sets, broadcast.NewBacklog()
		phase := func(period clock.Duration) clock.Duration { return clock.Duration(f.Random.Int63n(int64(period))) }
		if here.own.Role == membership.RoleController {
			f.every(here, phase(constants.ContactPeriod), constants.ContactPeriod, here.contactRound)
			f.every(here, phase(constants.BacklogPeriod), constants.BacklogPeriod, here.retryBacklog)
		} else {
			f.every(here, phase(constants.SecondReportPeriod), constants.SecondReportPeriod, func() {
				here.report(here.view.SecondControllers(here.control.first, f.Now), 3, true)
			})
		}
	}
}

func (f *fleet) every(here *node, first, period clock.Duration, function func()) {
	f.After(first, func() {
		if !here.down {
			function()
		}
		f.every(here, period, period, function)
	})
}

func (n *node) attached() bool {
	return n.control.lease.Valid(&n.control.sets, n.fleet.Now)
}

func (n *node) contactRound() {
	sentAt := n.fleet.Now
	for _, member := range n.control.sets.Acceptors {
		if member.Address == n.own.Address {
			n.contactAnswered(member, sentAt, n.control.accepted)
			continue
		}
		n.call(member.Address, &messages.ContactRequest{}, constants.ContactTimeout, func(resp transport.Marshaler, failed bool) {
			if !failed {
				n.contactAnswered(member, sentAt, resp.(*messages.ContactResponse).Generation)
			}
		})
	}
}

func (n *node) contactAnswered(member messages.Member, sentAt clock.Instant, accepted int64) {
	if !n.control.lease.Observe(member, sentAt, contact.Versions{Generation: accepted}, contact.Versions{Generation: n.config}) || n.control.catching {
		return
	}
	n.control.catching = true
	n.fleet.After(constants.PushTimeout/2, func() {
		n.control.catching = false
		n.pull(accepted, member.Address)
	})
}

func (n *node) owe(update *messages.RelayRequest, entries []messages.NodeInfo, backoff clock.Duration) {
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

// majority has a message taken by a majority of the acceptors; done runs once it was.
func (n *node) majority(message transport.Marshaler, done func()) {
	answered, ended := map[string]bool{}, false
	took := func(member messages.Member) {
		answered[register.Identity(member)] = true
		if !ended && register.Quorum(&n.control.sets, answered) {
			ended = true
			done()
		}
	}
	for _, member := range n.control.sets.Acceptors {
		if member.Address == n.own.Address {
			n.respond(message, func(transport.Marshaler) { took(member) })
			continue
		}
		n.call(member.Address, message, constants.RoundTimeout, func(_ transport.Marshaler, failed bool) {
			if !failed {
				took(member)
			}
		})
	}
}

// order is an operator's call at this controller: acknowledged runs if it is answered
// with 200.
func (n *node) order(generation int64, acknowledged func()) {
	if !n.attached() {
		return
	}
	n.majority(&messages.AcceptRequest{Value: messages.RegisterValue{Current: messages.Version{Generation: generation}}}, func() {
		n.take(generation)
		n.spread(&messages.RelayRequest{Generation: generation, Body: body}, constants.PushTimeout, acknowledged)
	})
}

// bind is a worker's drain at this controller: acknowledged runs if it is answered with
// 200.
func (n *node) bind(worker messages.Worker, acknowledged func()) {
	if !n.attached() {
		return
	}
	n.registry.Heartbeat(worker, n.fleet.Now)
	worker, _ = n.registry.Get(worker.ID)
	retained, notified := false, false
	end := func() {
		if retained && notified {
			acknowledged()
		}
	}
	n.majority(&messages.WorkersPersistRequest{Workers: []messages.Worker{worker}}, func() {
		retained = true
		end()
	})
	n.spread(&messages.RelayRequest{Workers: []messages.Worker{worker}}, constants.BroadcastTimeout, func() {
		notified = true
		end()
	})
}
