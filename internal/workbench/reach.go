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
	for _, worker := range bench.subset(ask.Service, all, now) {
		// A full one is no reason to wait while others are free elsewhere.
		if bench.Gauge.Of(worker.ID).Running(now) < worker.Capacity && !excluded(ask, worker.ID) {
			some = append(some, worker)
		}
	}
	if ask.Affine && ask.Prompt.Shared() >= almanac.GossipPrefixLeast {
		some = bench.atHome(ask, all, some)
	}
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
		sum := fnv.New64a()
		sum.Write([]byte(worker.ID))
		sum.Write([]byte(bench.own.Role + "/" + bench.own.Name))
		good = append(good, ranked{worker, worker.Hall == bench.own.Hall, plumbline.Mix(sum.Sum64())})
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
