package maquette

import (
	"fmt"
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/roster"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// workers drives the roster: workers beat at a foreman; what changed goes down the
// tree, and what was missed is pulled by digests.
type workers struct {
	fleet  *Fleet
	random *rand.Rand
	all    []pattern.Worker
	turned int
	number uint64
}

// placing is what a process keeps that places work.
type placing struct {
	bench *workbench.Workbench
	read  map[string]pattern.Digest
	// around is whom it tells, running how many requests of it are under way.
	around circle
}

// table is what a foreman keeps.
type table struct {
	roster *roster.Roster
	peers  map[string]*peer
	relays map[string]*delivery
}

// peer is what a foreman remembers of another one.
type peer struct {
	workers, processes pattern.Digest
	told               watch.Moment
}

func newWorkers(fleet *Fleet) *workers {
	made := &workers{fleet: fleet, random: rand.New(rand.NewSource(fleet.Plan.Seed + 17))}
	for number := 0; number < fleet.Plan.Workers; number++ {
		made.all = append(made.all, made.worker(number, 0))
	}
	return made
}

func (workers *workers) worker(number, life int) pattern.Worker {
	// A model's workers stand in all zones.
	zone := (number + number/workers.fleet.Plan.Models) % workers.fleet.Plan.Zones
	return pattern.Worker{ID: fmt.Sprintf("model-%02d-worker-%04d-%d", number%workers.fleet.Plan.Models, number, life),
		Backend: fmt.Sprintf("model-%02d", number%workers.fleet.Plan.Models), Address: fmt.Sprintf("10.%d.%d.%d:9000", 100+zone, number/250, number%250),
		Hall:     fmt.Sprintf("region-%d-zone-%d", zone*workers.fleet.Plan.Regions/workers.fleet.Plan.Zones, zone),
		Capacity: 16, Software: "1.0"}
}

// Name names it.
func (*workers) Name() string { return "roster and weights" }

func (*workers) placing(node *Node) *placing {
	own, _ := node.state[1].(*placing)
	return own
}

func (*workers) table(node *Node) *table {
	own, _ := node.state[1].(*table)
	return own
}

// Begin starts the roster of a process.
func (workers *workers) Begin(node *Node) any {
	heartbeat := watch.Milliseconds(workers.fleet.Plan.HeartbeatMs)
	if node.places() {
		own := &placing{bench: workbench.New(node.own, heartbeat), read: map[string]pattern.Digest{}}
		node.answerers[pattern.KindRosterPush] = reads(node, CoreRoster, func(push *pattern.RosterPush) tongs.Writable {
			own.bench.Merge(push.Workers, node.now())
			workers.fleet.members.touched(node, push.From)
			return taken()
		})
		node.after(almanac.StartPause, func() { workers.pullFirst(node, own) })
		return own
	}
	own := &table{roster: roster.New(heartbeat), peers: map[string]*peer{}, relays: map[string]*delivery{}}
	node.answerers[pattern.KindRosterPush] = reads(node, CoreRoster, func(push *pattern.RosterPush) tongs.Writable {
		workers.merge(node, own, push.Workers)
		workers.fleet.members.touched(node, push.From)
		return taken()
	})
	node.answerers[pattern.KindRosterPull] = reads(node, CoreRoster, func(question *pattern.RosterPull) tongs.Writable {
		return &pattern.RosterPush{From: bellows.Key(node.own), Workers: own.roster.Since(question.Since, node.now()), Table: own.roster.Digest(node.own.Life)}
	})
	workers.beginBeats(node, own)
	workers.beginRelays(node, own)
	return own
}

// Drop lets go of the roster, and of the gauge and index beside it.
func (workers *workers) Drop(node *Node) { node.state[1] = nil }

func (workers *workers) merge(node *Node, own *table, list []pattern.Worker) {
	for _, worker := range list {
		own.roster.Merge(worker, node.now())
	}
}

func (workers *workers) pullFirst(node *Node, own *placing) {
	seed := workers.fleet.seeds[node.random.Intn(len(workers.fleet.seeds))]
	workers.pull(node, own, seed, 0, func(reached bool) {
		if !reached {
			node.after(almanac.StartPause, func() { workers.pullFirst(node, own) })
		}
	})
}

func (workers *workers) pull(node *Node, own *placing, address string, since uint64, then func(bool)) {
	back := &pattern.RosterPush{}
	question := &pattern.RosterPull{From: bellows.Key(node.own), Since: since}
	node.ask(CoreRoster, address, pattern.KindRosterPull, question, back, almanac.CallTime, func(reached bool) {
		if reached {
			own.bench.Merge(back.Workers, node.now())
			own.read[address] = back.Table
		}
		then(reached)
	})
}

// heardForeman takes what a foreman's periodic answer says of workers.
func (workers *workers) heardForeman(node *Node, address string, answer *pattern.Shuffle) {
	own := workers.placing(node)
	if own == nil || answer.Workers.Life == 0 {
		return
	}
	node.step(CoreRoster, func() {
		read := own.read[address]
		since, ask := behind(&read, answer.Workers, own.bench.Table())
		own.read[address] = read
		if ask {
			workers.pull(node, own, address, since, func(bool) {})
		}
		if answer.Judging {
			own.bench.Judged(answer.Overdue, node.now())
		}
	})
}

// behind tells whether another's table may hold something beyond ours, and from which
// clock on to ask.
func behind(read *pattern.Digest, told, own pattern.Digest) (since uint64, ask bool) {
	if told.Sum == own.Sum {
		*read = told
		return 0, false
	}
	if read.Life != told.Life {
		return 0, true
	}
	return read.Clock, told.Clock > read.Clock
}

// addWorkers adds the word on workers to a foreman's answer.
func (workers *workers) addWorkers(node *Node, answer *pattern.Shuffle) {
	own := workers.table(node)
	node.step(CoreRoster, func() {
		answer.Workers = own.roster.Digest(node.own.Life)
		if answer.Judging = len(workers.fleet.members.view(node).Live(bellows.RoleForeman, node.now())) > 0; answer.Judging {
			answer.Overdue = own.roster.Overdue(node.now())
		}
	})
}

// note takes a worker's call at a foreman; done is told when it is acknowledged.
func (workers *workers) note(node *Node, worker pattern.Worker, done func()) {
	own := workers.table(node)
	changed := false
	node.step(CoreRoster, func() {
		changed = own.roster.Beat(worker, node.now())
		worker, _ = own.roster.Get(worker.ID)
	})
	if !changed {
		done()
		return
	}
	workers.spread(node, CoreRoster, &pattern.Relay{Workers: []pattern.Worker{worker}}, almanac.TreeTime, done)
}

// foreman gives the foreman that a worker calls: its zone's, or any that runs.
func (workers *workers) foreman(number int) *Node {
	live := workers.fleet.live(bellows.RoleForeman)
	for _, node := range live {
		if node.own.Hall == workers.all[number].Hall {
			return node
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[workers.random.Intn(len(live))]
}

// knows gives a worker as a process knows it.
func (workers *workers) knows(node *Node, id string) (pattern.Worker, bool) {
	if own := workers.placing(node); own != nil {
		return own.bench.Roster.Get(id)
	}
	if own := workers.table(node); own != nil {
		return own.roster.Get(id)
	}
	return pattern.Worker{}, false
}
