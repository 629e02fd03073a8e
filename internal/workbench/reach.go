package workbench

import (
	"hash/fnv"
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/plumbline"
	"lemonarch/internal/roster"
	"lemonarch/internal/watch"
)

// A node of a large fleet sees too few requests to know every worker well, and a pipe
// to each would cost the workers more connections than they take. So what has no
// warm prefix goes to a small stable subset, the own hall's first; a long prefix goes
// wherever it is at home or was seen; and whoever finds no room there asks all.

// scratch are lists that are filled anew by each placement.
type scratch struct {
	workers    []pattern.Worker
	candidates []plumbline.Candidate
	reach      []pattern.Worker
}

// subset is the stable part of a service's workers for this node, found anew each
// period from those in good standing.
type subset struct {
	at      watch.Moment
	workers []pattern.Worker
}

// reach gives the workers that are weighed for an ask, and whether there are more.
// The lock is held.
func (bench *Workbench) reach(ask *Ask, all []pattern.Worker, now watch.Moment) (some []pattern.Worker, more bool) {
	if ask.Bulk || len(all) <= almanac.ReachWhole {
		// Items are placed by few processes, each of which needs the room of all.
		return all, false
	}
	some = bench.scratch.reach[:0]
	for _, worker := range bench.subset(ask.Service, all, now) {
		// A full one is no reason to wait while others are free elsewhere.
		if bench.Gauge.Of(worker.ID).Running(now) < worker.Capacity && !excluded(ask, worker.ID) {
			some = append(some, worker)
		}
	}
	if ask.Affine && ask.Prompt.Shared() >= almanac.GossipPrefixLeast {
		some = bench.atHome(ask, all, some)
	}
	bench.scratch.reach = some
	return some, true
}

// subset draws the node's workers by rendezvous: who comes or goes changes nobody
// else's, and all workers are drawn by about as many nodes.
func (bench *Workbench) subset(service string, all []pattern.Worker, now watch.Moment) []pattern.Worker {
	kept := bench.subsets[service]
	if kept.workers != nil && now.Since(kept.at) < almanac.GossipPeriod {
		return kept.workers
	}
	type ranked struct {
		worker pattern.Worker
		near   bool
		draw   uint64
	}
	var good []ranked
	listening := bench.listening > 0 && now.Since(bench.listening) < almanac.SilentAfter
	for _, worker := range all {
		if bench.Roster.Standing(worker.ID, now, listening) != roster.StandingGood || bench.Gauge.Of(worker.ID).Suspect(now) {
			continue
		}
		good = append(good, ranked{worker, worker.Hall == bench.own.Hall, drawOf(bench.own, worker.ID)})
	}
	sort.Slice(good, func(left, right int) bool {
		if good[left].near != good[right].near {
			return good[left].near
		}
		return good[left].draw > good[right].draw
	})
	fresh := subset{at: now}
	for _, one := range good[:min(len(good), almanac.ReachSubset)] {
		fresh.workers = append(fresh.workers, one.worker)
	}
	if bench.subsets == nil {
		bench.subsets = map[string]subset{}
	}
	bench.subsets[service] = fresh
	return fresh.workers
}

// drawOf is a node's draw for a worker; it weighs those with the highest.
func drawOf(node pattern.Entry, worker string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(worker))
	sum.Write([]byte(node.Role))
	sum.Write([]byte{'/'})
	sum.Write([]byte(node.Name))
	return plumbline.Mix(sum.Sum64())
}

// DrawnBy gives those of some nodes of a worker's hall that weigh it by their draw,
// and whether nodes weigh a part of the workers at all.
func (bench *Workbench) DrawnBy(worker string, nodes []pattern.Entry) (drawn []pattern.Entry, part bool) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	known, found := bench.Roster.Get(worker)
	if !found {
		return nil, false
	}
	all := bench.Roster.Named(known.Backend)
	if len(all) <= almanac.ReachWhole {
		return nil, false
	}
	for _, node := range nodes {
		if node.Hall != known.Hall {
			continue
		}
		higher, own := 0, drawOf(node, worker)
		for _, other := range all {
			if other.Hall == known.Hall && drawOf(node, other.ID) > own {
				higher++
			}
		}
		if higher < almanac.ReachSubset {
			drawn = append(drawn, node)
		}
	}
	return drawn, true
}

// HallOf gives the hall of a worker.
func (bench *Workbench) HallOf(worker string) string {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	known, _ := bench.Roster.Get(worker)
	return known.Hall
}

// atHome adds the workers at which the prompt's prefix is at home or was seen.
func (bench *Workbench) atHome(ask *Ask, all, some []pattern.Worker) []pattern.Worker {
	wanted := map[string]bool{}
	ids := make([]string, len(all))
	for place := range all {
		ids[place] = all[place].ID
	}
	for _, worker := range bench.Index.Homes(&ask.Prompt, ids, almanac.ReachHomes) {
		wanted[worker] = true
	}
	for _, worker := range bench.Index.Holders(&ask.Prompt, almanac.ReachHomes) {
		wanted[worker] = true
	}
	for _, worker := range some {
		delete(wanted, worker.ID)
	}
	for _, worker := range all {
		if wanted[worker.ID] {
			some = append(some, worker)
		}
	}
	return some
}

// neutral is the mean load of those workers that there is evidence of: what one
// without any is taken for, or it would seem the emptiest. The lock is held.
func (bench *Workbench) neutral(workers []pattern.Worker, now watch.Moment) int {
	total, count := 0, 0
	for _, worker := range workers {
		if vitals := bench.Gauge.Of(worker.ID); vitals.Known(now) {
			total += vitals.Running(now)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	mean := total / count
	if 2*count <= len(workers) {
		// Nobody is full on a guess from few: the others may stand behind one that is.
		mean = min(mean, workers[0].Capacity-1)
	}
	return mean
}
