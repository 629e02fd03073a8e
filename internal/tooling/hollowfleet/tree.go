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
	begun clock.Instant
	job   *broadcast.Tree
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
func (r *registrations) directory(node *Node, generation int64) []messages.NodeInfo {
	var found []messages.NodeInfo
	for _, entry := range r.fleet.members.all(node) {
		has := generation > 0 && entry.Generation >= generation && entry.Role != membership.RoleController
		if !has {
			found = append(found, entry)
		}
	}
	return found
}

func fan(update *messages.RelayRequest) int {
	if update.Generation > 0 {
		return 2 * constants.BodyFanout
	}
	return 0
}

// spread tells all processes down the tree; done is told when all in touch have taken
// the update, or after the span.
func (r *registrations) spread(node *Node, core Core, update *messages.RelayRequest, span clock.Duration, done func()) {
	r.number++
	update.From, update.Sequence = membership.Key(node.own), r.number
	entry := &propagation{begun: node.now()}
	var sends []broadcast.Send
	directory := r.directory(node, update.Generation)
	node.step(core, func() { entry.job, sends = broadcast.NewTree(node.own, directory, fan(update), node.now()) })
	received := onceOf(done)
	entry.waiting = append(entry.waiting, received)
	if update.Generation > 0 {
		r.addToBacklog(node, update, entry.job.Unconfirmed(sends), constants.BacklogForwardedDelay)
	}
	node.after(span, received)
	r.deliver(node, core, update, entry, sends)
}

// deliver makes the calls that a job asks for, until it is done or too late.
func (r *registrations) deliver(node *Node, core Core, update *messages.RelayRequest, item *propagation, sends []broadcast.Send) {
	var follow func(sends []broadcast.Send)
	follow = func(sends []broadcast.Send) {
		for _, send := range sends {
			r.send(node, core, update, send, func(missing []uint32, reached bool) {
				if reached {
					follow(item.job.HandleResponse(send, missing, node.now()))
					return
				}
				next := item.job.HandleFailure(send, node.now())
				if entry := item.job.Receiver(send); send.Step == broadcast.StepDeliver && entry.Address != "" {
					r.addToBacklog(node, update, []messages.NodeInfo{entry}, constants.BacklogBackoff)
				}
				follow(next)
			})
		}
		item.settle()
	}
	follow(sends)
	var tick func()
	tick = func() {
		if !item.job.Done() && node.now().Sub(item.begun) < constants.BulkCallTimeout {
			node.step(core, func() { follow(item.job.Tick(node.now())) })
			node.after(constants.RelayTimeout/4, tick)
		}
	}
	node.after(constants.RelayTimeout/4, tick)
}

// send makes one call of a job.
func (r *registrations) send(node *Node, core Core, update *messages.RelayRequest, send broadcast.Send, then func([]uint32, bool)) {
	plain := func(reached bool) { then(nil, reached) }
	switch {
	case send.Step == broadcast.StepRelay:
		part := *update
		part.Expect = send.Expect
		node.ask(core, send.Address, messages.KindRelay, &part, &messages.Ack{}, constants.CallTimeout, plain)
	case send.Step == broadcast.StepWait:
		back := &messages.RelayWaitResponse{}
		node.ask(core, send.Address, messages.KindRelayWait, &messages.RelayWaitRequest{From: update.From, Sequence: update.Sequence}, back, constants.CallTimeout,
			func(reached bool) { then(back.Missing, reached && back.Known) })
	case update.Generation > 0:
		push := &messages.ConfigPush{Generation: update.Generation, Body: update.Body, ForwardTo: send.ForwardTo}
		node.ask(core, send.Address, messages.KindConfigPush, push, &messages.Ack{}, constants.CallTimeout, plain)
	default:
		push := &messages.WorkersUpdate{From: membership.Key(node.own), Workers: update.Workers}
		node.ask(core, send.Address, messages.KindWorkersUpdate, push, &messages.Ack{}, constants.CallTimeout, plain)
	}
}

func relayKey(from string, number uint64) string { return from + "#" + strconv.FormatUint(number, 10) }

func coreOf(update *messages.RelayRequest) Core {
	if update.Generation > 0 {
		return CoreConfig
	}
	return CoreWorkers
}

// beginRelays lets a controller tell its zone on behalf of another.
func (r *registrations) beginRelays(node *Node, own *table) {
	node.answerers[messages.KindRelay] = reads(node, CoreWorkers, func(update *messages.RelayRequest) transport.Marshaler {
		r.merge(node, own, update.Workers)
		r.fleet.configuration.take(node, update.Generation, update.Body)
		expect := update.Expect[:0:0]
		has := map[uint32]bool{}
		for _, entry := range r.directory(node, 0) {
			has[membership.Hash(entry)] = update.Generation > 0 && entry.Generation >= update.Generation
		}
		for _, mark := range update.Expect {
			if !has[mark] {
				expect = append(expect, mark)
			}
		}
		item := &propagation{begun: node.now()}
		var sends []broadcast.Send
		item.job, sends = broadcast.NewZoneTree(node.own, r.directory(node, update.Generation), expect, fan(update), node.now())
		own.relays[relayKey(update.From, update.Sequence)] = item
		node.after(0, func() { r.deliver(node, coreOf(update), update, item, sends) })
		return taken()
	})
	node.answerers[messages.KindRelayWait] = func(body []byte, reply func(transport.Marshaler)) {
		req := &messages.RelayWaitRequest{}
		node.step(CoreWorkers, func() { _ = transport.Decode(body, req) })
		item := own.relays[relayKey(req.From, req.Sequence)]
		if item == nil {
			reply(&messages.RelayWaitResponse{})
			return
		}
		say := onceOf(func() { reply(&messages.RelayWaitResponse{Known: true, Missing: item.job.Missing()}) })
		item.waiting = append(item.waiting, say)
		node.after(constants.ZoneBroadcastTimeout, say)
		node.after(0, item.settle)
	}
}
