package store

import (
	"hash/fnv"

	"lemonarch/internal/batch/executor"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/prefixindex"
)

// workerOwnership is which workers this process places items at. Each worker is owned by
// one store as far as the stores see each other: of those in its zone, else of
// all, the one with the highest hash. So drivers need not agree on each place, and a
// driver that sees few others owns more.
type workerOwnership struct {
	at      clock.Instant
	workers map[string]bool
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
func (d *executorLoop) ownedWorkers(now clock.Instant) map[string]bool {
	d.lock.Lock()
	if d.ownership.workers != nil && d.ownership.at > 0 && now.Sub(d.ownership.at) < constants.OwnedWorkersPeriod {
		defer d.lock.Unlock()
		return d.ownership.workers
	}
	d.lock.Unlock()
	runtime := d.server.Node
	stores := map[string]string{runtime.Self.Name: runtime.Self.Zone}
	if !d.addExecutors(stores, now) {
		for _, entry := range runtime.Live(membership.RoleStore) {
			if !entry.Draining {
				stores[entry.Name] = entry.Zone
			}
		}
	}
	workers := map[string]bool{}
	for _, worker := range d.server.Gossip.Scheduler.Workers(now) {
		if owner(worker.ID, worker.Zone, stores) == runtime.Self.Name {
			workers[worker.ID] = true
		}
	}
	d.server.Gossip.Scheduler.SetBulkOwn(workers)
	d.lock.Lock()
	defer d.lock.Unlock()
	d.ownership = workerOwnership{now, workers}
	return workers
}

// knownVersion is the version of the list of drivers that we have.
func (d *executorLoop) knownVersion() uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.version
}

// updateExecutors takes the dispatcher's list of drivers, which comes where it is new.
func (d *executorLoop) updateExecutors(version uint64, executors []messages.ExecutorInfo, now clock.Instant) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if version > d.version {
		d.version, d.executors, d.ownership.at = version, executors, 0
	}
	d.executorsAt = now
}

// addExecutors adds the drivers on the dispatcher's list; false when it is old. The
// dispatcher hears every driver twice a second, well before others take it for
// silent.
func (d *executorLoop) addExecutors(stores map[string]string, now clock.Instant) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.version == 0 || now.Sub(d.executorsAt) >= constants.SuspectAfter {
		return false
	}
	for _, info := range d.executors {
		stores[info.Name] = info.Zone
	}
	return true
}

// freeCapacity is how many items to ask for: one for each worker of ours with a place left,
// beside those that wait already.
func (d *executorLoop) freeCapacity() []messages.ServiceCapacity {
	config, now := d.server.Node.Config(), clock.Now()
	if config == nil {
		return nil
	}
	owned := d.ownedWorkers(now)
	d.lock.Lock()
	all, waiting := d.core.Count()
	draining := d.draining
	d.lock.Unlock()
	if draining || all >= constants.RunningItemsMax {
		return nil
	}
	counts := map[string]int{}
	for i := range config.Routes {
		route := &config.Routes[i]
		if route.Kind() != messages.RouteBulk {
			continue
		}
		for _, service := range route.Services() {
			free := d.server.Gossip.Scheduler.BulkRoom(&admission.Ask{Service: service, Bulk: true, Priority: route.Priority, Among: owned}, now)
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
func (d *executorLoop) place() {
	now := clock.Now()
	owned := d.ownedWorkers(now)
	d.lock.Lock()
	waiting := d.waiting
	d.waiting = nil
	d.lock.Unlock()
	if len(waiting) == 0 {
		return
	}
	var left []*executor.Task
	for _, task := range waiting {
		if !d.start(task, owned, now) {
			left = append(left, task)
		}
	}
	d.lock.Lock()
	d.waiting = append(left, d.waiting...)
	d.lock.Unlock()
}

// start starts a task at a worker or gives it back; false while it waits on.
func (d *executorLoop) start(task *executor.Task, owned map[string]bool, now clock.Instant) bool {
	route := itemRoute(d.server.Node.Config(), task.Item)
	d.lock.Lock()
	unfit := d.draining || !task.MayRun(now) || now.Sub(task.Since) > constants.PlacementWait
	d.lock.Unlock()
	if route == nil || unfit {
		d.releaseUnstarted(task)
		return true
	}
	item := task.Item
	demand := &admission.Ask{Service: route.Choose(clock.Float64()), Affine: route.Affine, Bulk: true, Priority: route.Priority, Setpoint: route.Setpoint(), Among: owned,
		Prompt: prefixindex.ParsePrompt(item.Headers["Lemonarch-Model"], item.Headers["Lemonarch-Token-Count"], item.Headers["Lemonarch-Prompt-Prefix"])}
	resp, _ := d.server.Gossip.Scheduler.Admit(demand, nil, now)
	if resp.Verdict != admission.VerdictGranted {
		return false
	}
	d.lock.Lock()
	may := task.MayRun(clock.Now()) && !d.draining
	task.Started = may
	owed, displaceable := item.OwedResume, item.Preempted < constants.PreemptionLimit
	d.lock.Unlock()
	if !may {
		resp.Grant.End(admission.ResultCalledOff, now)
		d.releaseUnstarted(task)
		return true
	}
	if owed {
		d.server.Gossip.Scheduler.Counters(route.Name).Resumed.Add(1)
	}
	if displaceable {
		resp.Grant.MayYield(func() { d.yield(task) })
	}
	go d.run(route, task, resp.Grant)
	signal(d.wake)
	return true
}

// releaseUnstarted releases an item that was not begun.
func (d *executorLoop) releaseUnstarted(task *executor.Task) {
	d.lock.Lock()
	task.Item.Requeue(task.Run)
	d.lock.Unlock()
	d.done(task, messages.Acknowledgement{Kind: messages.AckRelease, NotStarted: true})
}
