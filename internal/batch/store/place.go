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
	at         clock.Moment
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
func (driver *driver) own(now clock.Moment) map[string]bool {
	driver.lock.Lock()
	if driver.owned.workerList != nil && driver.owned.at > 0 && now.Since(driver.owned.at) < constants.OwnPeriod {
		defer driver.lock.Unlock()
		return driver.owned.workerList
	}
	driver.lock.Unlock()
	runtime := driver.server.Node
	stores := map[string]string{runtime.Own.Name: runtime.Own.Zone}
	if !driver.shared(stores, now) {
		for _, entry := range runtime.Live(membership.RoleStore) {
			if !entry.Leaving {
				stores[entry.Name] = entry.Zone
			}
		}
	}
	workerList := map[string]bool{}
	for _, worker := range driver.server.Gossip.Scheduler.Workers(now) {
		if owner(worker.ID, worker.Zone, stores) == runtime.Own.Name {
			workerList[worker.ID] = true
		}
	}
	driver.server.Gossip.Scheduler.SetBulkOwn(workerList)
	driver.lock.Lock()
	defer driver.lock.Unlock()
	driver.owned = ownership{now, workerList}
	return workerList
}

// known is the version of the list of drivers that we have.
func (driver *driver) known() uint64 {
	driver.lock.Lock()
	defer driver.lock.Unlock()
	return driver.version
}

// listed takes the dispatcher's list of drivers, which comes where it is new.
func (driver *driver) listed(version uint64, drivers []messages.DriverAt, now clock.Moment) {
	driver.lock.Lock()
	defer driver.lock.Unlock()
	if version > driver.version {
		driver.version, driver.drivers, driver.owned.at = version, drivers, 0
	}
	driver.driversAt = now
}

// shared adds the drivers on the dispatcher's list; false when it is old. The
// dispatcher hears every driver twice a second, well before others take it for
// silent.
func (driver *driver) shared(stores map[string]string, now clock.Moment) bool {
	driver.lock.Lock()
	defer driver.lock.Unlock()
	if driver.version == 0 || now.Since(driver.driversAt) >= constants.SilentAfter {
		return false
	}
	for _, one := range driver.drivers {
		stores[one.Name] = one.Zone
	}
	return true
}

// room is how many items to ask for: one for each worker of ours with a place left,
// beside those that wait already.
func (driver *driver) room() []messages.ServiceRoom {
	config, now := driver.server.Node.Config(), clock.Now()
	if config == nil {
		return nil
	}
	own := driver.own(now)
	driver.lock.Lock()
	all, waiting := driver.core.Count()
	leaving := driver.leaving
	driver.lock.Unlock()
	if leaving || all >= constants.RunningItems {
		return nil
	}
	counts := map[string]int{}
	for place := range config.Routes {
		route := &config.Routes[place]
		if route.Kind() != messages.RouteBulk {
			continue
		}
		for _, service := range route.Services() {
			free := driver.server.Gossip.Scheduler.BulkRoom(&admission.Ask{Service: service, Bulk: true, Priority: route.Priority, Among: own}, now)
			counts[service] = max(counts[service], free)
		}
	}
	var room []messages.ServiceRoom
	for service, count := range counts {
		if count > waiting {
			room = append(room, messages.ServiceRoom{Service: service, Count: count - waiting})
		}
	}
	return room
}

// place finds workers for what waits. What finds none for a while goes back.
func (driver *driver) place() {
	now := clock.Now()
	own := driver.own(now)
	driver.lock.Lock()
	waiting := driver.waiting
	driver.waiting = nil
	driver.lock.Unlock()
	if len(waiting) == 0 {
		return
	}
	var left []*itemdriver.Task
	for _, task := range waiting {
		if !driver.begin(task, own, now) {
			left = append(left, task)
		}
	}
	driver.lock.Lock()
	driver.waiting = append(left, driver.waiting...)
	driver.lock.Unlock()
}

// begin starts a task at a worker or gives it back; false while it waits on.
func (driver *driver) begin(task *itemdriver.Task, own map[string]bool, now clock.Moment) bool {
	route := itemRoute(driver.server.Node.Config(), task.Item)
	driver.lock.Lock()
	unfit := driver.leaving || !task.May(now) || now.Since(task.Since) > constants.BeginPatience
	driver.lock.Unlock()
	if route == nil || unfit {
		driver.giveBack(task)
		return true
	}
	item := task.Item
	ask := &admission.Ask{Service: route.Choose(clock.Draw()), Affine: route.Affine, Bulk: true, Priority: route.Priority, Setpoint: route.Setpoint(), Among: own,
		Prompt: prefixindex.ParsePrompt(item.Headers["Lemonarch-Model"], item.Headers["Lemonarch-Token-Count"], item.Headers["Lemonarch-Prompt-Prefix"])}
	answer, _ := driver.server.Gossip.Scheduler.Admit(ask, nil, now)
	if answer.Verdict != admission.VerdictGranted {
		return false
	}
	driver.lock.Lock()
	may := task.May(clock.Now()) && !driver.leaving
	task.Begun = may
	owed, displaceable := item.Owed, item.Displaced < constants.DisplaceLimit
	driver.lock.Unlock()
	if !may {
		answer.Grant.End(admission.ResultCalledOff, now)
		driver.giveBack(task)
		return true
	}
	if owed {
		driver.server.Gossip.Scheduler.Counters(route.Name).Resumed.Add(1)
	}
	if displaceable {
		answer.Grant.MayYield(func() { driver.yield(task) })
	}
	go driver.drive(route, task, answer.Grant)
	ring(driver.bell)
	return true
}

// giveBack releases an item that was not begun.
func (driver *driver) giveBack(task *itemdriver.Task) {
	driver.lock.Lock()
	task.Item.SetBack(task.Run)
	driver.lock.Unlock()
	driver.done(task, messages.Acknowledgement{Kind: messages.AckRelease, Unbegun: true})
}
