package maquette

import (
	"strconv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/manifold"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// delivery is a word on its way down the tree.
type delivery struct {
	begun watch.Moment
	job   *manifold.Job
	// waiting are those told once it is done.
	waiting []func()
}

func (one *delivery) settle() {
	if one.job.Done() {
		for _, done := range one.waiting {
			done()
		}
		one.waiting = nil
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

// directory gives every other process that may still be there and lacks a generation.
func (workers *workers) directory(node *Node, generation int64) []pattern.Entry {
	var found []pattern.Entry
	for _, entry := range workers.fleet.members.all(node) {
		has := generation > 0 && entry.Generation >= generation && entry.Role != bellows.RoleForeman
		if entry.AgeMs < 4*almanac.SilentAfter.Milliseconds() && !has {
			found = append(found, entry)
		}
	}
	return found
}

func fan(word *pattern.Relay) int {
	if word.Generation > 0 {
		return 2 * almanac.BodyFan
	}
	return 0
}

// spread tells all processes down the tree; done is told when all in touch have taken
// the word, or after the span.
func (workers *workers) spread(node *Node, core Core, word *pattern.Relay, span watch.Span, done func()) {
	workers.number++
	word.From, word.Number = bellows.Key(node.own), workers.number
	one := &delivery{begun: node.now()}
	var sends []manifold.Send
	directory := workers.directory(node, word.Generation)
	node.step(core, func() { one.job, sends = manifold.Fleet(node.own, directory, fan(word), node.now()) })
	told := onceOf(done)
	one.waiting = append(one.waiting, told)
	node.after(span, told)
	workers.deliver(node, core, word, one, sends)
}

// deliver makes the calls that a job asks for, until it is done or too late.
func (workers *workers) deliver(node *Node, core Core, word *pattern.Relay, one *delivery, sends []manifold.Send) {
	var follow func(sends []manifold.Send)
	follow = func(sends []manifold.Send) {
		for _, send := range sends {
			workers.send(node, core, word, send, func(missing []uint32, reached bool) {
				if reached {
					follow(one.job.Took(send, missing, node.now()))
				} else {
					follow(one.job.Failed(send, node.now()))
				}
			})
		}
		one.settle()
	}
	follow(sends)
	var tick func()
	tick = func() {
		if !one.job.Done() && node.now().Since(one.begun) < almanac.BulkCallTime {
			node.step(core, func() { follow(one.job.Tick(node.now())) })
			node.after(almanac.RelayPatience/4, tick)
		}
	}
	node.after(almanac.RelayPatience/4, tick)
}

// send makes one call of a job.
func (workers *workers) send(node *Node, core Core, word *pattern.Relay, send manifold.Send, then func([]uint32, bool)) {
	plain := func(reached bool) { then(nil, reached) }
	switch {
	case send.Step == manifold.StepRelay:
		part := *word
		part.Expect = send.Expect
		node.ask(core, send.Address, pattern.KindRelay, &part, &pattern.Nothing{}, almanac.CallTime, plain)
	case send.Step == manifold.StepWait:
		back := &pattern.RelayDone{}
		node.ask(core, send.Address, pattern.KindRelayWait, &pattern.RelayWait{From: word.From, Number: word.Number}, back, almanac.CallTime,
			func(reached bool) { then(back.Missing, reached && back.Known) })
	case word.Generation > 0:
		push := &pattern.ConfigPush{Generation: word.Generation, Body: word.Body, Pass: send.Pass}
		node.ask(core, send.Address, pattern.KindConfigPush, push, &pattern.Nothing{}, almanac.CallTime, plain)
	default:
		push := &pattern.RosterPush{From: bellows.Key(node.own), Workers: word.Workers}
		node.ask(core, send.Address, pattern.KindRosterPush, push, &pattern.Nothing{}, almanac.CallTime, plain)
	}
}

func relayKey(from string, number uint64) string { return from + "#" + strconv.FormatUint(number, 10) }

func coreOf(word *pattern.Relay) Core {
	if word.Generation > 0 {
		return CoreConfig
	}
	return CoreRoster
}

// beginRelays lets a foreman tell its zone on behalf of another.
func (workers *workers) beginRelays(node *Node, own *table) {
	node.answerers[pattern.KindRelay] = reads(node, CoreRoster, func(word *pattern.Relay) tongs.Writable {
		workers.merge(node, own, word.Workers)
		workers.fleet.register.take(node, word.Generation, word.Body)
		expect := word.Expect[:0:0]
		has := map[uint32]bool{}
		for _, entry := range workers.directory(node, 0) {
			has[bellows.MarkOf(entry)] = word.Generation > 0 && entry.Generation >= word.Generation
		}
		for _, mark := range word.Expect {
			if !has[mark] {
				expect = append(expect, mark)
			}
		}
		one := &delivery{begun: node.now()}
		var sends []manifold.Send
		one.job, sends = manifold.Hall(node.own, workers.directory(node, word.Generation), expect, fan(word), node.now())
		own.relays[relayKey(word.From, word.Number)] = one
		node.after(0, func() { workers.deliver(node, coreOf(word), word, one, sends) })
		return taken()
	})
	node.answerers[pattern.KindRelayWait] = func(body []byte, reply func(tongs.Writable)) {
		question := &pattern.RelayWait{}
		node.step(CoreRoster, func() { _ = tongs.Read(body, question) })
		one := own.relays[relayKey(question.From, question.Number)]
		if one == nil {
			reply(&pattern.RelayDone{})
			return
		}
		say := onceOf(func() { reply(&pattern.RelayDone{Known: true, Missing: one.job.Missing()}) })
		one.waiting = append(one.waiting, say)
		node.after(almanac.HallTime, say)
		node.after(0, one.settle)
	}
}
