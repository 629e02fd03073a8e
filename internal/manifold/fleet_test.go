package manifold_test

import (
	"fmt"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/manifold"
	"lemonarch/internal/model"
	"lemonarch/internal/pattern"
	"lemonarch/internal/roster"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

const beat = 1200 * 1_000_000

// node is one process: the cores of membership, workers and spreading, joined as the
// rims of the real processes join them.
type node struct {
	fleet   *fleet
	own     pattern.Entry
	view    *bellows.View
	roster  *roster.Roster
	config  int64
	down    bool
	reads   map[string]*reads
	relays  map[string]*manifold.Job
	pulling bool
	// messages and bytes sent, those to other halls apart.
	messages, bytes, far int
	taken                []int64
}

type reads struct {
	workers, processes pattern.Digest
	told               watch.Moment
}

// fleet is many nodes in one world.
type fleet struct {
	*model.World
	nodes  []*node
	named  map[string]*node
	number uint64
}

func newFleet(seed int64, halls, foremen, lockers, forges int) *fleet {
	one := &fleet{World: model.NewWorld(seed), named: map[string]*node{}}
	for hall := 0; hall < halls; hall++ {
		for role, count := range map[string]int{bellows.RoleForeman: foremen, bellows.RoleLocker: lockers, bellows.RoleForge: forges} {
			for place := 0; place < count; place++ {
				name := fmt.Sprintf("%d-%03d", hall, place)
				one.named[role+"/"+name] = &node{fleet: one, own: pattern.Entry{Name: name, Life: 1, Role: role, Hall: fmt.Sprint("h", hall), Address: role + "/" + name}}
			}
		}
	}
	for place, address := range model.Keys(one.named) {
		here := one.named[address]
		here.start(seed*1000 + int64(place))
		one.nodes = append(one.nodes, here)
		one.After(watch.Span(one.Random.Int63n(int64(almanac.ShufflePeriod))), here.period)
	}
	return one
}

func (here *node) start(seed int64) {
	here.view, here.roster = bellows.NewView(here.own, seed), roster.New(beat)
	here.reads, here.relays = map[string]*reads{}, map[string]*manifold.Job{}
	// The seeds are the first foremen of three halls.
	for hall := 0; hall < 3; hall++ {
		name := fmt.Sprintf("%d-000", hall)
		here.view.Heard([]pattern.Entry{{}, {Name: name, Life: 1, Role: bellows.RoleForeman, Hall: fmt.Sprint("h", hall), Address: "foreman/" + name}}, here.fleet.Now)
	}
}

func (here *node) count(to *node, message tongs.Writable) {
	const head = 17
	body, _ := message.MarshalMsg(nil)
	here.messages++
	here.bytes += head + len(body)
	if here.own.Hall != to.own.Hall {
		here.far += head + len(body)
	}
}

// call carries a question and its answer, or fails after the span.
func (here *node) call(address string, question tongs.Writable, span watch.Span, done func(answer tongs.Writable, failed bool)) {
	there, ended := here.fleet.named[address], false
	end := func(answer tongs.Writable, failed bool) {
		if !ended && !here.down {
			ended = true
			done(answer, failed)
		}
	}
	here.fleet.After(span, func() { end(nil, true) })
	if there == nil {
		return
	}
	here.count(there, question)
	here.fleet.Send(here.own.Address, address, func() {
		if there.down {
			return
		}
		there.answer(question, func(answer tongs.Writable) {
			there.count(here, answer)
			here.fleet.Send(address, here.own.Address, func() { end(answer, false) })
		})
	})
}

func (here *node) answer(question tongs.Writable, back func(tongs.Writable)) {
	now := here.fleet.Now
	switch one := question.(type) {
	case *pattern.Shuffle:
		here.hear(one.Entries)
		if here.own.Role != bellows.RoleForeman {
			back(&pattern.Shuffle{Entries: here.view.Offer(now)})
			return
		}
		answer := here.view.Answer(one, now)
		answer.Workers, answer.Judging, answer.Overdue = here.roster.Digest(here.own.Life), true, here.roster.Overdue(now)
		back(answer)
	case *pattern.ForemanBeat:
		// What is told is chosen before it counts as told.
		word := here.word(bellows.Key(one.From))
		here.heardBeat(one, now)
		back(word)
	case *pattern.RosterPull:
		back(&pattern.RosterPush{Workers: here.roster.Since(one.Since, now), Table: here.roster.Digest(here.own.Life)})
	case *pattern.DirectoryPull:
		back(&pattern.Shuffle{Entries: here.view.Since(one.Since, now), Table: here.view.Digest()})
	case *pattern.RosterPush:
		here.merge(one.Workers)
		back(&pattern.Nothing{Taken: true})
	case *pattern.ConfigPull:
		back(&pattern.ConfigPush{Generation: here.config, Body: body})
	case *pattern.ConfigPush:
		for _, send := range manifold.Split(one.Pass, almanac.BodyFan) {
			here.passOn(one, send)
		}
		here.take(one.Generation)
		back(&pattern.Nothing{Taken: true})
	case *pattern.Relay:
		here.merge(one.Workers)
		here.take(one.Generation)
		job, sends := manifold.Hall(here.own, here.view.All("", now), one.Expect, fan(one), now)
		here.relays[fmt.Sprint(one.From, one.Number)] = job
		here.drive(one, job, sends, now)
		back(&pattern.Nothing{Taken: true})
	case *pattern.RelayWait:
		here.await(here.relays[fmt.Sprint(one.From, one.Number)], now, back)
	}
}

func (here *node) await(job *manifold.Job, begun watch.Moment, back func(tongs.Writable)) {
	switch {
	case job == nil:
		back(&pattern.RelayDone{})
	case job.Done() || here.fleet.Now.Since(begun) >= almanac.HallTime:
		back(&pattern.RelayDone{Known: true, Missing: job.Missing()})
	default:
		here.fleet.After(2_000_000, func() { here.await(job, begun, back) })
	}
}

var body = make([]byte, 4000)

func fan(word *pattern.Relay) int {
	if word.Generation > 0 {
		return 2 * almanac.BodyFan
	}
	return 0
}

func (here *node) passOn(push *pattern.ConfigPush, send manifold.Send) {
	part := &pattern.ConfigPush{Generation: push.Generation, Body: push.Body, Pass: send.Pass}
	here.call(send.Address, part, almanac.CallTime, func(_ tongs.Writable, failed bool) {
		if failed && len(send.Pass) > 0 {
			here.passOn(push, manifold.Send{Address: send.Pass[0], Pass: send.Pass[1:]})
		}
	})
}

func (here *node) take(generation int64) {
	if generation > here.config {
		here.config = generation
		here.taken = append(here.taken, generation)
		here.view.SetGeneration(generation)
	}
}

func (here *node) merge(workers []pattern.Worker) {
	for _, worker := range workers {
		here.roster.Merge(worker, here.fleet.Now)
	}
}
