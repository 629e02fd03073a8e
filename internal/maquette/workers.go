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

// workers drives the roster as foremen and placing processes do: workers beat at a
// foreman, and each foreman tells every process it knows.
type workers struct {
	fleet  *Fleet
	random *rand.Rand
	all    []pattern.Worker
	turned int
}

// register of a foreman's workers, beside what it has told to whom.
type shelfOfWorkers struct {
	roster *roster.Roster
	beaten map[string]bool
	behind map[string]bool
	met    map[string]int64
}

func newWorkers(fleet *Fleet) *workers {
	made := &workers{fleet: fleet, random: rand.New(rand.NewSource(fleet.Plan.Seed + 17))}
	for number := 0; number < fleet.Plan.Workers; number++ {
		made.all = append(made.all, made.worker(number, 0))
	}
	return made
}

func (workers *workers) worker(number, life int) pattern.Worker {
	zone := number % workers.fleet.Plan.Zones
	return pattern.Worker{ID: fmt.Sprintf("model-%02d-worker-%04d-%d", number%workers.fleet.Plan.Models, number, life),
		Backend: fmt.Sprintf("model-%02d", number%workers.fleet.Plan.Models), Address: fmt.Sprintf("10.%d.%d.%d:9000", 100+zone, number/250, number%250),
		Hall:     fmt.Sprintf("region-%d-zone-%d", zone*workers.fleet.Plan.Regions/workers.fleet.Plan.Zones, zone),
		Capacity: 16, Software: "1.0"}
}

// Name names it.
func (*workers) Name() string { return "roster and weights" }

// bench gives the placing part of a process, shelf the foreman's part.
func (*workers) bench(node *Node) *workbench.Workbench {
	bench, _ := node.state[1].(*workbench.Workbench)
	return bench
}

func (*workers) shelf(node *Node) *shelfOfWorkers {
	shelf, _ := node.state[1].(*shelfOfWorkers)
	return shelf
}

// Begin starts the roster of a process.
func (workers *workers) Begin(node *Node) any {
	heartbeat := watch.Milliseconds(workers.fleet.Plan.HeartbeatMs)
	if node.places() {
		bench := workbench.New(node.own, heartbeat)
		node.answerers[pattern.KindRosterPush] = reads(node, CoreRoster, func(push *pattern.RosterPush) tongs.Writable {
			bench.Merge(push.Workers, node.now())
			workers.fleet.members.touched(node, push.From)
			return taken()
		})
		node.after(almanac.StartPause, func() { workers.pull(node, bench) })
		return bench
	}
	shelf := &shelfOfWorkers{roster: roster.New(heartbeat), beaten: map[string]bool{}, behind: map[string]bool{}, met: map[string]int64{}}
	node.answerers[pattern.KindRosterPush] = reads(node, CoreRoster, func(push *pattern.RosterPush) tongs.Writable {
		for _, worker := range push.Workers {
			shelf.roster.Merge(worker, node.now())
		}
		workers.fleet.members.touched(node, push.From)
		return taken()
	})
	node.answerers[pattern.KindRosterPull] = reads(node, CoreRoster, func(*pattern.RosterPull) tongs.Writable {
		return &pattern.RosterPush{From: bellows.Key(node.own), Workers: shelf.roster.All(node.now())}
	})
	node.every(almanac.RosterPeriod, func() { workers.tellRoster(node, shelf) })
	return shelf
}

// Drop lets go of the roster, and of the gauge and index beside it.
func (workers *workers) Drop(node *Node) { node.state[1] = nil }

func (workers *workers) pull(node *Node, bench *workbench.Workbench) {
	body, _ := (&pattern.RosterPull{From: bellows.Key(node.own)}).MarshalMsg(nil)
	seed := workers.fleet.seeds[node.random.Intn(len(workers.fleet.seeds))]
	node.post(seed, pattern.KindRosterPull, body, almanac.CallTime, func(answer []byte, failure error) {
		if failure != nil {
			node.after(almanac.StartPause, func() { workers.pull(node, bench) })
			return
		}
		node.step(CoreRoster, func() {
			push := &pattern.RosterPush{}
			if tongs.Read(answer, push) == nil {
				bench.Merge(push.Workers, node.now())
			}
		})
	})
}

// others is whom a foreman tells.
func (workers *workers) others(node *Node) []pattern.Entry {
	var found []pattern.Entry
	for _, entry := range workers.fleet.members.all(node) {
		if entry.AgeMs < 4*almanac.SilentAfter.Milliseconds() {
			found = append(found, entry)
		}
	}
	return found
}

// tellRoster is a foreman's periodic word.
func (workers *workers) tellRoster(node *Node, shelf *shelfOfWorkers) {
	others, now := workers.others(node), node.now()
	var all, lately []pattern.Worker
	var whole, part []pattern.Entry
	node.step(CoreRoster, func() {
		shelf.roster.Forget(now)
		all = shelf.roster.All(now)
		for _, worker := range all {
			if shelf.beaten[worker.ID] {
				lately = append(lately, worker)
			}
		}
		shelf.beaten = map[string]bool{}
		for _, entry := range others {
			key := bellows.Key(entry)
			if shelf.behind[key] || shelf.met[key] != entry.Life {
				whole = append(whole, entry)
				delete(shelf.behind, key)
				shelf.met[key] = entry.Life
			} else {
				part = append(part, entry)
			}
		}
	})
	missed := func(entry pattern.Entry, reached bool) {
		if !reached {
			shelf.behind[bellows.Key(entry)] = true
		}
	}
	own := bellows.Key(node.own)
	if len(whole) > 0 {
		node.spread(whole, CoreRoster, pattern.KindRosterPush, &pattern.RosterPush{From: own, Workers: all}, almanac.CallTime, missed)
	}
	node.spread(part, CoreRoster, pattern.KindRosterPush, &pattern.RosterPush{From: own, Workers: lately}, almanac.CallTime, missed)
}

// note takes a worker's call at a foreman; done is told when it is acknowledged.
func (workers *workers) note(node *Node, worker pattern.Worker, done func()) {
	shelf := workers.shelf(node)
	changed := false
	node.step(CoreRoster, func() {
		changed = shelf.roster.Merge(worker, node.now())
		shelf.beaten[worker.ID] = true
		worker, _ = shelf.roster.Get(worker.ID)
	})
	if !changed {
		done()
		return
	}
	others := workers.others(node)
	left, told := len(others), false
	tell := func() {
		if !told {
			told = true
			done()
		}
	}
	node.spread(others, CoreRoster, pattern.KindRosterPush, &pattern.RosterPush{From: bellows.Key(node.own), Workers: []pattern.Worker{worker}},
		almanac.PushTime, func(entry pattern.Entry, reached bool) {
			if !reached {
				shelf.behind[bellows.Key(entry)] = true
			}
			if left--; left == 0 {
				tell()
			}
		})
	node.after(almanac.PushTime, tell)
}

// foreman gives the foreman that a worker calls: its zone's, or any that runs.
func (workers *workers) foreman(number int) *Node {
	live := workers.fleet.live(bellows.RoleForeman)
	for _, node := range live {
		if node.zone == number%workers.fleet.Plan.Zones {
			return node
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[workers.random.Intn(len(live))]
}

// knows gives the phase of a worker as a process knows it.
func (workers *workers) knows(node *Node, id string) (pattern.Worker, bool) {
	if bench := workers.bench(node); bench != nil {
		return bench.Roster.Get(id)
	}
	if shelf := workers.shelf(node); shelf != nil {
		return shelf.roster.Get(id)
	}
	return pattern.Worker{}, false
}
