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
	own.dispatcher = dispatch.NewDispatcher(own.book, lotEpoch, 1, constants.LockDefault, node.now())
	own.dispatcher.Append = func(record messages.Record) int64 { return s.submit(node, own, record) }
	terms := func(job *dispatch.Job) dispatch.JobTerms { return dispatch.JobTerms{Due: job.SubmittedMs + 3_600_000} }
	node.answerers[messages.KindAcquire] = func(body []byte, reply func(transport.Marshaler)) {
		req := &messages.AcquireRequest{}
		node.step(CoreLots, func() { _ = transport.Decode(body, req) })
		s.acquire(node, own, req, node.now(), terms, reply)
	}
	node.answerers[messages.KindAcknowledge] = func(body []byte, reply func(transport.Marshaler)) {
		req := &messages.AcknowledgeRequest{}
		node.step(CoreLots, func() {
			if transport.Decode(body, req) == nil {
				s.acknowledge(node, own, req, reply)
			}
		})
	}
	node.every(constants.TickPeriod, func() { node.step(CoreLots, func() { own.dispatcher.ExpireLocks(node.now()) }) })
	node.every(constants.ExpirePeriod, func() { node.step(CoreLots, func() { own.dispatcher.AbandonExpired(terms, node.now()) }) })
}

// acquire hands items out, or looks again a little later while there are none.
func (s *storage) acquire(node *Node, own *storeState, req *messages.AcquireRequest, started clock.Instant, terms func(*dispatch.Job) dispatch.JobTerms, reply func(transport.Marshaler)) {
	resp := &messages.AcquireResponse{LockMs: clock.ToMilliseconds(own.dispatcher.Lock), WaitedMs: clock.ToMilliseconds(node.now().Sub(started))}
	node.step(CoreLots, func() {
		request := &dispatch.AcquireOptions{Executor: dispatch.Executor{Name: req.Executor, Incarnation: req.Incarnation, Address: req.Address},
			Capacity: map[string]int{}, Terms: terms, Service: func(*dispatch.Item) string { return itemService }}
		for _, capacity := range req.Capacity {
			request.Capacity[capacity.Service] = capacity.Count
		}
		for _, entry := range own.dispatcher.Acquire(request, node.now()) {
			resp.Items = append(resp.Items, messages.AcquiredItem{Number: entry.Number, Job: entry.Item.Job.ID, Host: entry.Item.Job.Host,
				Path: entry.Item.Job.Path, SubmittedMs: entry.Item.Job.SubmittedMs, Item: entry.Item.JobItem})
		}
	})
	if len(resp.Items) > 0 || node.now().Sub(started) >= constants.AcquireWait {
		reply(resp)
		return
	}
	node.after(constants.TickPeriod, func() { s.acquire(node, own, req, started, terms, reply) })
}

// acknowledge takes a batch; what needs a record is answered once that is durable.
func (s *storage) acknowledge(node *Node, own *storeState, req *messages.AcknowledgeRequest, reply func(transport.Marshaler)) {
	driver := dispatch.Executor{Name: req.Executor, Incarnation: req.Incarnation, Address: req.Address}
	resp, last := &messages.AcknowledgeResponse{}, int64(0)
	for i := range req.Entries {
		step := own.dispatcher.Acknowledge(driver, &req.Entries[i], node.now())
		last = max(last, step.Index)
		resp.Verdicts = append(resp.Verdicts, step.Verdict)
	}
	if last <= own.replication.CommitIndex() {
		reply(resp)
		return
	}
	own.durable = append(own.durable, waiting{last, func() { reply(resp) }})
}

// beginDriver lets a store run items.
func (s *storage) beginDriver(node *Node) *driverState {
	own := &driverState{core: executor.New(), lock: constants.LockDefault}
	if s.fleet.Plan.Lots == 0 {
		return own
	}
	node.every(constants.TickPeriod, func() {
		node.step(CoreDriver, func() { s.halt(own.core.StopExpired(node.now())) })
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
	capacity := s.room() - own.running
	if own.asking || capacity <= 0 || s.holder.down {
		return
	}
	own.asking = true
	req := &messages.AcquireRequest{Executor: node.own.Name, Incarnation: node.own.Incarnation, Address: node.own.Address,
		Capacity: []messages.ServiceCapacity{{Service: itemService, Count: capacity}}, WaitMs: int(constants.AcquireWait.Milliseconds())}
	resp, requested := &messages.AcquireResponse{}, node.now()
	node.ask(CoreDriver, s.holder.own.Address, messages.KindAcquire, req, resp, constants.AcquireWait+constants.CallTimeout, func(reached bool) {
		own.asking = false
		if !reached {
			return
		}
		for _, task := range own.core.Add(resp, requested, node.now()) {
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
	s.acknowledged(node, batch, func(resp *messages.AcknowledgeResponse) {
		own.speaking = false
		if resp == nil {
			node.after(constants.AckBackoff, func() { s.speak(node, own) })
			return
		}
		own.core.HandleVerdicts(batch, resp.Verdicts)
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
	requested := node.now()
	s.acknowledged(node, entries, func(resp *messages.AcknowledgeResponse) {
		if resp == nil {
			own.renewed = 0
			return
		}
		s.halt(own.core.HandleRenewals(entries, resp.Verdicts, requested, own.lock))
	})
}

func (s *storage) acknowledged(node *Node, entries []messages.Acknowledgement, then func(*messages.AcknowledgeResponse)) {
	req := &messages.AcknowledgeRequest{Executor: node.own.Name, Incarnation: node.own.Incarnation, Address: node.own.Address, Entries: entries}
	resp := &messages.AcknowledgeResponse{}
	node.ask(CoreDriver, s.holder.own.Address, messages.KindAcknowledge, req, resp, constants.CallTimeout, func(reached bool) {
		if !reached {
			then(nil)
			return
		}
		then(resp)
	})
}
