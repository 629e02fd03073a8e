package store

import (
	"fmt"
	"testing"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
	"lemonarch/internal/traffic/admission"
)

// simCluster is a fleet of stores with workers and admission schedulers. The leader's scheduler
// places items, and those of three gateways place live requests of priority 0, all on the same
// workers.
type simCluster struct {
	*simFleet
	schedulers map[string]*admission.Scheduler
	workerLoad map[string]int
	cut        map[string]bool
	running    map[*dispatch.Item]func()
	// results contains the events of each item when its output became durable.
	results map[string][]string
	// endCounts is the number of times that each live request ended; rejected counts the live
	// requests that were rejected, requested all of them.
	endCounts map[int]int
	rejected  int
	requested int
	counts    map[string]int
}

const (
	clusterSlots  = 6
	clusterEvents = 8
)

func newCluster(t *testing.T, seed int64) *simCluster {
	t.Helper()

	cluster := &simCluster{simFleet: newSimFleet(t, seed, 3), schedulers: map[string]*admission.Scheduler{}, workerLoad: map[string]int{},
		cut: map[string]bool{}, running: map[*dispatch.Item]func(){}, results: map[string][]string{}, endCounts: map[int]int{}, counts: map[string]int{}}
	for _, name := range []string{"e0", "e1", "e2"} {
		cluster.addScheduler(name, "gateway")
	}
	cluster.pumpSchedulers()
	return cluster
}

// addScheduler creates the admission scheduler of a node, as a starting process does.
func (s *simCluster) addScheduler(name, role string) {
	scheduler := admission.New(messages.NodeInfo{Name: name, Role: role, Zone: "h"}, 1_200_000_000_000)
	var list []messages.Worker
	for _, worker := range []string{"w0", "w1"} {
		list = append(list, messages.Worker{ID: worker, Backend: "s", Zone: "h", Capacity: clusterSlots, CallCount: 1})
	}
	scheduler.Merge(list, s.world.Now)
	scheduler.OnPressure(func(entries []messages.Pressure) {
		notice := &messages.PressureNotice{From: role + "/" + name, Entries: entries}
		for _, other := range simulation.SortedKeys(s.schedulers) {
			if other == name {
				continue
			}
			s.world.Send(name, other, func() {
				if s.schedulers[other] != nil {
					s.schedulers[other].YieldToPressure(notice, 1, s.world.Now)
				}
			})
		}
	})
	s.schedulers[name] = scheduler
}

func (s *simCluster) pumpSchedulers() {
	for _, name := range simulation.SortedKeys(s.schedulers) {
		s.schedulers[name].PumpWaiting(s.world.Now)
	}
	s.world.After(clock.Milliseconds(15), s.pumpSchedulers)
	// Gossip runs on every fourth pump: its period is short (60 ms) because the bursts are short too.
	if s.counts["pumps"]++; s.counts["pumps"]%4 == 0 {
		for _, name := range simulation.SortedKeys(s.schedulers) {
			packet := s.schedulers[name].MakeGossip(s.world.Now)
			for _, other := range simulation.SortedKeys(s.schedulers) {
				if other != name {
					s.schedulers[other].HandleGossip(packet, s.world.Now)
				}
			}
		}
	}
}

// request sends one live request of the highest priority. It is served, or rejected with the
// guarantee that it never runs.
func (s *simCluster) request() {
	s.requested++
	number := s.requested
	scheduler := s.schedulers[fmt.Sprint("e", number%3)]
	handleDecision := func(resp admission.Decision) {
		s.endCounts[number]++
		if resp.Verdict != admission.VerdictGranted {
			s.rejected++
			return
		}
		s.occupySlot(resp.Grant)
		s.world.After(clock.Milliseconds(40+40*s.world.Random.Float64()), func() { s.releaseSlot(resp.Grant, admission.ResultServed) })
	}
	resp, _ := scheduler.Admit(&admission.Request{Service: "s", Priority: 0, Setpoint: 200_000_000,
		QueueUntil: s.world.Now.Add(clock.Milliseconds(150))}, handleDecision, s.world.Now)
	if resp.Verdict != admission.VerdictQueued {
		handleDecision(resp)
	}
}

// occupySlot takes a slot of a worker and reports the worker's load with the first event.
// releaseSlot frees it.
func (s *simCluster) occupySlot(grant *admission.Grant) {
	s.workerLoad[grant.Worker.ID]++
	grant.FirstEvent(fmt.Sprintf("%d,0,%d", s.workerLoad[grant.Worker.ID], clusterSlots), s.world.Now)
}

func (s *simCluster) releaseSlot(grant *admission.Grant, result admission.Result) {
	s.workerLoad[grant.Worker.ID]--
	grant.End(result, s.world.Now)
}

// dispatch runs items of the current leader wherever its scheduler finds capacity.
func (s *simCluster) dispatch() {
	defer s.world.After(clock.Milliseconds(10), s.dispatch)
	leader := s.leader
	if leader == nil || !leader.ready || s.stores[leader.address].down {
		return
	}
	name := fmt.Sprint("holder", leader.epoch)
	if s.schedulers[name] == nil {
		// The leader is another process now: the workers cancel the runs of the previous one.
		for old := range s.schedulers {
			if old[0] == 'h' {
				delete(s.schedulers, old)
			}
		}
		s.running = map[*dispatch.Item]func(){}
		s.addScheduler(name, "store")
	}
	for _, job := range leader.jobs.Jobs() {
		for _, item := range job.Items {
			if item.State == dispatch.ItemAvailable {
				s.start(leader, name, item)
			}
		}
	}
}

func (s *simCluster) start(leader *simLeader, name string, item *dispatch.Item) {
	resp, _ := s.schedulers[name].Admit(&admission.Request{Service: "s", Bulk: true, Priority: 2}, nil, s.world.Now)
	if resp.Verdict != admission.VerdictGranted {
		return
	}
	run := item.StartRun()
	if run == 0 {
		resp.Grant.End(admission.ResultCanceled, s.world.Now)
		return
	}
	s.occupySlot(resp.Grant)
	ended := false
	requeue := func(result admission.Result) {
		if !ended {
			ended = true
			item.Requeue(run)
			s.releaseSlot(resp.Grant, result)
		}
	}
	if item.Preempted < 3 {
		resp.Grant.AllowPreemption(func() {
			if item.Yield(run) {
				s.counts["preempted"]++
				s.world.After(clock.Milliseconds(1), func() { requeue(admission.ResultCanceled) })
			}
		})
	}
	s.stream(leader, item, run, &ended, requeue, func() { s.releaseSlot(resp.Grant, admission.ResultServed) })
}

// stream makes the worker stream events from the start of the run on, and fail at random.
func (s *simCluster) stream(leader *simLeader, item *dispatch.Item, run int, ended *bool, requeue func(admission.Result), served func()) {
	next := item.LastID + 1
	var step func()
	step = func() {
		switch {
		case *ended:
		case s.leader != leader:
			// The leader's process has ended or is fenced: the worker cancels the run.
			requeue(admission.ResultCanceled)
		case s.world.Random.Float64() < 0.01:
			requeue(admission.ResultFailed)
		case next <= clusterEvents:
			item.AppendEvents(run, [][]byte{[]byte(fmt.Sprintf("%s.%d", item.ID, next))}, next)
			next++
			s.world.After(clock.Milliseconds(12), step)
		default:
			s.finish(leader, item, run)
			if !*ended {
				*ended = true
				served()
			}
		}
	}
	s.world.After(clock.Milliseconds(12), step)
}

func (s *simCluster) finish(leader *simLeader, item *dispatch.Item, run int) {
	if !item.Finish(run) {
		item.Requeue(run)
		return
	}
	job := item.Job
	position := s.nextPosition(leader, job)
	text := ""
	for _, piece := range item.Events {
		text += string(piece) + "\n"
	}
	leader.submit(messages.Record{Kind: messages.RecordOutput, Job: job.ID, Item: item.ID, Position: position, Body: []byte(text)})
}

// nextPosition returns the number of positions assigned so far, durable or pending.
func (s *simCluster) nextPosition(leader *simLeader, job *dispatch.Job) int {
	count := len(job.Listings)
	for _, record := range leader.records {
		if record.Index > leader.applied && record.Kind == messages.RecordOutput && record.Job == job.ID {
			count++
		}
	}
	return count
}
