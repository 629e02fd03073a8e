package executorserver

import (
	"hash/fnv"

	"lemonarch/internal/batch/executor"
	"lemonarch/internal/batch/jobroute"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/prefixindex"
)

// workerOwnership is the set of workers on which this process places items. If all stores see
// the same stores, each worker has exactly one owner: the store with the highest hash among those in
// the worker's zone or, if there are none, among all stores. So executors need not agree on each
// placement, and an executor that sees few others owns more workers.
type workerOwnership struct {
	computedAt clock.Instant
	workers    map[string]bool
}

// owner returns the name of the store that owns a worker. stores maps names to zones.
func owner(worker, zone string, stores map[string]string) string {
	best, bestHash, bestInZone := "", uint64(0), false
	for name, storeZone := range stores {
		sum := fnv.New64a()
		sum.Write([]byte(worker))
		sum.Write([]byte{0})
		sum.Write([]byte(name))
		// FNV mixes the last bytes poorly: names that differ only in their last letter would
		// have the same order for all workers. So the sum is mixed further.
		hash := sum.Sum64()
		hash ^= hash >> 33
		hash *= 0xff51afd7ed558ccd
		hash ^= hash >> 33
		inZone := storeZone == zone
		if best == "" || (inZone && !bestInZone) || (inZone == bestInZone && (hash > bestHash || (hash == bestHash && name < best))) {
			best, bestHash, bestInZone = name, hash, inZone
		}
	}
	return best
}

// ownedWorkers returns the workers that this process owns now. The result is cached for OwnedWorkersPeriod.
func (s *Server) ownedWorkers(now clock.Instant) map[string]bool {
	s.lock.Lock()
	if s.owned.workers != nil && s.owned.computedAt > 0 && now.Sub(s.owned.computedAt) < constants.OwnedWorkersPeriod {
		defer s.lock.Unlock()
		return s.owned.workers
	}
	s.lock.Unlock()
	agent := s.node
	stores := map[string]string{agent.Self.Name: agent.Self.Zone}
	if !s.addExecutors(stores, now) {
		for _, member := range agent.Live(membership.RoleStore) {
			if !member.Draining {
				stores[member.Name] = member.Zone
			}
		}
	}
	workers := map[string]bool{}
	for _, worker := range s.gossip.Scheduler.Workers(now) {
		if owner(worker.ID, worker.Zone, stores) == agent.Self.Name {
			workers[worker.ID] = true
		}
	}
	s.gossip.Scheduler.SetOwnedWorkers(workers)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.owned = workerOwnership{now, workers}
	return workers
}

// knownVersion returns the version of the latest list of executors that this process received.
func (s *Server) knownVersion() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.peers.version
}

// updateExecutors processes a response's list of executors, which is only sent if its version is new.
// Any response confirms that the stored list is up to date.
func (s *Server) updateExecutors(version uint64, executors []messages.ExecutorInfo, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if version > s.peers.version {
		s.peers.version, s.peers.list, s.owned.computedAt = version, executors, 0
	}
	s.peers.receivedAt = now
}

// addExecutors adds the executors on the dispatcher's list to stores. It returns false if there is no
// list or it was not confirmed within SuspectAfter. With a lock duration of up to LockDefault, every
// executor contacts the dispatcher about twice a second, so a failed executor is off the list well
// before the other processes would suspect it of having failed.
func (s *Server) addExecutors(stores map[string]string, now clock.Instant) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.peers.version == 0 || now.Sub(s.peers.receivedAt) >= constants.SuspectAfter {
		return false
	}
	for _, info := range s.peers.list {
		stores[info.Name] = info.Zone
	}
	return true
}

// freeCapacity returns how many items to request, by service: one for each owned worker with a free
// slot, less the tasks that already wait for a worker. It returns nil while no items are to be acquired.
func (s *Server) freeCapacity() []messages.ServiceCapacity {
	config, now := s.node.Config(), clock.Now()
	if config == nil {
		return nil
	}
	owned := s.ownedWorkers(now)
	s.lock.Lock()
	all, waiting := s.runner.Count()
	draining, bytes := s.draining, s.runner.InputBytes()
	s.lock.Unlock()
	if draining || all >= constants.RunningItemsMax || s.outgrowsMemory(bytes) {
		return nil
	}
	counts := map[string]int{}
	for i := range config.Routes {
		route := &config.Routes[i]
		if route.Kind() != messages.RouteBulk {
			continue
		}
		for _, service := range route.Services() {
			free := s.gossip.Scheduler.BulkCapacity(&admission.Request{Service: service, Bulk: true, Priority: route.Priority, AllowedWorkers: owned}, now)
			counts[service] = max(counts[service], free)
		}
	}
	var freeCapacity []messages.ServiceCapacity
	for service, count := range counts {
		if count > waiting {
			freeCapacity = append(freeCapacity, messages.ServiceCapacity{Service: service, Count: count - waiting})
		}
	}
	return freeCapacity
}

// placeWaiting starts the waiting tasks for which there is a worker. A task without a worker for
// longer than PlacementWait is released.
func (s *Server) placeWaiting() {
	now := clock.Now()
	owned := s.ownedWorkers(now)
	s.lock.Lock()
	waiting := s.waiting
	s.waiting = nil
	s.lock.Unlock()
	if len(waiting) == 0 {
		return
	}
	var remaining []*executor.Task
	for _, task := range waiting {
		if !s.startOrRelease(task, owned, now) {
			remaining = append(remaining, task)
		}
	}
	s.lock.Lock()
	s.waiting = append(remaining, s.waiting...)
	s.lock.Unlock()
}

// startOrRelease starts a task at a worker or releases it. It returns false if the task has to
// continue waiting.
func (s *Server) startOrRelease(task *executor.Task, owned map[string]bool, now clock.Instant) bool {
	route := jobroute.OfItem(s.node.Config(), task.Item)
	s.lock.Lock()
	mustRelease := s.draining || !task.MayRun(now) || now.Sub(task.Since) > constants.PlacementWait
	s.lock.Unlock()
	if route == nil || mustRelease {
		s.releaseUnstarted(task)
		return true
	}
	item := task.Item
	req := &admission.Request{Service: route.Choose(clock.Float64()), Affine: route.Affine, Bulk: true, Priority: route.Priority, Setpoint: route.Setpoint(), AllowedWorkers: owned,
		Prompt: prefixindex.ParsePrompt(item.Headers["Lemonarch-Model"], item.Headers["Lemonarch-Token-Count"], item.Headers["Lemonarch-Prompt-Prefix"])}
	decision, _ := s.gossip.Scheduler.Admit(req, nil, now)
	if decision.Verdict != admission.VerdictGranted {
		return false
	}
	s.lock.Lock()
	mayRun := task.MayRun(clock.Now()) && !s.draining
	task.Started = mayRun
	resumed, preemptible := item.ResumePending, item.Preempted < constants.PreemptionLimit
	s.lock.Unlock()
	if !mayRun {
		decision.Grant.End(admission.ResultCanceled, now)
		s.releaseUnstarted(task)
		return true
	}
	if resumed {
		s.gossip.Scheduler.Counters(route.Name).Resumed.Add(1)
	}
	if preemptible {
		decision.Grant.AllowPreemption(func() { s.yield(task) })
	}
	go s.runOnWorker(route, task, decision.Grant)
	signal(s.signals.wake)
	return true
}

// releaseUnstarted releases an item that was not sent to a worker.
func (s *Server) releaseUnstarted(task *executor.Task) {
	s.lock.Lock()
	task.Item.Requeue(task.Run)
	s.lock.Unlock()
	s.finishTask(task, messages.Acknowledgement{Kind: messages.AckRelease, NotStarted: true})
}

// outgrowsMemory reports whether the inputs of the tasks exceed the memory that they may occupy, which
// is the share RunningInputShare of the process's limit. Each input is in memory twice: as received
// and as written to its worker.
func (s *Server) outgrowsMemory(inputBytes int64) bool {
	limit := s.node.Settings.Limits.MemoryShare(constants.RunningInputShare)
	return limit > 0 && inputBytes > limit
}
