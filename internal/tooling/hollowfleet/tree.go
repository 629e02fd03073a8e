package hollowfleet

import (
	"strconv"

	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// propagation is an update on its way down the tree.
type propagation struct {
	begun clock.Moment
	job   *broadcast.Job
	// waiting are those told once it is done.
	waiting []func()
}

func (p *propagation) settle() {
	if p.job.Done() {
		for _, done := range p.waiting {
			done()
		}
		p.waiting = nil
	}
}

// onceOf runs a function the first time only.
func onceOf(function func()) func() {
	ran := false
	return func() {
		if !ran {
			ran = true
			function()
		}
	}
}

// directory gives every other process that lacks a generation, the silent ones included.
func (r *registrations) directory(node *Node, generation int64) []messages.Entry {
	var found []messages.Entry
	for _, entry := range r.fleet.members.all(node) {
		has := generation > 0 && entry.Generation >= generation && entry.Role != membership.RoleController
		if !has {
			found = append(found, entry)
		}
	}
	return found
}

func fan(update *messages.Relay) int {
	if update.Generation > 0 {
		return 2 * constants.BodyFan
	}
	return 0
}

// spread tells all processes down the tree; done is told when all in touch have taken
// the update, or after the span.
func (r *registrations) spread(node *Node, core Core, update *messages.Relay, span clock.Span, done func()) {
	r.number++
	update.From, update.Number = membership.Key(node.own), r.number
	one := &propagation{begun: node.now()}
	var sends []broadcast.Send
	directory := r.directory(node, update.Generation)
	node.step(core, func() { one.job, sends = broadcast.Fleet(node.own, directory, fan(update), node.now()) })
	told := onceOf(done)
	one.waiting = append(one.waiting, told)
	if update.Generation > 0 {
		r.addToBacklog(node, update, one.job.Unconfirmed(sends), constants.BacklogPassedPause)
	}
	node.after(span, told)
	r.deliver(node, core, update, one, sends)
}

// deliver makes the calls that a job asks for, until it is done or too late.
func (r *registrations) deliver(node *Node, core Core, update *messages.Relay, one *propagation, sends []broadcast.Send) {
	var follow func(sends []broadcast.Send)
	follow = func(sends []broadcast.Send) {
		for _, send := range sends {
			r.send(node, core, update, send, func(missing []uint32, reached bool) {
				if reached {
					follow(one.job.Took(send, missing, node.now()))
					return
				}
				next := one.job.Failed(send, node.now())
				if entry := one.job.Told(send); send.Step == broadcast.StepTell && entry.Address != "" {
					r.addToBacklog(node, update, []messages.Entry{entry}, constants.BacklogPause)
				}
				follow(next)
			})
		}
		one.settle()
	}
	follow(sends)
	var tick func()
	tick = func() {
		if !one.job.Done() && node.now().Since(one.begun) < constants.BulkCallTime {
			node.step(core, func() { follow(one.job.Tick(node.now())) })
			node.after(constants.RelayPatience/4, tick)
		}
	}
	node.after(constants.RelayPatience/4, tick)
}

// send makes one call of a job.
func (r *registrations) send(node *Node, core Core, update *messages.Relay, send broadcast.Send, then func([]uint32, bool)) {
	plain := func(reached bool) { then(nil, reached) }
	switch {
	case send.Step == broadcast.StepRelay:
		part := *update
		part.Expect = send.Expect
		node.ask(core, send.Address, messages.KindRelay, &part, &messages.Nothing{}, constants.CallTime, plain)
	case send.Step == broadcast.StepWait:
		back := &messages.RelayDone{}
		node.ask(core, send.Address, messages.KindRelayWait, &messages.RelayWait{From: update.From, Number: update.Number}, back, constants.CallTime,
			func(reached bool) { then(back.Missing, reached && back.Known) })
	case update.Generation > 0:
		push := &messages.ConfigPush{Generation: update.Generation, Body: update.Body, Pass: send.Pass}
		node.ask(core, send.Address, messages.KindConfigPush, push, &messages.Nothing{}, constants.CallTime, plain)
	default:
		push := &messages.RosterPush{From: membership.Key(node.own), Workers: update.Workers}
		node.ask(core, send.Address, messages.KindRosterPush, push, &messages.Nothing{}, constants.CallTime, plain)
	}
}

func relayKey(from string, number uint64) string { return from + "#" + strconv.FormatUint(number, 10) }

func coreOf(update *messages.Relay) Core {
	if update.Generation > 0 {
		return CoreConfig
	}
	return CoreWorkers
}

// beginRelays lets a controller tell its zone on behalf of another.
func (r *registrations) beginRelays(node *Node, own *table) {
	node.answerers[messages.KindRelay] = reads(node, CoreWorkers, func(update *messages.Relay) transport.Writable {
		r.merge(node, own, update.Workers)
		r.fleet.configuration.take(node, update.Generation, update.Body)
		expect := update.Expect[:0:0]
		has := map[uint32]bool{}
		for _, entry := range r.directory(node, 0) {
			has[membership.MarkOf(entry)] = update.Generation > 0 && entry.Generation >= update.Generation
		}
		for _, mark := range update.Expect {
			if !has[mark] {
				expect = append(expect, mark)
			}
		}
		one := &propagation{begun: node.now()}
		var sends []broadcast.Send
		one.job, sends = broadcast.Zone(node.own, r.directory(node, update.Generation), expect, fan(update), node.now())
		own.relays[relayKey(update.From, update.Number)] = one
		node.after(0, func() { r.deliver(node, coreOf(update), update, one, sends) })
		return taken()
	})
	node.answerers[messages.KindRelayWait] = func(body []byte, reply func(transport.Writable)) {
		question := &messages.RelayWait{}
		node.step(CoreWorkers, func() { _ = transport.Read(body, question) })
		one := own.relays[relayKey(question.From, question.Number)]
		if one == nil {
			reply(&messages.RelayDone{})
			return
		}
		say := onceOf(func() { reply(&messages.RelayDone{Known: true, Missing: one.job.Missing()}) })
		one.waiting = append(one.waiting, say)
		node.after(constants.ZoneTime, say)
		node.after(0, one.settle)
	}
}
