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
	shareCancel = 3000
	shareEvents = 6
	shareTries  = 3
	shareRetain = 25_000
)

// shareCluster is a fleet of stores whose leader dispatches items to executors, on the
// same cores as the real one. Every clock has an offset and a rate of its own.
type shareCluster struct {
	*simFleet
	drivers     map[string]*simDriver
	dispatchers map[*simHolder]*dispatch.Dispatcher
	ending      map[*simHolder]map[string]bool
	// over says that a leader's hold has ended; no other is taken before.
	over   map[*simHolder]bool
	frozen map[string]bool
	thawed map[string][]func()
	offset map[string]float64
	rate   map[string]float64
	// What the outside saw.
	accepted map[string]string
	failures map[string]int
	rejected map[string]bool
	sentAt   map[string]clock.Instant
	endAcked map[string]clock.Instant
	endAsked map[string]bool
	seen     map[string]int64
	// callers are the clients; what they draw is their own.
	callers    callers
	callRandom *rand.Rand
}

func newShareCluster(t *testing.T, seed int64) *shareCluster {
	cluster := &shareCluster{simFleet: newSimFleet(t, seed, 4), drivers: map[string]*simDriver{}, dispatchers: map[*simHolder]*dispatch.Dispatcher{},
		ending: map[*simHolder]map[string]bool{}, over: map[*simHolder]bool{}, frozen: map[string]bool{}, thawed: map[string][]func(){},
		offset: map[string]float64{}, rate: map[string]float64{}, accepted: map[string]string{}, failures: map[string]int{},
		rejected: map[string]bool{}, sentAt: map[string]clock.Instant{}, endAcked: map[string]clock.Instant{}, endAsked: map[string]bool{}, seen: map[string]int64{}}
	cluster.callRandom = rand.New(rand.NewSource(seed))
	for _, name := range []string{"s0", "s1", "s2", "s3", "d4", "d5"} {
		cluster.offset[name] = 1e9 * (1 + 50*cluster.world.Random.Float64())
		// Clocks run up to 2 % too fast or too slow.
		cluster.rate[name] = 0.98 + 0.04*cluster.world.Random.Float64()
		cluster.drivers[name] = &simDriver{cluster: cluster, name: name, core: executor.New(), life: 1}
		cluster.drivers[name].loop()
	}
	return cluster
}

// version is the steady clock of a machine.
func (s *shareCluster) clockValue(name string) clock.Instant {
	return clock.Instant(s.offset[name] + s.rate[name]*float64(s.world.Now))
}

// send carries a message; a frozen machine reads it when it is thawed.
func (s *shareCluster) send(from, to string, function func()) {
	s.world.Send(from, to, func() {
		if s.frozen[to] {
			s.thawed[to] = append(s.thawed[to], function)
			return
		}
		function()
	})
}

func (s *shareCluster) freeze(name string) { s.frozen[name] = true }

func (s *shareCluster) thaw(name string) {
	s.frozen[name] = false
	waited := s.thawed[name]
	s.thawed[name] = nil
	for _, function := range waited {
		function()
	}
}

// serving gives the dispatcher of a leader that may act, or nil.
func (s *shareCluster) serving(holder *simHolder) *dispatch.Dispatcher {
	if holder == nil || holder != s.holder || !holder.ready || s.over[holder] || s.stores[holder.at].down || s.frozen[holder.at] {
		return nil
	}
	dispatcher := s.dispatchers[holder]
	if dispatcher == nil {
		dispatcher = dispatch.NewDispatcher(holder.book, holder.epoch, holder.first, dispatch.LockDuration(shareCancel), s.clockValue(holder.at))
		dispatcher.Append = holder.submit
		ending := map[string]bool{}
		dispatcher.Ending = func(job *dispatch.Job) bool { return ending[job.ID] }
		dispatcher.Attempts = func(*dispatch.Item) int { return shareTries }
		s.dispatchers[holder], s.ending[holder] = dispatcher, ending
	}
	return dispatcher
}

// terms gives jobs up once they are older than retain-s; the wall clock is shared.
func (s *shareCluster) terms(job *dispatch.Job) dispatch.JobTerms {
	age := clock.ToMilliseconds(s.world.Now.Sub(s.sentAt[job.ID]))
	return dispatch.JobTerms{Due: int64(s.sentAt[job.ID]), Overdue: age > 8000, Expired: age > shareRetain}
}

// tend is the leader's upkeep.
func (s *shareCluster) tend() {
	defer s.world.After(clock.Milliseconds(50), s.tend)
	if dispatcher := s.serving(s.holder); dispatcher != nil {
		now := s.clockValue(s.holder.at)
		dispatcher.ExpireLocks(now)
		dispatcher.AbandonExpired(s.terms, now)
		dispatcher.RecordAcquisitionsKnown(now)
		if now < dispatcher.StartedAt().Add(dispatcher.Lock) && !dispatcher.Uncertain(now) && s.seen[fmt.Sprint("sure", s.holder.epoch)] == 0 {
			s.seen[fmt.Sprint("sure", s.holder.epoch)] = 1
			s.seen["early"]++
		}
	}
	s.single()
}

// single checks that no two executors believe that they hold one item.
func (s *shareCluster) single() {
	held := map[string]string{}
	for _, name := range simulation.Keys(s.drivers) {
		for _, task := range s.drivers[name].core.All() {
			if !task.MayRun(s.clockValue(name)) {
				continue
			}
			if other, twice := held[task.Item.ID]; twice {
				s.test.Fatalf("%s and %s both hold %s (%x) at %d", other, name, task.Item.ID, task.Number, s.world.Now)
			}
			held[task.Item.ID] = name
		}
	}
}

// job submits  a job; some of its items no worker can do.
func (s *shareCluster) lot(items int) {
	holder := s.holder
	if s.serving(holder) == nil {
		return
	}
	s.number++
	id := fmt.Sprint("job", s.number)
	body := &messages.JobBody{Path: "/p/"}
	for i := 0; i < items; i++ {
		name := fmt.Sprintf("%s-%d", id, i)
		if i == 0 && s.number%4 == 0 {
			s.rejected[name] = true
		}
		body.Items = append(body.Items, messages.JobItem{ID: name, Tokens: 10, Headers: map[string]string{"Lemonarch-Prompt-Prefix": fmt.Sprintf("%d:9,%s:1", s.number%3, name)}})
	}
	packed, _ := body.MarshalMsg(nil)
	s.sentAt[id] = s.world.Now
	announcement := s.handedIn(id)
	index := holder.submit(messages.Record{Kind: messages.RecordJob, Job: id, Body: packed})
	s.whenDurable(holder, index, 100, announcement)
}

// endJob ends a job as the real leader does: nothing is acquired from the decision
// on, executors are told, and the end is acknowledged once it is durable.
func (s *shareCluster) endLot(id string) {
	holder := s.holder
	dispatcher := s.serving(holder)
	if dispatcher == nil || holder.book.Job(id) == nil || s.endAsked[id] {
		return
	}
	s.endAsked[id] = true
	start := s.world.Now
	s.ending[holder][id] = true
	var names []string
	for _, executor := range dispatcher.StopJob(holder.book.Job(id)) {
		names = append(names, executor.Name)
	}
	for _, name := range names {
		s.send(holder.at, name, func() { s.drivers[name].halt(s.drivers[name].core.StopJob(id)) })
	}
	index := holder.submit(messages.Record{Kind: messages.RecordJobEnd, Job: id})
	s.whenDurable(holder, index, 100, func() {
		if _, known := s.endAcked[id]; !known {
			s.endAcked[id] = s.world.Now
			s.answered(linearize.LotCall{Kind: linearize.LotEnd, Lot: id}, linearize.LotReply{Outcome: linearize.LotDone}, start)
		}
	})
}

// whenDurable goes on once a record is durable and the leader still serves.
func (s *shareCluster) whenDurable(holder *simHolder, index int64, tries int, function func()) {
	switch {
	case s.serving(holder) == nil || tries == 0:
	case index == 0 || holder.press.CommitIndex() >= index:
		function()
	default:
		s.world.After(clock.Milliseconds(5), func() { s.whenDurable(holder, index, tries-1, function) })
	}
}
