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

// workerOwnership is which workers this process places items at. Each worker is owned by
// one store as far as the stores see each other: of those in its zone, else of
// all, the one with the highest hash. So executors need not agree on each placement, and an
// executor that sees few others owns more.
type workerOwnership struct {
	computedAt clock.Instant
	workers    map[string]bool
}

// owner picks the owner of a worker among stores (name to zone).
func owner(worker, zone string, stores map[string]string) string {
	best, most, near := "", uint64(0), false
	for name, at := range stores {
		sum := fnv.New64a()
		sum.Write([]byte(worker))
		sum.Write([]byte{0})
		sum.Write([]byte(name))
		// The last steps of this hash mix little: names that differ in their last
		// letter only would come in one order for all workers.
		hash := sum.Sum64()
		hash ^= hash >> 33
		hash *= 0xff51afd7ed558ccd
		hash ^= hash >> 33
		here := at == zone
		if best == "" || (here && !near) || (here == near && (hash > most || (hash == most && name < best))) {
			best, most, near = name, hash, here
		}
	}
	return best
}

// ownedWorkers gives the workers that are ours now.
func (s *Server) ownedWorkers(now clock.Instant) map[string]bool {
	s.lock.Lock()
	if s.owned.workers != nil && s.owned.computedAt > 0 && now.Sub(s.owned.computedAt) < constants.OwnedWorkersPeriod {
		defer s.lock.Unlock()
		return s.owned.workers
	}
	s.lock.Unlock()
	runtime := s.node
	stores := map[string]string{runtime.Self.Name: runtime.Self.Zone}
	if !s.addExecutors(stores, now) {
		for _, entry := range runtime.Live(membership.RoleStore) {
			if !entry.Draining {
				stores[entry.Name] = entry.Zone
			}
		}
	}
	workers := map[string]bool{}
	for _, worker := range s.gossip.Scheduler.Workers(now) {
		if owner(worker.ID, worker.Zone, stores) == runtime.Self.Name {
			workers[worker.ID] = true
		}
	}
	s.gossip.Scheduler.SetOwnedWorkers(workers)
	s.lock.Lock()
	defer s.lock.Unlock()
	s.owned = workerOwnership{now, workers}
	return workers
}

// knownVersion is the version of the list of executors that we have.
func (s *Server) knownVersion() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.peers.version
}

// updateExecutors takes the dispatcher's list of executors, which comes where it is new.
func (s *Server) updateExecutors(version uint64, executors []messages.ExecutorInfo, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if version > s.peers.version {
		s.peers.version, s.peers.list, s.owned.computedAt = version, executors, 0
	}
	s.peers.receivedAt = now
}

// addExecutors adds the executors on the dispatcher's list; false when it is old. The
// dispatcher is contacted by every executor twice a second, well before others take it for
// silent.
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

// freeCapacity is how many items to ask for: one for each worker of ours with a slot left,
// beside those that wait already.
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

// place finds workers for what waits. What finds none for a while goes back.
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
	var left []*executor.Task
	for _, task := range waiting {
		if !s.startOrRelease(task, owned, now) {
			left = append(left, task)
		}
	}
	s.lock.Lock()
	s.waiting = append(left, s.waiting...)
	s.lock.Unlock()
}

// start starts a task at a worker or gives it back; false while it waits on.
func (s *Server) startOrRelease(task *executor.Task, owned map[string]bool, now clock.Instant) bool {
	route := jobroute.OfItem(s.node.Config(), task.Item)
	s.lock.Lock()
	unfit := s.draining || !task.MayRun(now) || now.Sub(task.Since) > constants.PlacementWait
	s.lock.Unlock()
	if route == nil || unfit {
		s.releaseUnstarted(task)
		return true
	}
	item := task.Item
	demand := &admission.Request{Service: route.Choose(clock.Float64()), Affine: route.Affine, Bulk: true, Priority: route.Priority, Setpoint: route.Setpoint(), AllowedWorkers: owned,
		Prompt: prefixindex.ParsePrompt(item.Headers["Lemonarch-Model"], item.Headers["Lemonarch-Token-Count"], item.Headers["Lemonarch-Prompt-Prefix"])}
	resp, _ := s.gossip.Scheduler.Admit(demand, nil, now)
	if resp.Verdict != admission.VerdictGranted {
		return false
	}
	s.lock.Lock()
	may := task.MayRun(clock.Now()) && !s.draining
	task.Started = may
	owed, displaceable := item.OwedResume, item.Preempted < constants.PreemptionLimit
	s.lock.Unlock()
	if !may {
		resp.Grant.End(admission.ResultCanceled, now)
		s.releaseUnstarted(task)
		return true
	}
	if owed {
		s.gossip.Scheduler.Counters(route.Name).Resumed.Add(1)
	}
	if displaceable {
		resp.Grant.AllowPreemption(func() { s.yield(task) })
	}
	go s.runOnWorker(route, task, resp.Grant)
	signal(s.signals.wake)
	return true
}

// releaseUnstarted releases an item that was not begun.
func (s *Server) releaseUnstarted(task *executor.Task) {
	s.lock.Lock()
	task.Item.Requeue(task.Run)
	s.lock.Unlock()
	s.finishTask(task, messages.Acknowledgement{Kind: messages.AckRelease, NotStarted: true})
}

// outgrowsMemory tells whether the inputs of the items that run here take all the memory that they
// may: each is held as it came and as it is written to its worker.
func (s *Server) outgrowsMemory(inputBytes int64) bool {
	limit := s.node.Settings.Limits.MemoryShare(constants.RunningInputShare)
	return limit > 0 && inputBytes > limit
}
