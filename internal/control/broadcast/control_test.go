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
func (one *fleet) startControl() {
	sets := messages.Register{}
	for _, here := range one.controllers() {
		if len(sets.Acceptors) < 5 {
			sets.Acceptors = append(sets.Acceptors, messages.Member{Address: here.own.Address})
		}
	}
	for _, here := range one.nodes {
		here.control.lease, here.control.sets, here.control.backlog = contact.New(), sets, broadcast.NewBacklog()
		phase := func(period clock.Span) clock.Span { return clock.Span(one.Random.Int63n(int64(period))) }
		if here.own.Role == membership.RoleController {
			one.every(here, phase(constants.ContactPeriod), constants.ContactPeriod, here.contactRound)
			one.every(here, phase(constants.BacklogPeriod), constants.BacklogPeriod, here.tendBacklog)
		} else {
			one.every(here, phase(constants.SecondReportPeriod), constants.SecondReportPeriod, func() {
				here.report(here.view.SecondControllers(here.control.first, one.Now), 3, true)
			})
		}
	}
}

func (one *fleet) every(here *node, first, period clock.Span, function func()) {
	one.After(first, func() {
		if !here.down {
			function()
		}
		one.every(here, period, period, function)
	})
}

func (here *node) attached() bool {
	return here.control.lease.Valid(&here.control.sets, here.fleet.Now)
}

func (here *node) contactRound() {
	asked := here.fleet.Now
	for _, member := range here.control.sets.Acceptors {
		if member.Address == here.own.Address {
			here.contactAnswered(member, asked, here.control.accepted)
			continue
		}
		here.call(member.Address, &messages.ContactAsk{}, constants.ContactTime, func(answer transport.Writable, failed bool) {
			if !failed {
				here.contactAnswered(member, asked, answer.(*messages.ContactTold).Generation)
			}
		})
	}
}

func (here *node) contactAnswered(member messages.Member, asked clock.Moment, accepted int64) {
	if !here.control.lease.Answered(member, asked, contact.Followed{Generation: accepted}, contact.Followed{Generation: here.config}) || here.control.catching {
		return
	}
	here.control.catching = true
	here.fleet.After(constants.PushTime/2, func() {
		here.control.catching = false
		here.pull(accepted, member.Address)
	})
}

func (here *node) owe(update *messages.Relay, entries []messages.Entry, pause clock.Span) {
	var ids []string
	for _, worker := range update.Workers {
		ids = append(ids, worker.ID)
	}
	for _, entry := range entries {
		here.control.backlog.Add(entry, update.Generation, ids, pause, here.fleet.Now)
	}
}

func (here *node) tendBacklog() {
	for _, delivery := range here.control.backlog.Due(here.view.All("", here.fleet.Now), here.fleet.Now) {
		here.redeliver(delivery)
	}
}

func (here *node) redeliver(delivery broadcast.Delivery) {
	var message transport.Writable = &messages.ConfigPush{Generation: delivery.Generation}
	if len(delivery.Workers) > 0 {
		push := &messages.RosterPush{}
		for _, id := range delivery.Workers {
			worker, _ := here.registry.Get(id)
			push.Workers = append(push.Workers, worker)
		}
		message = push
	}
	here.call(delivery.Entry.Address, message, constants.CallTime, func(answer transport.Writable, failed bool) {
		if !failed && answer.(*messages.Nothing).Taken {
			here.control.backlog.Confirmed(delivery)
		}
	})
}

// majority has a message taken by a majority of the acceptors; done runs once it was.
func (here *node) majority(message transport.Writable, done func()) {
	answered, ended := map[string]bool{}, false
	took := func(member messages.Member) {
		answered[register.Identity(member)] = true
		if !ended && register.Quorum(&here.control.sets, answered) {
			ended = true
			done()
		}
	}
	for _, member := range here.control.sets.Acceptors {
		if member.Address == here.own.Address {
			here.answer(message, func(transport.Writable) { took(member) })
			continue
		}
		here.call(member.Address, message, constants.RoundTime, func(_ transport.Writable, failed bool) {
			if !failed {
				took(member)
			}
		})
	}
}

// order is an operator's call at this controller: acknowledged runs if it is answered
// with 200.
func (here *node) order(generation int64, acknowledged func()) {
	if !here.attached() {
		return
	}
	here.majority(&messages.Accept{Value: messages.Register{Current: messages.Version{Generation: generation}}}, func() {
		here.take(generation)
		here.spread(&messages.Relay{Generation: generation, Body: body}, constants.PushTime, acknowledged)
	})
}

// bind is a worker's drain at this controller: acknowledged runs if it is answered with
// 200.
func (here *node) bind(worker messages.Worker, acknowledged func()) {
	if !here.attached() {
		return
	}
	here.registry.Beat(worker, here.fleet.Now)
	worker, _ = here.registry.Get(worker.ID)
	kept, told := false, false
	end := func() {
		if kept && told {
			acknowledged()
		}
	}
	here.majority(&messages.WorkersKeep{Workers: []messages.Worker{worker}}, func() {
		kept = true
		end()
	})
	here.spread(&messages.Relay{Workers: []messages.Worker{worker}}, constants.TreeTime, func() {
		told = true
		end()
	})
}
