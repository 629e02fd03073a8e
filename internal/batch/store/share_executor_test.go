package store

import (
	"fmt"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/executor"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// simDriver is an executor node in a shareCluster: the real core, simulated messages and
// workers.
type simDriver struct {
	cluster *shareCluster
	name    string
	core    *executor.Runner
	life    int64
	asking  bool
	telling [2]bool
	renewed clock.Instant
	shown   uint64
}

func (s *simDriver) now() clock.Instant { return s.cluster.clockValue(s.name) }

func (s *simDriver) loop() {
	cluster := s.cluster
	defer cluster.world.After(clock.Milliseconds(20+5*cluster.world.Random.Float64()), s.loop)
	if cluster.frozen[s.name] {
		return
	}
	s.halt(s.core.Lapsed(s.now()))
	if all, _ := s.core.Count(); all < 4 && !s.asking {
		s.acquire()
	}
	due := s.now().Sub(s.renewed) >= dispatch.LockDuration(shareCancel)/4
	if cluster.leader != nil && (due || cluster.leader.epoch > s.shown) {
		s.shown = cluster.leader.epoch
		s.renew()
	}
	s.tell(0, s.core.Results())
	s.tell(1, s.core.Releases())
}

// at runs a function at the machine unless it is frozen or started anew by then.
func (s *simDriver) at(incarnation int64, function func()) func() {
	return func() {
		if s.life == incarnation {
			function()
		}
	}
}

func (s *simDriver) who() dispatch.Executor {
	return dispatch.Executor{Name: s.name, Incarnation: s.life, Address: s.name}
}

func (s *simDriver) acquire() {
	cluster, leader, incarnation := s.cluster, s.cluster.leader, s.life
	if leader == nil {
		return
	}
	s.asking = true
	sentAt, who := s.now(), s.who()
	answered := false
	cluster.world.After(clock.Milliseconds(200), s.at(incarnation, func() {
		// The question timed out: an answer that comes later is dropped.
		if !answered {
			answered, s.asking = true, false
		}
	}))
	cluster.send(s.name, leader.at, func() {
		dispatcher := cluster.serving(leader)
		if dispatcher == nil {
			return
		}
		resp := &messages.AcquireResponse{LockMs: clock.ToMilliseconds(dispatcher.Lock)}
		options := &dispatch.AcquireOptions{Executor: who, Capacity: map[string]int{"s": 2}, Terms: cluster.terms,
			Service: func(*dispatch.Item) string { return "s" }}
		for _, given := range dispatcher.Acquire(options, cluster.clockValue(leader.at)) {
			item := given.Item
			resp.Items = append(resp.Items, messages.AcquiredItem{Number: given.Number, Job: item.Job.ID, Item: item.JobItem, LastID: item.LastID,
				Events: item.Events[:len(item.Events):len(item.Events)], Preempted: item.Preempted})
		}
		cluster.send(leader.at, s.name, s.at(incarnation, func() {
			if answered {
				return
			}
			answered, s.asking = true, false
			for _, task := range s.core.Add(resp, sentAt, s.now()) {
				s.begin(task)
			}
			cluster.single()
		}))
	})
}

func (s *simDriver) acknowledge(entries []messages.Acknowledgement, epoch uint64, received func(verdicts []messages.AckVerdict)) {
	cluster, leader, incarnation, who := s.cluster, s.cluster.leader, s.life, s.who()
	if leader == nil {
		return
	}
	cluster.send(s.name, leader.at, func() {
		dispatcher := cluster.serving(leader)
		if dispatcher == nil {
			return
		}
		var verdicts []messages.AckVerdict
		last := int64(0)
		dispatcher.ObserveExecutor(who, cluster.clockValue(leader.at))
		for i := range entries {
			outcome := dispatcher.Acknowledge(who, &entries[i], cluster.clockValue(leader.at))
			verdicts = append(verdicts, outcome.Verdict)
			last = max(last, outcome.Index)
		}
		if epoch > 0 {
			dispatcher.ReportedAll(who, epoch, cluster.clockValue(leader.at))
		}
		cluster.whenDurable(leader, last, 100, func() {
			cluster.send(leader.at, s.name, s.at(incarnation, func() { received(verdicts) }))
		})
	})
}

func (s *simDriver) renew() {
	sentAt := s.now()
	s.renewed = sentAt
	if s.cluster.leader == nil {
		return
	}
	epoch := s.cluster.leader.epoch
	s.core.DropBefore(epoch)
	if entries := s.core.Renewals(sentAt); true {
		s.acknowledge(entries, epoch, func(verdicts []messages.AckVerdict) {
			s.halt(s.core.HandleRenewals(entries, verdicts, sentAt, dispatch.LockDuration(shareCancel)))
		})
	}
}

// tell repeats a batch until it is answered.
func (s *simDriver) tell(lane int, batch []messages.Acknowledgement) {
	if len(batch) == 0 || s.telling[lane] {
		return
	}
	s.telling[lane] = true
	incarnation := s.life
	s.cluster.world.After(clock.Milliseconds(120), s.at(incarnation, func() { s.telling[lane] = false }))
	s.acknowledge(batch, 0, func(verdicts []messages.AckVerdict) {
		for i, entry := range batch {
			if verdicts[i] != messages.AckRecorded {
				continue
			}
			switch entry.Kind {
			case messages.AckAccept:
				s.cluster.accepted[entry.Item] = string(entry.Output)
			case messages.AckReject:
				s.cluster.accepted[entry.Item] = "rejected"
			}
		}
		s.core.HandleVerdicts(batch, verdicts)
	})
}

// halt closes the connections of runs: each sets its item back.
func (s *simDriver) halt(tasks []*executor.Task) {
	for _, task := range tasks {
		s.release(task, messages.Acknowledgement{})
	}
}

func (s *simDriver) release(task *executor.Task, entry messages.Acknowledgement) {
	entry.Kind = messages.AckRelease
	entry.Preempted = task.Item.Yielding()
	task.Item.Requeue(task.Run)
	s.core.Done(task, entry)
}

// begin brings a task to a worker, which streams from where it is asked to.
func (s *simDriver) begin(task *executor.Task) {
	cluster, incarnation := s.cluster, s.life
	cluster.world.After(clock.Milliseconds(10*cluster.world.Random.Float64()), s.at(incarnation, func() {
		if cluster.frozen[s.name] || !task.MayRun(s.now()) {
			return
		}
		if acked, ended := cluster.endAcked[task.Item.Job.ID]; ended && cluster.world.Now.Sub(acked) > clock.Milliseconds(shareCancel) {
			cluster.test.Fatalf("%s reaches a worker %v after the end of its lot", task.Item.ID, cluster.world.Now.Sub(acked))
		}
		task.Started = true
		chance := cluster.world.Random.Float64()
		switch {
		case cluster.rejected[task.Item.ID]:
			s.core.Done(task, messages.Acknowledgement{Kind: messages.AckReject})
		case chance < 0.08:
			cluster.failures[task.Item.ID]++
			s.release(task, messages.Acknowledgement{Failed: true})
		default:
			s.stream(task, task.Item.LastID+1)
		}
	}))
}

func (s *simDriver) stream(task *executor.Task, next int64) {
	cluster, incarnation := s.cluster, s.life
	cluster.world.After(clock.Milliseconds(20+200*cluster.world.Random.Float64()), s.at(incarnation, func() {
		switch {
		case task.Stopped():
		case cluster.frozen[s.name]:
			// The events wait in the machine's buffers.
			cluster.thawed[s.name] = append(cluster.thawed[s.name], s.at(incarnation, func() { s.stream(task, next) }))
		case cluster.world.Random.Float64() < 0.03:
			s.release(task, messages.Acknowledgement{})
		case cluster.world.Random.Float64() < 0.02 && task.Item.Yield(task.Run):
			s.release(task, messages.Acknowledgement{})
		case next <= shareEvents:
			if task.Item.AppendEvents(task.Run, [][]byte{[]byte(fmt.Sprintf("%s.%d", task.Item.ID, next))}, next) {
				task.NoteProgress(s.now())
				s.stream(task, next+1)
			}
		case task.Item.Finish(task.Run):
			text := ""
			for _, piece := range task.Item.Events {
				text += string(piece) + "\n"
			}
			s.core.Done(task, messages.Acknowledgement{Kind: messages.AckAccept, Output: []byte(text)})
		}
	}))
}

// restart is a process that dies and starts anew: what it held is gone.
func (s *simDriver) restart() {
	s.life++
	s.core = executor.New()
	s.asking, s.telling = false, [2]bool{}
}
