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

// A node of a large fleet handles too few requests to know every worker's state well, and if every
// node connected to every worker, the workers would have more connections than they accept.
// Therefore a request without a warm prefix is placed within a small, stable subset of the workers,
// those of the node's own zone first. A request with a long prefix also considers the prefix's home
// workers and the workers that are known to hold it. If none of these has capacity, all workers are
// considered.

// scratch contains slices that are reused by each placement.
type scratch struct {
	workerList []messages.Worker
	candidates []prefixindex.Candidate
	toConsider []messages.Worker
}

// subset is the stable subset of a service's workers for this node. It is recomputed once per
// gossip period from the healthy workers.
type subset struct {
	at         clock.Instant
	workerList []messages.Worker
}

// workersToConsider returns the workers that are considered for a request, and reports whether
// there are more. The caller must hold the lock.
func (s *Scheduler) workersToConsider(req *Request, all []messages.Worker, now clock.Instant) (considered []messages.Worker, more bool) {
	if req.Bulk || len(all) <= constants.SubsetThreshold {
		// Items are placed by a few processes, each of which needs the capacity of all workers.
		return all, false
	}
	considered = s.scratch.toConsider[:0]
	for _, worker := range s.subset(req.Service, all, now) {
		// A full worker must not cause a wait while workers outside the subset have capacity.
		if s.Tracker.HealthOf(worker.ID).Running(now) < worker.Capacity && !isExcluded(req, worker.ID) {
			considered = append(considered, worker)
		}
	}
	if req.Affine && req.Prompt.SharedTokens() >= constants.GossipPrefixTokensMin {
		considered = s.addPrefixHolders(req, all, considered)
	}
	s.scratch.toConsider = considered
	return considered, true
}

// subset returns the node's workers, selected by rendezvous hashing: a node that joins or leaves
// does not change the subsets of other nodes, a worker that joins or leaves changes only the
// subsets that it belongs to, and all workers are selected by about the same number of nodes.
func (s *Scheduler) subset(service string, all []messages.Worker, now clock.Instant) []messages.Worker {
	cached := s.subsets[service]
	if cached.workerList != nil && now.Sub(cached.at) < constants.GossipPeriod {
		return cached.workerList
	}
	type rankedWorker struct {
		worker   messages.Worker
		sameZone bool
		weight   uint64
	}
	var healthy []rankedWorker
	inContact := s.controllerContactAt > 0 && now.Sub(s.controllerContactAt) < constants.SuspectAfter
	for _, worker := range all {
		if s.Registry.Status(worker.ID, now, inContact) != workers.StatusHealthy || s.Tracker.HealthOf(worker.ID).Suspect(now) {
			continue
		}
		healthy = append(healthy, rankedWorker{worker, worker.Zone == s.self.Zone, rendezvousWeight(s.self, worker.ID)})
	}
	sort.Slice(healthy, func(left, right int) bool {
		if healthy[left].sameZone != healthy[right].sameZone {
			return healthy[left].sameZone
		}
		return healthy[left].weight > healthy[right].weight
	})
	fresh := subset{at: now}
	for _, ranked := range healthy[:min(len(healthy), constants.SubsetSize)] {
		fresh.workerList = append(fresh.workerList, ranked.worker)
	}
	if s.subsets == nil {
		s.subsets = map[string]subset{}
	}
	s.subsets[service] = fresh
	return fresh.workerList
}

// rendezvousWeight returns a node's weight for a worker. A node considers the workers with the
// highest weights.
func rendezvousWeight(node messages.NodeInfo, worker string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(worker))
	sum.Write([]byte(node.Role))
	sum.Write([]byte{'/'})
	sum.Write([]byte(node.Name))
	return prefixindex.MixBits(sum.Sum64())
}

// NodesFor returns those of the given nodes that are in the worker's zone and consider the worker
// according to their weights. It also reports whether nodes consider only a part of the service's
// workers. If they consider all of them, or the worker is unknown, it returns nil and false.
func (s *Scheduler) NodesFor(worker string, nodes []messages.NodeInfo) (nodesFor []messages.NodeInfo, part bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	known, found := s.Registry.Get(worker)
	if !found {
		return nil, false
	}
	all := s.Registry.ByService(known.Backend)
	if len(all) <= constants.SubsetThreshold {
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
		if higher < constants.SubsetSize {
			nodesFor = append(nodesFor, node)
		}
	}
	return nodesFor, true
}

// ZoneOf returns the zone of a worker, or "" if the worker is unknown.
func (s *Scheduler) ZoneOf(worker string) string {
	s.lock.Lock()
	defer s.lock.Unlock()
	known, _ := s.Registry.Get(worker)
	return known.Zone
}

// addPrefixHolders appends the home workers of the prompt's prefix and the workers that are known
// to hold it.
func (s *Scheduler) addPrefixHolders(req *Request, all, considered []messages.Worker) []messages.Worker {
	holders := map[string]bool{}
	ids := make([]string, len(all))
	for i := range all {
		ids[i] = all[i].ID
	}
	for _, worker := range s.Index.Homes(&req.Prompt, ids, constants.PrefixWorkersMax) {
		holders[worker] = true
	}
	for _, worker := range s.Index.Holders(&req.Prompt, constants.PrefixWorkersMax) {
		holders[worker] = true
	}
	for _, worker := range considered {
		delete(holders, worker.ID)
	}
	for _, worker := range all {
		if holders[worker.ID] {
			considered = append(considered, worker)
		}
	}
	return considered
}

// meanLoad returns the mean load of the workers whose load is known. A worker of unknown load is
// assumed to have this load; otherwise it would appear to be the least loaded. The caller must hold
// the lock.
func (s *Scheduler) meanLoad(workerList []messages.Worker, now clock.Instant) int {
	total, count := 0, 0
	for _, worker := range workerList {
		if health := s.Tracker.HealthOf(worker.ID); health.Known(now) {
			total += health.Running(now)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	mean := total / count
	if 2*count <= len(workerList) {
		// With loads known for at most half of the workers, an unknown worker must not be assumed
		// to be full: it may be idle although a known worker is full.
		mean = min(mean, workerList[0].Capacity-1)
	}
	return mean
}
