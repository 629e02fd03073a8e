package store

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/executor"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/linearize"
	"lemonarch/internal/tooling/simulation"
)

const (
	shareCancelMs = 3000
	shareEvents   = 6
	shareAttempts = 3
	shareRetainMs = 25_000
)

// shareCluster is a fleet of stores whose leader dispatches items to executors. It uses the real
// dispatch.Dispatcher and executor.Runner. Every clock has an offset and a rate of its own.
type shareCluster struct {
	*simFleet
	executors   map[string]*simExecutor
	dispatchers map[*simLeader]*dispatch.Dispatcher
	ending      map[*simLeader]map[string]bool
	// leaseEnded contains the leaders whose lease has ended. No other store takes over before.
	leaseEnded map[*simLeader]bool
	frozen     map[string]bool
	deferred   map[string][]func()
	offset     map[string]float64
	rate       map[string]float64
	// The following maps record what executors and clients observed, and some events.
	accepted     map[string]string
	failures     map[string]int
	rejected     map[string]bool
	sentAt       map[string]clock.Instant
	endAcked     map[string]clock.Instant
	endRequested map[string]bool
	counts       map[string]int64
	// calls records the clients' calls. Clients draw from a random source of their own.
	calls      callRecorder
	callRandom *rand.Rand
}

func newShareCluster(t *testing.T, seed int64) *shareCluster {
	t.Helper()

	cluster := &shareCluster{simFleet: newSimFleet(t, seed, 4), executors: map[string]*simExecutor{}, dispatchers: map[*simLeader]*dispatch.Dispatcher{},
		ending: map[*simLeader]map[string]bool{}, leaseEnded: map[*simLeader]bool{}, frozen: map[string]bool{}, deferred: map[string][]func(){},
		offset: map[string]float64{}, rate: map[string]float64{}, accepted: map[string]string{}, failures: map[string]int{},
		rejected: map[string]bool{}, sentAt: map[string]clock.Instant{}, endAcked: map[string]clock.Instant{}, endRequested: map[string]bool{}, counts: map[string]int64{}}
	cluster.callRandom = rand.New(rand.NewSource(seed))
	for _, name := range []string{"s0", "s1", "s2", "s3", "d4", "d5"} {
		cluster.offset[name] = 1e9 * (1 + 50*cluster.world.Random.Float64())
		// Clocks run up to 2 % too fast or too slow.
		cluster.rate[name] = 0.98 + 0.04*cluster.world.Random.Float64()
		cluster.executors[name] = &simExecutor{cluster: cluster, name: name, runner: executor.New(), incarnation: 1}
		cluster.executors[name].loop()
	}
	return cluster
}

// clockValue returns the time of a machine's monotonic clock.
func (s *shareCluster) clockValue(name string) clock.Instant {
	return clock.Instant(s.offset[name] + s.rate[name]*float64(s.world.Now))
}

// send delivers a message. A frozen machine processes it when it is thawed.
func (s *shareCluster) send(from, to string, function func()) {
	s.world.Send(from, to, func() {
		if s.frozen[to] {
			s.deferred[to] = append(s.deferred[to], function)
			return
		}
		function()
	})
}

// freeze makes a machine stop processing messages until thaw, which delivers those that arrived meanwhile.
func (s *shareCluster) freeze(name string) { s.frozen[name] = true }

func (s *shareCluster) thaw(name string) {
	s.frozen[name] = false
	pending := s.deferred[name]
	s.deferred[name] = nil
	for _, function := range pending {
		function()
	}
}

// serving returns the dispatcher of a leader that may act, or nil if it may not.
func (s *shareCluster) serving(leader *simLeader) *dispatch.Dispatcher {
	if leader == nil || leader != s.leader || !leader.ready || s.leaseEnded[leader] || s.stores[leader.address].down || s.frozen[leader.address] {
		return nil
	}
	dispatcher := s.dispatchers[leader]
	if dispatcher == nil {
		dispatcher = dispatch.NewDispatcher(leader.jobs, leader.epoch, leader.firstIndex, dispatch.LockDuration(shareCancelMs), s.clockValue(leader.address))
		dispatcher.Append = leader.submit
		ending := map[string]bool{}
		dispatcher.Ending = func(job *dispatch.Job) bool { return ending[job.ID] }
		dispatcher.Attempts = func(*dispatch.Item) int { return shareAttempts }
		s.dispatchers[leader], s.ending[leader] = dispatcher, ending
	}
	return dispatcher
}

// terms makes jobs expire once they are older than retain-s. All machines share the wall clock.
func (s *shareCluster) terms(job *dispatch.Job) dispatch.JobTerms {
	age := clock.ToMilliseconds(s.world.Now.Sub(s.sentAt[job.ID]))
	return dispatch.JobTerms{Due: int64(s.sentAt[job.ID]), Overdue: age > 8000, Expired: age > shareRetainMs}
}

// reconcileAll performs the leader's periodic maintenance.
func (s *shareCluster) reconcileAll() {
	defer s.world.After(clock.Milliseconds(50), s.reconcileAll)
	if dispatcher := s.serving(s.leader); dispatcher != nil {
		now := s.clockValue(s.leader.address)
		dispatcher.ExpireLocks(now)
		dispatcher.AbandonExpired(s.terms, now)
		dispatcher.RecordAcquisitionsKnown(now)
		// Count the epochs in which all executors were accounted for before one lock duration had passed.
		if now < dispatcher.StartedAt().Add(dispatcher.Lock) && !dispatcher.Uncertain(now) && s.counts[fmt.Sprint("sure", s.leader.epoch)] == 0 {
			s.counts[fmt.Sprint("sure", s.leader.epoch)] = 1
			s.counts["early"]++
		}
	}
	s.checkSingleAcquisition()
}

// checkSingleAcquisition checks that no two executors have a valid acquisition of the same item.
func (s *shareCluster) checkSingleAcquisition() {
	owners := map[string]string{}
	for _, name := range simulation.SortedKeys(s.executors) {
		for _, task := range s.executors[name].runner.All() {
			if !task.MayRun(s.clockValue(name)) {
				continue
			}
			if other, twice := owners[task.Item.ID]; twice {
				s.t.Fatalf("%s and %s both have acquired %s (%x) at %d", other, name, task.Item.ID, task.Number, s.world.Now)
			}
			owners[task.Item.ID] = name
		}
	}
}

// submitJob submits a job. Workers reject one item of every fourth job.
func (s *shareCluster) submitJob(items int) {
	leader := s.leader
	if s.serving(leader) == nil {
		return
	}
	s.jobNumber++
	id := fmt.Sprint("job", s.jobNumber)
	body := &messages.JobBody{Path: "/p/"}
	for i := 0; i < items; i++ {
		name := fmt.Sprintf("%s-%d", id, i)
		if i == 0 && s.jobNumber%4 == 0 {
			s.rejected[name] = true
		}
		body.Items = append(body.Items, messages.JobItem{ID: name, Tokens: 10, Headers: map[string]string{"Lemonarch-Prompt-Prefix": fmt.Sprintf("%d:9,%s:1", s.jobNumber%3, name)}})
	}
	encoded, _ := body.MarshalMsg(nil)
	s.sentAt[id] = s.world.Now
	acknowledged := s.recordSubmission(id)
	index := leader.submit(messages.Record{Kind: messages.RecordJob, Job: id, Body: encoded})
	s.whenDurable(leader, index, 100, acknowledged)
}

// endJob ends a job as the real leader does: after the decision no item is acquired, executors
// are notified, and the end is acknowledged once it is durable.
func (s *shareCluster) endJob(id string) {
	leader := s.leader
	dispatcher := s.serving(leader)
	if dispatcher == nil || leader.jobs.Job(id) == nil || s.endRequested[id] {
		return
	}
	s.endRequested[id] = true
	start := s.world.Now
	s.ending[leader][id] = true
	var names []string
	for _, executor := range dispatcher.StopJob(leader.jobs.Job(id)) {
		names = append(names, executor.Name)
	}
	for _, name := range names {
		s.send(leader.address, name, func() { s.executors[name].stopTasks(s.executors[name].runner.StopJob(id)) })
	}
	index := leader.submit(messages.Record{Kind: messages.RecordJobEnd, Job: id})
	s.whenDurable(leader, index, 100, func() {
		if _, known := s.endAcked[id]; !known {
			s.endAcked[id] = s.world.Now
			s.recordCall(linearize.JobCall{Kind: linearize.JobEnd, Job: id}, linearize.JobReply{Outcome: linearize.JobDone}, start)
		}
	})
}

// whenDurable calls a function once a record is durable, if the leader still serves by then.
func (s *shareCluster) whenDurable(leader *simLeader, index int64, attempts int, function func()) {
	switch {
	case s.serving(leader) == nil || attempts == 0:
	case index == 0 || leader.replicator.CommitIndex() >= index:
		function()
	default:
		s.world.After(clock.Milliseconds(5), func() { s.whenDurable(leader, index, attempts-1, function) })
	}
}
