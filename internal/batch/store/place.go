package store

import (
	"hash/fnv"

	"lemonarch/internal/batch/itemdriver"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/prefixindex"
)

// ownership is which workers this process places items at. Each worker is owned by
// one store as far as the stores see each other: of those in its zone, else of
// all, the one with the highest hash. So drivers need not agree on each place, and a
// driver that sees few others owns more.
type ownership struct {
	at         clock.Instant
	workerList map[string]bool
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

// own gives the workers that are ours now.
func (d *driver) own(now clock.Instant) map[string]bool {
	d.lock.Lock()
	if d.owned.workerList != nil && d.owned.at > 0 && now.Sub(d.owned.at) < constants.OwnedWorkersPeriod {
		defer d.lock.Unlock()
		return d.owned.workerList
	}
	d.lock.Unlock()
	runtime := d.server.Node
	stores := map[string]string{runtime.Self.Name: runtime.Self.Zone}
	if !d.shared(stores, now) {
		for _, entry := range runtime.Live(membership.RoleStore) {
			if !entry.Draining {
				stores[entry.Name] = entry.Zone
			}
		}
	}
	workerList := map[string]bool{}
	for _, worker := range d.server.Gossip.Scheduler.Workers(now) {
		if owner(worker.ID, worker.Zone, stores) == runtime.Self.Name {
			workerList[worker.ID] = true
		}
	}
	d.server.Gossip.Scheduler.SetBulkOwn(workerList)
	d.lock.Lock()
	defer d.lock.Unlock()
	d.owned = ownership{now, workerList}
	return workerList
}

// known is the version of the list of drivers that we have.
func (d *driver) known() uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.version
}

// listed takes the dispatcher's list of drivers, which comes where it is new.
func (d *driver) listed(version uint64, drivers []messages.ExecutorInfo, now clock.Instant) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if version > d.version {
		d.version, d.drivers, d.owned.at = version, drivers, 0
	}
	d.driversAt = now
}

// shared adds the drivers on the dispatcher's list; false when it is old. The
// dispatcher hears every driver twice a second, well before others take it for
// silent.
func (d *driver) shared(stores map[string]string, now clock.Instant) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.version == 0 || now.Sub(d.driversAt) >= constants.SuspectAfter {
		return false
	}
	for _, info := range d.drivers {
		stores[info.Name] = info.Zone
	}
	return true
}

// room is how many items to ask for: one for each worker of ours with a place left,
// beside those that wait already.
func (d *driver) room() []messages.ServiceCapacity {
	config, now := d.server.Node.Config(), clock.Now()
	if config == nil {
		return nil
	}
	own := d.own(now)
	d.lock.Lock()
	all, waiting := d.core.Count()
	leaving := d.leaving
	d.lock.Unlock()
	if leaving || all >= constants.RunningItemsMax {
		return nil
	}
	counts := map[string]int{}
	for i := range config.Routes {
		route := &config.Routes[i]
		if route.Kind() != messages.RouteBulk {
			continue
		}
		for _, service := range route.Services() {
			free := d.server.Gossip.Scheduler.BulkRoom(&admission.Ask{Service: service, Bulk: true, Priority: route.Priority, Among: own}, now)
			counts[service] = max(counts[service], free)
		}
	}
	var room []messages.ServiceCapacity
	for service, count := range counts {
		if count > waiting {
			room = append(room, messages.ServiceCapacity{Service: service, Count: count - waiting})
		}
	}
	return room
}

// place finds workers for what waits. What finds none for a while goes back.
func (d *driver) place() {
	now := clock.Now()
	own := d.own(now)
	d.lock.Lock()
	waiting := d.waiting
	d.waiting = nil
	d.lock.Unlock()
	if len(waiting) == 0 {
		return
	}
	var left []*itemdriver.Task
	for _, task := range waiting {
		if !d.begin(task, own, now) {
			left = append(left, task)
		}
	}
	d.lock.Lock()
	d.waiting = append(left, d.waiting...)
	d.lock.Unlock()
}

// begin starts a task at a worker or gives it back; false while it waits on.
func (d *driver) begin(task *itemdriver.Task, own map[string]bool, now clock.Instant) bool {
	route := itemRoute(d.server.Node.Config(), task.Item)
	d.lock.Lock()
	unfit := d.leaving || !task.May(now) || now.Sub(task.Since) > constants.PlacementWait
	d.lock.Unlock()
	if route == nil || unfit {
		d.giveBack(task)
		return true
	}
	item := task.Item
	ask := &admission.Ask{Service: route.Choose(clock.Float64()), Affine: route.Affine, Bulk: true, Priority: route.Priority, Setpoint: route.Setpoint(), Among: own,
		Prompt: prefixindex.ParsePrompt(item.Headers["Lemonarch-Model"], item.Headers["Lemonarch-Token-Count"], item.Headers["Lemonarch-Prompt-Prefix"])}
	resp, _ := d.server.Gossip.Scheduler.Admit(ask, nil, now)
	if resp.Verdict != admission.VerdictGranted {
		return false
	}
	d.lock.Lock()
	may := task.May(clock.Now()) && !d.leaving
	task.Begun = may
	owed, displaceable := item.Owed, item.Displaced < constants.PreemptionLimit
	d.lock.Unlock()
	if !may {
		resp.Grant.End(admission.ResultCalledOff, now)
		d.giveBack(task)
		return true
	}
	if owed {
		d.server.Gossip.Scheduler.Counters(route.Name).Resumed.Add(1)
	}
	if displaceable {
		resp.Grant.MayYield(func() { d.yield(task) })
	}
	go d.drive(route, task, resp.Grant)
	ring(d.bell)
	return true
}

// giveBack releases an item that was not begun.
func (d *driver) giveBack(task *itemdriver.Task) {
	d.lock.Lock()
	task.Item.SetBack(task.Run)
	d.lock.Unlock()
	d.done(task, messages.Acknowledgement{Kind: messages.AckRelease, NotStarted: true})
}
