package locker

import (
	"hash/fnv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/apprentice"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/plumbline"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// ownership is which workers this process places items at. Each worker is owned by
// one locker as far as the lockers see each other: of those in its hall, else of
// all, the one with the highest hash. So drivers need not agree on each place, and a
// driver that sees few others owns more.
type ownership struct {
	at      watch.Moment
	workers map[string]bool
}

// owner picks the owner of a worker among lockers (name to hall).
func owner(worker, hall string, lockers map[string]string) string {
	best, most, near := "", uint64(0), false
	for name, at := range lockers {
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
		here := at == hall
		if best == "" || (here && !near) || (here == near && (hash > most || (hash == most && name < best))) {
			best, most, near = name, hash, here
		}
	}
	return best
}

// own gives the workers that are ours now.
func (driver *driver) own(now watch.Moment) map[string]bool {
	driver.lock.Lock()
	if driver.owned.workers != nil && driver.owned.at > 0 && now.Since(driver.owned.at) < almanac.OwnPeriod {
		defer driver.lock.Unlock()
		return driver.owned.workers
	}
	driver.lock.Unlock()
	stand := driver.locker.Stand
	lockers := map[string]string{stand.Own.Name: stand.Own.Hall}
	if !driver.shared(lockers, now) {
		for _, entry := range stand.Live(bellows.RoleLocker) {
			if !entry.Leaving {
				lockers[entry.Name] = entry.Hall
			}
		}
	}
	workers := map[string]bool{}
	for _, worker := range driver.locker.Jointer.Bench.Workers(now) {
		if owner(worker.ID, worker.Hall, lockers) == stand.Own.Name {
			workers[worker.ID] = true
		}
	}
	driver.locker.Jointer.Bench.SetBulkOwn(workers)
	driver.lock.Lock()
	defer driver.lock.Unlock()
	driver.owned = ownership{now, workers}
	return workers
}

// known is the version of the list of drivers that we have.
func (driver *driver) known() uint64 {
	driver.lock.Lock()
	defer driver.lock.Unlock()
	return driver.version
}

// listed takes the dispatcher's list of drivers, which comes where it is new.
func (driver *driver) listed(version uint64, drivers []pattern.DriverAt, now watch.Moment) {
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
func (driver *driver) shared(lockers map[string]string, now watch.Moment) bool {
	driver.lock.Lock()
	defer driver.lock.Unlock()
	if driver.version == 0 || now.Since(driver.driversAt) >= almanac.SilentAfter {
		return false
	}
	for _, one := range driver.drivers {
		lockers[one.Name] = one.Hall
	}
	return true
}

// room is how many items to ask for: one for each worker of ours with a place left,
// beside those that wait already.
func (driver *driver) room() []pattern.ServiceRoom {
	config, now := driver.locker.Stand.Config(), watch.Now()
	if config == nil {
		return nil
	}
	own := driver.own(now)
	driver.lock.Lock()
	all, waiting := driver.core.Count()
	leaving := driver.leaving
	driver.lock.Unlock()
	if leaving || all >= almanac.RunningItems {
		return nil
	}
	counts := map[string]int{}
	for place := range config.Routes {
		route := &config.Routes[place]
		if route.Kind() != pattern.RouteBulk {
			continue
		}
		for _, service := range route.Services() {
			free := driver.locker.Jointer.Bench.BulkRoom(&workbench.Ask{Service: service, Bulk: true, Priority: route.Priority, Among: own}, now)
			counts[service] = max(counts[service], free)
		}
	}
	var room []pattern.ServiceRoom
	for service, count := range counts {
		if count > waiting {
			room = append(room, pattern.ServiceRoom{Service: service, Count: count - waiting})
		}
	}
	return room
}

// place finds workers for what waits. What finds none for a while goes back.
func (driver *driver) place() {
	now := watch.Now()
	own := driver.own(now)
	driver.lock.Lock()
	waiting := driver.waiting
	driver.waiting = nil
	driver.lock.Unlock()
	if len(waiting) == 0 {
		return
	}
	var left []*apprentice.Task
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
func (driver *driver) begin(task *apprentice.Task, own map[string]bool, now watch.Moment) bool {
	route := itemRoute(driver.locker.Stand.Config(), task.Item)
	driver.lock.Lock()
	unfit := driver.leaving || !task.May(now) || now.Since(task.Since) > almanac.BeginPatience
	driver.lock.Unlock()
	if route == nil || unfit {
		driver.giveBack(task)
		return true
	}
	item := task.Item
	ask := &workbench.Ask{Service: route.Nominate(watch.Draw()), Affine: route.Affine, Bulk: true, Priority: route.Priority, Setpoint: route.Setpoint(), Among: own,
		Prompt: plumbline.ParsePrompt(item.Headers["Lemonarch-Model"], item.Headers["Lemonarch-Token-Count"], item.Headers["Lemonarch-Prompt-Prefix"])}
	answer, _ := driver.locker.Jointer.Bench.Admit(ask, nil, now)
	if answer.Verdict != workbench.VerdictGranted {
		return false
	}
	driver.lock.Lock()
	may := task.May(watch.Now()) && !driver.leaving
	task.Begun = may
	owed, displaceable := item.Owed, item.Displaced < almanac.DisplaceLimit
	driver.lock.Unlock()
	if !may {
		answer.Grant.End(workbench.OutcomeCalledOff, now)
		driver.giveBack(task)
		return true
	}
	if owed {
		driver.locker.Jointer.Bench.Tally(route.Name).Resumed.Add(1)
	}
	if displaceable {
		answer.Grant.MayYield(func() { driver.yield(task) })
	}
	go driver.drive(route, task, answer.Grant)
	ring(driver.bell)
	return true
}

// giveBack releases an item that was not begun.
func (driver *driver) giveBack(task *apprentice.Task) {
	driver.lock.Lock()
	task.Item.SetBack(task.Run)
	driver.lock.Unlock()
	driver.done(task, pattern.Acknowledgement{Kind: pattern.AckRelease, Unbegun: true})
}
