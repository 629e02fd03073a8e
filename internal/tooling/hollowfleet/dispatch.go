package hollowfleet

import (
	"fmt"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/executor"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// driverState is what a driver keeps.
type driverState struct {
	core    *executor.Runner
	running int
	// speaking: results are on their way; asking: a question for items is out.
	speaking, asking bool
	renewed          clock.Instant
	lock             clock.Duration
}

// itemService is the service of all items: which one it is decides nothing here.
const itemService = "model-00"

// beginDispatch lets the holder hand items out and take acknowledgements.
func (s *storage) beginDispatch(node *Node, own *storeState) {
	own.dispatcher = dispatch.NewDispatcher(own.book, lotEpoch, 1, constants.LockUnstated, node.now())
	own.dispatcher.Append = func(record messages.Record) int64 { return s.submit(node, own, record) }
	terms := func(lot *dispatch.Job) dispatch.JobTerms { return dispatch.JobTerms{Due: lot.SubmittedMs + 3_600_000} }
	node.answerers[messages.KindAcquire] = func(body []byte, reply func(transport.Marshaler)) {
		question := &messages.AcquireRequest{}
		node.step(CoreLots, func() { _ = transport.Decode(body, question) })
		s.acquire(node, own, question, node.now(), terms, reply)
	}
	node.answerers[messages.KindAcknowledge] = func(body []byte, reply func(transport.Marshaler)) {
		question := &messages.AcknowledgeRequest{}
		node.step(CoreLots, func() {
			if transport.Decode(body, question) == nil {
				s.acknowledge(node, own, question, reply)
			}
		})
	}
	node.every(constants.TickPeriod, func() { node.step(CoreLots, func() { own.dispatcher.ExpireLocks(node.now()) }) })
	node.every(constants.ExpirePeriod, func() { node.step(CoreLots, func() { own.dispatcher.AbandonExpired(terms, node.now()) }) })
}

// acquire hands items out, or looks again a little later while there are none.
func (s *storage) acquire(node *Node, own *storeState, question *messages.AcquireRequest, begun clock.Instant, terms func(*dispatch.Job) dispatch.JobTerms, reply func(transport.Marshaler)) {
	answer := &messages.AcquireResponse{LockMs: clock.ToMilliseconds(own.dispatcher.Lock), WaitedMs: clock.ToMilliseconds(node.now().Sub(begun))}
	node.step(CoreLots, func() {
		ask := &dispatch.AcquireOptions{Executor: dispatch.Executor{Name: question.Executor, Incarnation: question.Incarnation, Address: question.Address},
			Capacity: map[string]int{}, Terms: terms, Service: func(*dispatch.Item) string { return itemService }}
		for _, room := range question.Capacity {
			ask.Capacity[room.Service] = room.Count
		}
		for _, one := range own.dispatcher.Acquire(ask, node.now()) {
			answer.Items = append(answer.Items, messages.AcquiredItem{Number: one.Number, Job: one.Item.Job.ID, Host: one.Item.Job.Host,
				Path: one.Item.Job.Path, SubmittedMs: one.Item.Job.SubmittedMs, Item: one.Item.JobItem})
		}
	})
	if len(answer.Items) > 0 || node.now().Sub(begun) >= constants.AcquireWait {
		reply(answer)
		return
	}
	node.after(constants.TickPeriod, func() { s.acquire(node, own, question, begun, terms, reply) })
}

// acknowledge takes a batch; what needs a record is answered once that is durable.
func (s *storage) acknowledge(node *Node, own *storeState, question *messages.AcknowledgeRequest, reply func(transport.Marshaler)) {
	driver := dispatch.Executor{Name: question.Executor, Incarnation: question.Incarnation, Address: question.Address}
	answer, last := &messages.AcknowledgeResponse{}, int64(0)
	for place := range question.Entries {
		step := own.dispatcher.Acknowledge(driver, &question.Entries[place], node.now())
		last = max(last, step.Index)
		answer.Verdicts = append(answer.Verdicts, step.Verdict)
	}
	if last <= own.replication.CommitIndex() {
		reply(answer)
		return
	}
	own.durable = append(own.durable, waiting{last, func() { reply(answer) }})
}

// beginDriver lets a store run items.
func (s *storage) beginDriver(node *Node) *driverState {
	own := &driverState{core: executor.New(), lock: constants.LockUnstated}
	if s.fleet.Plan.Lots == 0 {
		return own
	}
	node.every(constants.TickPeriod, func() {
		node.step(CoreDriver, func() { s.halt(own.core.Lapsed(node.now())) })
		if node.now().Sub(own.renewed) >= own.lock/constants.RenewalsPerLock {
			own.renewed = node.now()
			s.renewLocks(node, own)
		}
		s.ask(node, own)
	})
	return own
}

// halt has nothing to break off: a run that was stopped ends as one that is late.
func (*storage) halt([]*executor.Task) {}

// room is how many items a driver runs: its part of a quarter of all places.
func (s *storage) room() int {
	plan := s.fleet.Plan
	const share, capacity = 4, 16
	return max(4, plan.Workers*capacity/share/max(1, plan.Nodes/plan.StoreEach))
}

// ask fills the room there is.
func (s *storage) ask(node *Node, own *driverState) {
	room := s.room() - own.running
	if own.asking || room <= 0 || s.holder.down {
		return
	}
	own.asking = true
	question := &messages.AcquireRequest{Executor: node.own.Name, Incarnation: node.own.Incarnation, Address: node.own.Address,
		Capacity: []messages.ServiceCapacity{{Service: itemService, Count: room}}, WaitMs: int(constants.AcquireWait.Milliseconds())}
	answer, asked := &messages.AcquireResponse{}, node.now()
	node.ask(CoreDriver, s.holder.own.Address, messages.KindAcquire, question, answer, constants.AcquireWait+constants.CallTimeout, func(reached bool) {
		own.asking = false
		if !reached {
			return
		}
		for _, task := range own.core.Add(answer, asked, node.now()) {
			own.running++
			task.Started = true
			node.after(clock.Milliseconds(s.fleet.Plan.HeldMs*(0.5+node.random.Float64())), func() {
				own.running--
				s.finish(node, own, task)
			})
		}
		s.ask(node, own)
	})
}

// finish ends a run with its output, if it still may.
func (s *storage) finish(node *Node, own *driverState, task *executor.Task) {
	node.step(CoreDriver, func() {
		entry := messages.Acknowledgement{Kind: messages.AckAccept, Output: []byte(fmt.Sprintf("%*d", s.fleet.Plan.ItemBytes, task.Number))}
		if !task.MayRun(node.now()) {
			entry = messages.Acknowledgement{Kind: messages.AckRelease}
		}
		own.core.Done(task, entry)
	})
	node.after(constants.AckBatchWindow, func() { s.speak(node, own) })
	node.after(constants.AckBatchWindow, func() { s.ask(node, own) })
}

// speak sends what is owed, one message at a time, and repeats what is not answered.
func (s *storage) speak(node *Node, own *driverState) {
	var batch []messages.Acknowledgement
	node.step(CoreDriver, func() { batch = append(own.core.Results(), own.core.Releases()...) })
	if own.speaking || len(batch) == 0 {
		return
	}
	own.speaking = true
	s.acknowledged(node, batch, func(answer *messages.AcknowledgeResponse) {
		own.speaking = false
		if answer == nil {
			node.after(constants.AckBackoff, func() { s.speak(node, own) })
			return
		}
		own.core.HandleVerdicts(batch, answer.Verdicts)
		s.speak(node, own)
	})
}

// renewLocks asks for all locks to run anew, in one message.
func (s *storage) renewLocks(node *Node, own *driverState) {
	var entries []messages.Acknowledgement
	node.step(CoreDriver, func() { entries = own.core.Renewals(node.now()) })
	if len(entries) == 0 {
		return
	}
	asked := node.now()
	s.acknowledged(node, entries, func(answer *messages.AcknowledgeResponse) {
		if answer == nil {
			own.renewed = 0
			return
		}
		s.halt(own.core.HandleRenewals(entries, answer.Verdicts, asked, own.lock))
	})
}

func (s *storage) acknowledged(node *Node, entries []messages.Acknowledgement, then func(*messages.AcknowledgeResponse)) {
	question := &messages.AcknowledgeRequest{Executor: node.own.Name, Incarnation: node.own.Incarnation, Address: node.own.Address, Entries: entries}
	answer := &messages.AcknowledgeResponse{}
	node.ask(CoreDriver, s.holder.own.Address, messages.KindAcknowledge, question, answer, constants.CallTimeout, func(reached bool) {
		if !reached {
			then(nil)
			return
		}
		then(answer)
	})
}
