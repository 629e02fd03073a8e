package maquette

import (
	"fmt"

	"lemonarch/internal/almanac"
	"lemonarch/internal/apprentice"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// ledger is what a driver keeps.
type ledger struct {
	core    *apprentice.Apprentice
	running int
	// speaking: results are on their way; asking: a question for items is out.
	speaking, asking bool
	renewed          watch.Moment
	lock             watch.Span
}

// itemService is the service of all items: which one it is decides nothing here.
const itemService = "model-00"

// beginDispatch lets the holder hand items out and take acknowledgements.
func (lots *lots) beginDispatch(node *Node, own *drawer) {
	own.dispatcher = ledgerbox.NewDispatcher(own.book, lotEpoch, 1, almanac.LockUnstated, node.now())
	own.dispatcher.Submit = func(record pattern.Record) int64 { return lots.submit(node, own, record) }
	terms := func(lot *ledgerbox.Lot) ledgerbox.Terms { return ledgerbox.Terms{Due: lot.SentMs + 3_600_000} }
	node.answerers[pattern.KindAcquire] = func(body []byte, reply func(tongs.Writable)) {
		question := &pattern.Acquire{}
		node.step(CoreLots, func() { _ = tongs.Read(body, question) })
		lots.acquire(node, own, question, node.now(), terms, reply)
	}
	node.answerers[pattern.KindAcknowledge] = func(body []byte, reply func(tongs.Writable)) {
		question := &pattern.Acknowledge{}
		node.step(CoreLots, func() {
			if tongs.Read(body, question) == nil {
				lots.acknowledge(node, own, question, reply)
			}
		})
	}
	node.every(almanac.TickPeriod, func() { node.step(CoreLots, func() { own.dispatcher.Lapse(node.now()) }) })
	node.every(almanac.ExpirePeriod, func() { node.step(CoreLots, func() { own.dispatcher.Expire(terms, node.now()) }) })
}

// acquire hands items out, or looks again a little later while there are none.
func (lots *lots) acquire(node *Node, own *drawer, question *pattern.Acquire, begun watch.Moment, terms func(*ledgerbox.Lot) ledgerbox.Terms, reply func(tongs.Writable)) {
	answer := &pattern.Acquired{LockMs: watch.ToMilliseconds(own.dispatcher.Lock), HeldMs: watch.ToMilliseconds(node.now().Since(begun))}
	node.step(CoreLots, func() {
		ask := &ledgerbox.AcquireAsk{Driver: ledgerbox.Driver{Name: question.Driver, Life: question.Life, Address: question.Address},
			Room: map[string]int{}, Terms: terms, Service: func(*ledgerbox.Item) string { return itemService }}
		for _, room := range question.Room {
			ask.Room[room.Service] = room.Count
		}
		for _, one := range own.dispatcher.Acquire(ask, node.now()) {
			answer.Items = append(answer.Items, pattern.AcquiredItem{Number: one.Number, Lot: one.Item.Lot.ID, Host: one.Item.Lot.Host,
				Path: one.Item.Lot.Path, SentMs: one.Item.Lot.SentMs, Item: one.Item.LotItem})
		}
	})
	if len(answer.Items) > 0 || node.now().Since(begun) >= almanac.AcquireHold {
		reply(answer)
		return
	}
	node.after(almanac.TickPeriod, func() { lots.acquire(node, own, question, begun, terms, reply) })
}

// acknowledge takes a batch; what needs a record is answered once that is durable.
func (lots *lots) acknowledge(node *Node, own *drawer, question *pattern.Acknowledge, reply func(tongs.Writable)) {
	driver := ledgerbox.Driver{Name: question.Driver, Life: question.Life, Address: question.Address}
	answer, last := &pattern.Acknowledged{}, int64(0)
	for place := range question.Entries {
		step := own.dispatcher.Acknowledge(driver, &question.Entries[place], node.now())
		last = max(last, step.Index)
		answer.Verdicts = append(answer.Verdicts, step.Verdict)
	}
	if last <= own.press.Done() {
		reply(answer)
		return
	}
	own.durable = append(own.durable, waiting{last, func() { reply(answer) }})
}

// beginDriver lets a locker run items.
func (lots *lots) beginDriver(node *Node) *ledger {
	own := &ledger{core: apprentice.New(), lock: almanac.LockUnstated}
	if lots.fleet.Plan.Lots == 0 {
		return own
	}
	node.every(almanac.TickPeriod, func() {
		node.step(CoreDriver, func() { lots.halt(own.core.Lapsed(node.now())) })
		if node.now().Since(own.renewed) >= own.lock/almanac.RenewPart {
			own.renewed = node.now()
			lots.renewLocks(node, own)
		}
		lots.ask(node, own)
	})
	return own
}

// halt has nothing to break off: a run that was stopped ends as one that is late.
func (*lots) halt([]*apprentice.Task) {}

// room is how many items a driver runs: its part of a quarter of all places.
func (lots *lots) room() int {
	plan := lots.fleet.Plan
	const share, capacity = 4, 16
	return max(4, plan.Workers*capacity/share/max(1, plan.Nodes/plan.LockerEach))
}

// ask fills the room there is.
func (lots *lots) ask(node *Node, own *ledger) {
	room := lots.room() - own.running
	if own.asking || room <= 0 || lots.holder.down {
		return
	}
	own.asking = true
	question := &pattern.Acquire{Driver: node.own.Name, Life: node.own.Life, Address: node.own.Address,
		Room: []pattern.ServiceRoom{{Service: itemService, Count: room}}, HoldMs: int(almanac.AcquireHold.Milliseconds())}
	answer, asked := &pattern.Acquired{}, node.now()
	node.ask(CoreDriver, lots.holder.own.Address, pattern.KindAcquire, question, answer, almanac.AcquireHold+almanac.CallTime, func(reached bool) {
		own.asking = false
		if !reached {
			return
		}
		for _, task := range own.core.Take(answer, asked, node.now()) {
			own.running++
			task.Begun = true
			node.after(watch.Milliseconds(lots.fleet.Plan.HeldMs*(0.5+node.random.Float64())), func() {
				own.running--
				lots.finish(node, own, task)
			})
		}
		lots.ask(node, own)
	})
}

// finish ends a run with its output, if it still may.
func (lots *lots) finish(node *Node, own *ledger, task *apprentice.Task) {
	node.step(CoreDriver, func() {
		entry := pattern.Acknowledgement{Kind: pattern.AckAccept, Text: []byte(fmt.Sprintf("%*d", lots.fleet.Plan.ItemBytes, task.Number))}
		if !task.May(node.now()) {
			entry = pattern.Acknowledgement{Kind: pattern.AckRelease}
		}
		own.core.Done(task, entry)
	})
	node.after(almanac.AckGather, func() { lots.speak(node, own) })
	node.after(almanac.AckGather, func() { lots.ask(node, own) })
}

// speak sends what is owed, one message at a time, and repeats what is not answered.
func (lots *lots) speak(node *Node, own *ledger) {
	var batch []pattern.Acknowledgement
	node.step(CoreDriver, func() { batch = append(own.core.Results(), own.core.Returns()...) })
	if own.speaking || len(batch) == 0 {
		return
	}
	own.speaking = true
	lots.acknowledged(node, batch, func(answer *pattern.Acknowledged) {
		own.speaking = false
		if answer == nil {
			node.after(almanac.AckPause, func() { lots.speak(node, own) })
			return
		}
		own.core.Answered(batch, answer.Verdicts)
		lots.speak(node, own)
	})
}

// renewLocks asks for all locks to run anew, in one message.
func (lots *lots) renewLocks(node *Node, own *ledger) {
	var entries []pattern.Acknowledgement
	node.step(CoreDriver, func() { entries = own.core.Renewals(node.now()) })
	if len(entries) == 0 {
		return
	}
	asked := node.now()
	lots.acknowledged(node, entries, func(answer *pattern.Acknowledged) {
		if answer == nil {
			own.renewed = 0
			return
		}
		lots.halt(own.core.Renewed(entries, answer.Verdicts, asked, own.lock))
	})
}

func (lots *lots) acknowledged(node *Node, entries []pattern.Acknowledgement, then func(*pattern.Acknowledged)) {
	question := &pattern.Acknowledge{Driver: node.own.Name, Life: node.own.Life, Address: node.own.Address, Entries: entries}
	answer := &pattern.Acknowledged{}
	node.ask(CoreDriver, lots.holder.own.Address, pattern.KindAcknowledge, question, answer, almanac.CallTime, func(reached bool) {
		if !reached {
			then(nil)
			return
		}
		then(answer)
	})
}
