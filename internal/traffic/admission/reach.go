package admission

import (
	"hash/fnv"
	"sort"

	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/prefixindex"
)

// A node of a large fleet sees too few requests to know every worker well, and a connection
// to each would cost the workers more connections than they take. So what has no
// warm prefix goes to a small stable subset, the own zone's first; a long prefix goes
// wherever it is at home or was seen; and whoever finds no capacity there considers all.

// scratch are lists that are filled anew by each placement.
type scratch struct {
	workerList []messages.Worker
	candidates []prefixindex.Candidate
	toConsider []messages.Worker
}

// subset is the stable part of a service's workers for this node, found anew each
// period from those in good standing.
type subset struct {
	at         clock.Instant
	workerList []messages.Worker
}

// reach gives the workers that are considered for a request, and whether there are more.
// The lock is held.
func (s *Scheduler) workersToConsider(req *Request, all []messages.Worker, now clock.Instant) (some []messages.Worker, more bool) {
	if req.Bulk || len(all) <= constants.ReachAllUpTo {
		// Items are placed by few processes, each of which needs the capacity of all.
		return all, false
	}
	some = s.scratch.toConsider[:0]
	for _, worker := range s.subset(req.Service, all, now) {
		// A full one is no reason to wait while others are free elsewhere.
		if s.Tracker.Of(worker.ID).Running(now) < worker.Capacity && !isExcluded(req, worker.ID) {
			some = append(some, worker)
		}
	}
	if req.Affine && req.Prompt.Shared() >= constants.GossipPrefixLeast {
		some = s.addPrefixHolders(req, all, some)
	}
	s.scratch.toConsider = some
	return some, true
}

// subset draws the node's workers by rendezvous: who comes or goes changes nobody
// else's, and all workers are chosen by about as many nodes.
func (s *Scheduler) subset(service string, all []messages.Worker, now clock.Instant) []messages.Worker {
	remaining := s.subsets[service]
	if remaining.workerList != nil && now.Sub(remaining.at) < constants.GossipPeriod {
		return remaining.workerList
	}
	type ranked struct {
		worker messages.Worker
		near   bool
		draw   uint64
	}
	var good []ranked
	listening := s.controllerContactAt > 0 && now.Sub(s.controllerContactAt) < constants.SuspectAfter
	for _, worker := range all {
		if s.Registry.Status(worker.ID, now, listening) != workers.StatusHealthy || s.Tracker.Of(worker.ID).Suspect(now) {
			continue
		}
		good = append(good, ranked{worker, worker.Zone == s.self.Zone, rendezvousWeight(s.self, worker.ID)})
	}
	sort.Slice(good, func(left, right int) bool {
		if good[left].near != good[right].near {
			return good[left].near
		}
		return good[left].draw > good[right].draw
	})
	fresh := subset{at: now}
	for _, entry := range good[:min(len(good), constants.ReachSubset)] {
		fresh.workerList = append(fresh.workerList, entry.worker)
	}
	if s.subsets == nil {
		s.subsets = map[string]subset{}
	}
	s.subsets[service] = fresh
	return fresh.workerList
}

// rendezvousWeight is a node's weight for a worker; it considers those with the highest.
func rendezvousWeight(node messages.NodeInfo, worker string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(worker))
	sum.Write([]byte(node.Role))
	sum.Write([]byte{'/'})
	sum.Write([]byte(node.Name))
	return prefixindex.MixBits(sum.Sum64())
}

// NodesFor gives those of some nodes of a worker's zone that consider it by their weight,
// and whether nodes consider a part of the workers at all.
func (s *Scheduler) NodesFor(worker string, nodes []messages.NodeInfo) (nodesFor []messages.NodeInfo, part bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	known, found := s.Registry.Get(worker)
	if !found {
		return nil, false
	}
	all := s.Registry.ByService(known.Backend)
	if len(all) <= constants.ReachAllUpTo {
		return nil, false
	}
	for _, node := range nodes {
		if node.Zone != known.Zone {
			continue
		}
		higher, own := 0, rendezvousWeight(node, worker)
		for _, other := range all {
			if other.Zone == known.Zone && rendezvousWeight(node, other.ID) > own {
				higher++
			}
		}
		if higher < constants.ReachSubset {
			nodesFor = append(nodesFor, node)
		}
	}
	return nodesFor, true
}

// ZoneOf gives the zone of a worker.
func (s *Scheduler) ZoneOf(worker string) string {
	s.lock.Lock()
	defer s.lock.Unlock()
	known, _ := s.Registry.Get(worker)
	return known.Zone
}

// addPrefixHolders adds the workers at which the prompt's prefix is at home or was seen.
func (s *Scheduler) addPrefixHolders(req *Request, all, some []messages.Worker) []messages.Worker {
	wanted := map[string]bool{}
	ids := make([]string, len(all))
	for i := range all {
		ids[i] = all[i].ID
	}
	for _, worker := range s.Index.Homes(&req.Prompt, ids, constants.ReachHomes) {
		wanted[worker] = true
	}
	for _, worker := range s.Index.Holders(&req.Prompt, constants.ReachHomes) {
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

// meanLoad is the mean load of those workers that there is evidence of: what one
// without any is taken for, or it would seem the emptiest. The lock is held.
func (s *Scheduler) meanLoad(workerList []messages.Worker, now clock.Instant) int {
	total, count := 0, 0
	for _, worker := range workerList {
		if health := s.Tracker.Of(worker.ID); health.Known(now) {
			total += health.Running(now)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	mean := total / count
	if 2*count <= len(workerList) {
		// Nobody is full on a guess from few: the others may stand behind one that is.
		mean = min(mean, workerList[0].Capacity-1)
	}
	return mean
}
