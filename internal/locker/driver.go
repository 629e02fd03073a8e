package locker

import (
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/apprentice"
	"lemonarch/internal/chisel"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// driver runs items on the workers that this process owns for lots.
type driver struct {
	locker  *Locker
	lock    sync.Mutex
	core    *apprentice.Apprentice
	pipes   map[*apprentice.Task]*chisel.Pipe
	waiting []*apprentice.Task
	bell    chan struct{}
	results chan struct{}
	returns chan struct{}
	// lockSpan is the lock's length as the dispatcher last told it; renewed is when
	// the locks were last renewed.
	lockSpan watch.Span
	renewed  watch.Moment
	renewing bool
	// shown is the latest epoch whose holder was told all that we hold.
	shown   uint64
	leaving bool
	owned   ownership
	// drivers is the dispatcher's list, as of a version and a moment.
	drivers   []pattern.DriverAt
	version   uint64
	driversAt watch.Moment
}

func newDriver(locker *Locker) *driver {
	return &driver{locker: locker, core: apprentice.New(), pipes: map[*apprentice.Task]*chisel.Pipe{}, bell: make(chan struct{}, 1),
		results: make(chan struct{}, 1), returns: make(chan struct{}, 1), lockSpan: lockLength(locker.Stand.Boot.Tolerances.CancelMs)}
}

// ring wakes a loop; one ring is kept while it is at work.
func ring(bell chan struct{}) {
	select {
	case bell <- struct{}{}:
	default:
	}
}

// run begins the loops.
func (driver *driver) run() {
	go driver.acquireLoop()
	go driver.acknowledgeLoop(driver.results, driver.core.Results)
	go driver.acknowledgeLoop(driver.returns, driver.core.Returns)
	go watch.Every(almanac.TickPeriod, driver.locker.Stand.Stop, driver.tend)
}

// holder is the address of the dispatcher, or nothing.
func (locker *Locker) holder() string {
	if locker.current() != nil {
		return locker.Stand.Own.Address
	}
	return locker.elsewhere().Holder
}

// holderEpoch is the epoch of the dispatcher, as far as we know.
func (locker *Locker) holderEpoch() uint64 {
	if current := locker.current(); current != nil {
		return current.duty.Epoch
	}
	locker.lock.Lock()
	defer locker.lock.Unlock()
	return locker.told.Epoch
}

// acquireLoop keeps as many items as there are places for.
func (driver *driver) acquireLoop() {
	stop := driver.locker.Stand.Stop
	for {
		room, holder := driver.room(), driver.locker.holder()
		pause := watch.Span(0)
		if len(room) == 0 || holder == "" {
			pause = almanac.TickPeriod
		} else if !driver.acquire(holder, room) {
			pause = almanac.AckPause
		}
		select {
		case <-stop:
			return
		default:
		}
		if pause > 0 {
			select {
			case <-stop:
				return
			case <-driver.bell:
			case <-watch.After(pause):
			}
		}
	}
}

// acquire asks once; false when the dispatcher could not be asked.
func (driver *driver) acquire(holder string, room []pattern.ServiceRoom) bool {
	own := driver.locker.Stand.Own
	question := &pattern.Acquire{Driver: own.Name, Life: own.Life, Address: own.Address, Hall: own.Hall, Room: room,
		HoldMs: int(almanac.AcquireHold.Milliseconds()), Known: driver.known()}
	answer := &pattern.Acquired{}
	asked := watch.Now()
	if holder == own.Address {
		answer = driver.locker.acquire(question)
	} else if tongs.Ask(driver.locker.Stand.Wire, holder, pattern.KindAcquire, question, answer, almanac.AcquireHold+almanac.CallTime) != nil {
		return false
	}
	if answer.Elsewhere {
		return false
	}
	now := watch.Now()
	driver.listed(answer.Version, answer.Drivers, now)
	driver.lock.Lock()
	driver.lockSpan = watch.Milliseconds(answer.LockMs)
	driver.waiting = append(driver.waiting, driver.core.Take(answer, asked, now)...)
	driver.lock.Unlock()
	driver.place()
	return true
}

// tend places what waits, stops what may not go on, and renews the locks.
func (driver *driver) tend() {
	now, epoch := watch.Now(), driver.locker.holderEpoch()
	driver.lock.Lock()
	driver.halt(driver.core.Lapsed(now))
	due := !driver.renewing && now.Since(driver.renewed) >= driver.lockSpan/almanac.RenewPart
	// A new holder is shown at once what we hold.
	due = due || epoch > driver.shown
	var entries []pattern.Acknowledgement
	if due {
		// With nothing to renew it still says that this driver is there.
		entries = driver.core.Renewals(now)
		driver.core.Fence(epoch)
		driver.shown = max(driver.shown, epoch)
		driver.renewed = now
		driver.renewing = true
	}
	driver.lock.Unlock()
	if due {
		go driver.renew(entries, epoch)
	}
	driver.place()
}

// halt breaks runs off; each sets its item back by itself. The lock is held.
func (driver *driver) halt(tasks []*apprentice.Task) {
	for _, task := range tasks {
		if pipe := driver.pipes[task]; pipe != nil {
			pipe.Close()
		}
	}
}

// stopLot breaks off whatever runs of a lot.
func (driver *driver) stopLot(lot string) {
	driver.lock.Lock()
	defer driver.lock.Unlock()
	driver.halt(driver.core.StopLot(lot))
}

// leave gives everything back before the process ends.
func (driver *driver) leave() {
	driver.lock.Lock()
	driver.leaving = true
	for _, task := range driver.core.All() {
		driver.halt(driver.core.Stop(task))
	}
	driver.lock.Unlock()
	driver.place()
	end := watch.Now().Plus(almanac.HoldTime)
	for watch.Now() < end {
		driver.lock.Lock()
		all, _ := driver.core.Count()
		owing := driver.core.Owing()
		driver.lock.Unlock()
		if all == 0 && owing == 0 {
			return
		}
		watch.Sleep(almanac.TickPeriod / 2)
	}
}
