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
	sets     messages.Register
	accepted int64
	catching bool
	backlog  *broadcast.Backlog
}

// startControl makes the first controllers, five at most, the acceptors, and starts the
// loops of the lease, the backlog and the second reports.
func (f *fleet) startControl() {
	sets := messages.Register{}
	for _, here := range f.controllers() {
		if len(sets.Acceptors) < 5 {
			sets.Acceptors = append(sets.Acceptors, messages.Member{Address: here.own.Address})
		}
	}
	for _, here := range f.nodes {
		here.control.lease, here.control.sets, here.control.backlog = contact.New(), sets, broadcast.NewBacklog()
		phase := func(period clock.Span) clock.Span { return clock.Span(f.Random.Int63n(int64(period))) }
		if here.own.Role == membership.RoleController {
			f.every(here, phase(constants.ContactPeriod), constants.ContactPeriod, here.contactRound)
			f.every(here, phase(constants.BacklogPeriod), constants.BacklogPeriod, here.tendBacklog)
		} else {
			f.every(here, phase(constants.SecondReportPeriod), constants.SecondReportPeriod, func() {
				here.report(here.view.SecondControllers(here.control.first, f.Now), 3, true)
			})
		}
	}
}

func (f *fleet) every(here *node, first, period clock.Span, function func()) {
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
	asked := n.fleet.Now
	for _, member := range n.control.sets.Acceptors {
		if member.Address == n.own.Address {
			n.contactAnswered(member, asked, n.control.accepted)
			continue
		}
		n.call(member.Address, &messages.ContactAsk{}, constants.ContactTime, func(answer transport.Writable, failed bool) {
			if !failed {
				n.contactAnswered(member, asked, answer.(*messages.ContactTold).Generation)
			}
		})
	}
}

func (n *node) contactAnswered(member messages.Member, asked clock.Moment, accepted int64) {
	if !n.control.lease.Answered(member, asked, contact.Followed{Generation: accepted}, contact.Followed{Generation: n.config}) || n.control.catching {
		return
	}
	n.control.catching = true
	n.fleet.After(constants.PushTime/2, func() {
		n.control.catching = false
		n.pull(accepted, member.Address)
	})
}

func (n *node) owe(update *messages.Relay, entries []messages.Entry, pause clock.Span) {
	var ids []string
	for _, worker := range update.Workers {
		ids = append(ids, worker.ID)
	}
	for _, entry := range entries {
		n.control.backlog.Add(entry, update.Generation, ids, pause, n.fleet.Now)
	}
}

func (n *node) tendBacklog() {
	for _, delivery := range n.control.backlog.Due(n.view.All("", n.fleet.Now), n.fleet.Now) {
		n.redeliver(delivery)
	}
}

func (n *node) redeliver(delivery broadcast.Delivery) {
	var message transport.Writable = &messages.ConfigPush{Generation: delivery.Generation}
	if len(delivery.Workers) > 0 {
		push := &messages.RosterPush{}
		for _, id := range delivery.Workers {
			worker, _ := n.registry.Get(id)
			push.Workers = append(push.Workers, worker)
		}
		message = push
	}
	n.call(delivery.Entry.Address, message, constants.CallTime, func(answer transport.Writable, failed bool) {
		if !failed && answer.(*messages.Nothing).Taken {
			n.control.backlog.Confirmed(delivery)
		}
	})
}

// majority has a message taken by a majority of the acceptors; done runs once it was.
func (n *node) majority(message transport.Writable, done func()) {
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
			n.answer(message, func(transport.Writable) { took(member) })
			continue
		}
		n.call(member.Address, message, constants.RoundTime, func(_ transport.Writable, failed bool) {
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
	n.majority(&messages.Accept{Value: messages.Register{Current: messages.Version{Generation: generation}}}, func() {
		n.take(generation)
		n.spread(&messages.Relay{Generation: generation, Body: body}, constants.PushTime, acknowledged)
	})
}

// bind is a worker's drain at this controller: acknowledged runs if it is answered with
// 200.
func (n *node) bind(worker messages.Worker, acknowledged func()) {
	if !n.attached() {
		return
	}
	n.registry.Beat(worker, n.fleet.Now)
	worker, _ = n.registry.Get(worker.ID)
	kept, told := false, false
	end := func() {
		if kept && told {
			acknowledged()
		}
	}
	n.majority(&messages.WorkersKeep{Workers: []messages.Worker{worker}}, func() {
		kept = true
		end()
	})
	n.spread(&messages.Relay{Workers: []messages.Worker{worker}}, constants.TreeTime, func() {
		told = true
		end()
	})
}
