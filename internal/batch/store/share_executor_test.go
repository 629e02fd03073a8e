package store

import (
	"fmt"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/executor"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// simExecutor is an executor node in a shareCluster. It uses the real executor.Runner with
// simulated messages and workers.
type simExecutor struct {
	cluster       *shareCluster
	name          string
	runner        *executor.Runner
	incarnation   int64
	acquiring     bool
	acknowledging [2]bool
	renewedAt     clock.Instant
	renewedEpoch  uint64
}

func (s *simExecutor) now() clock.Instant { return s.cluster.clockValue(s.name) }

func (s *simExecutor) loop() {
	cluster := s.cluster
	defer cluster.world.After(clock.Milliseconds(20+5*cluster.world.Random.Float64()), s.loop)
	if cluster.frozen[s.name] {
		return
	}
	s.stopTasks(s.runner.StopExpired(s.now()))
	if all, _ := s.runner.Count(); all < 4 && !s.acquiring {
		s.acquire()
	}
	due := s.now().Sub(s.renewedAt) >= dispatch.LockDuration(shareCancelMs)/4
	if cluster.leader != nil && (due || cluster.leader.epoch > s.renewedEpoch) {
		s.renewedEpoch = cluster.leader.epoch
		s.renew()
	}
	s.sendAcknowledgements(0, s.runner.Results())
	s.sendAcknowledgements(1, s.runner.Releases())
}

// ifSameIncarnation wraps a function so that it does nothing once the process has restarted.
func (s *simExecutor) ifSameIncarnation(incarnation int64, function func()) func() {
	return func() {
		if s.incarnation == incarnation {
			function()
		}
	}
}

func (s *simExecutor) identity() dispatch.Executor {
	return dispatch.Executor{Name: s.name, Incarnation: s.incarnation, Address: s.name}
}

func (s *simExecutor) acquire() {
	cluster, leader, incarnation := s.cluster, s.cluster.leader, s.incarnation
	if leader == nil {
		return
	}
	s.acquiring = true
	sentAt, requester := s.now(), s.identity()
	finished := false
	cluster.world.After(clock.Milliseconds(200), s.ifSameIncarnation(incarnation, func() {
		// The request timed out: a later response is dropped.
		if !finished {
			finished, s.acquiring = true, false
		}
	}))
	cluster.send(s.name, leader.address, func() {
		dispatcher := cluster.serving(leader)
		if dispatcher == nil {
			return
		}
		resp := &messages.AcquireResponse{LockMs: clock.ToMilliseconds(dispatcher.Lock)}
		options := &dispatch.AcquireOptions{Executor: requester, Capacity: map[string]int{"s": 2}, Terms: cluster.terms,
			Service: func(*dispatch.Item) string { return "s" }}
		for _, acquisition := range dispatcher.Acquire(options, cluster.clockValue(leader.address)) {
			item := acquisition.Item
			resp.Items = append(resp.Items, messages.AcquiredItem{Number: acquisition.Number, Job: item.Job.ID, Item: item.JobItem, LastID: item.LastID,
				Events: item.Events[:len(item.Events):len(item.Events)], Preempted: item.Preempted})
		}
		cluster.send(leader.address, s.name, s.ifSameIncarnation(incarnation, func() {
			if finished {
				return
			}
			finished, s.acquiring = true, false
			for _, task := range s.runner.Add(resp, sentAt, s.now()) {
				s.startTask(task)
			}
			cluster.checkSingleAcquisition()
		}))
	})
}

func (s *simExecutor) acknowledge(entries []messages.Acknowledgement, epoch uint64, handleVerdicts func(verdicts []messages.AckVerdict)) {
	cluster, leader, incarnation, sender := s.cluster, s.cluster.leader, s.incarnation, s.identity()
	if leader == nil {
		return
	}
	cluster.send(s.name, leader.address, func() {
		dispatcher := cluster.serving(leader)
		if dispatcher == nil {
			return
		}
		var verdicts []messages.AckVerdict
		last := int64(0)
		dispatcher.ObserveExecutor(sender, cluster.clockValue(leader.address))
		for i := range entries {
			outcome := dispatcher.Acknowledge(sender, &entries[i], cluster.clockValue(leader.address))
			verdicts = append(verdicts, outcome.Verdict)
			last = max(last, outcome.Index)
		}
		if epoch > 0 {
			dispatcher.MarkFullyReported(sender, epoch, cluster.clockValue(leader.address))
		}
		cluster.whenDurable(leader, last, 100, func() {
			cluster.send(leader.address, s.name, s.ifSameIncarnation(incarnation, func() { handleVerdicts(verdicts) }))
		})
	})
}

func (s *simExecutor) renew() {
	sentAt := s.now()
	s.renewedAt = sentAt
	if s.cluster.leader == nil {
		return
	}
	epoch := s.cluster.leader.epoch
	s.runner.RejectEpochsBefore(epoch)
	if entries := s.runner.Renewals(sentAt); true {
		s.acknowledge(entries, epoch, func(verdicts []messages.AckVerdict) {
			s.stopTasks(s.runner.HandleRenewals(entries, verdicts, sentAt, dispatch.LockDuration(shareCancelMs)))
		})
	}
}

// sendAcknowledgements sends a batch, and again until it gets a response. Lane 0 is for results,
// lane 1 for releases; each has at most one batch in flight.
func (s *simExecutor) sendAcknowledgements(lane int, batch []messages.Acknowledgement) {
	if len(batch) == 0 || s.acknowledging[lane] {
		return
	}
	s.acknowledging[lane] = true
	incarnation := s.incarnation
	s.cluster.world.After(clock.Milliseconds(120), s.ifSameIncarnation(incarnation, func() { s.acknowledging[lane] = false }))
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
		s.runner.HandleVerdicts(batch, verdicts)
	})
}

// stopTasks ends runs as closing their connections does: each run requeues its item.
func (s *simExecutor) stopTasks(tasks []*executor.Task) {
	for _, task := range tasks {
		s.release(task, messages.Acknowledgement{})
	}
}

func (s *simExecutor) release(task *executor.Task, entry messages.Acknowledgement) {
	entry.Kind = messages.AckRelease
	entry.Preempted = task.Item.Yielding()
	task.Item.Requeue(task.Run)
	s.runner.Done(task, entry)
}

// startTask sends a task to a worker, which streams from the requested event on.
func (s *simExecutor) startTask(task *executor.Task) {
	cluster, incarnation := s.cluster, s.incarnation
	cluster.world.After(clock.Milliseconds(10*cluster.world.Random.Float64()), s.ifSameIncarnation(incarnation, func() {
		if cluster.frozen[s.name] || !task.MayRun(s.now()) {
			return
		}
		if acked, ended := cluster.endAcked[task.Item.Job.ID]; ended && cluster.world.Now.Sub(acked) > clock.Milliseconds(shareCancelMs) {
			cluster.t.Fatalf("%s reached a worker %v after the end of its job", task.Item.ID, cluster.world.Now.Sub(acked))
		}
		task.Started = true
		chance := cluster.world.Random.Float64()
		switch {
		case cluster.rejected[task.Item.ID]:
			s.runner.Done(task, messages.Acknowledgement{Kind: messages.AckReject})
		case chance < 0.08:
			cluster.failures[task.Item.ID]++
			s.release(task, messages.Acknowledgement{Failed: true})
		default:
			s.stream(task, task.Item.LastID+1)
		}
	}))
}

func (s *simExecutor) stream(task *executor.Task, next int64) {
	cluster, incarnation := s.cluster, s.incarnation
	cluster.world.After(clock.Milliseconds(20+200*cluster.world.Random.Float64()), s.ifSameIncarnation(incarnation, func() {
		switch {
		case task.Stopped():
		case cluster.frozen[s.name]:
			// The events wait in the buffers of the frozen machine.
			cluster.deferred[s.name] = append(cluster.deferred[s.name], s.ifSameIncarnation(incarnation, func() { s.stream(task, next) }))
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
			for _, event := range task.Item.Events {
				text += string(event) + "\n"
			}
			s.runner.Done(task, messages.Acknowledgement{Kind: messages.AckAccept, Output: []byte(text)})
		}
	}))
}

// restart makes the process crash and start again, which loses its acquisitions.
func (s *simExecutor) restart() {
	s.incarnation++
	s.runner = executor.New()
	s.acquiring, s.acknowledging = false, [2]bool{}
}
