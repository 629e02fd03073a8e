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
	leaving  bool
	owned    ownership
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
	question := &pattern.Acquire{Driver: own.Name, Life: own.Life, Address: own.Address, Room: room, HoldMs: int(almanac.AcquireHold.Milliseconds())}
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
	driver.lock.Lock()
	driver.lockSpan = watch.Milliseconds(answer.LockMs)
	driver.waiting = append(driver.waiting, driver.core.Take(answer, asked, now)...)
	driver.lock.Unlock()
	driver.place()
	return true
}

// tend places what waits, stops what may not go on, and renews the locks.
func (driver *driver) tend() {
	now := watch.Now()
	driver.lock.Lock()
	driver.halt(driver.core.Lapsed(now))
	due := !driver.renewing && now.Since(driver.renewed) >= driver.lockSpan/almanac.RenewPart
	var entries []pattern.Acknowledgement
	if due {
		entries = driver.core.Renewals(now)
		driver.renewed = now
		driver.renewing = len(entries) > 0
	}
	driver.lock.Unlock()
	if len(entries) > 0 {
		go driver.renew(entries)
	}
	driver.place()
}

// renew asks for all locks in one message.
func (driver *driver) renew(entries []pattern.Acknowledgement) {
	asked := watch.Now()
	answer := driver.acknowledge(entries, almanac.CallTime/2)
	driver.lock.Lock()
	defer driver.lock.Unlock()
	driver.renewing = false
	if answer == nil {
		// Asked again at once: the duty may have changed hands.
		driver.renewed = 0
		return
	}
	driver.halt(driver.core.Renewed(entries, answer.Verdicts, asked, driver.lockSpan))
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

// acknowledge carries a batch to the dispatcher; nil when it was not answered.
func (driver *driver) acknowledge(entries []pattern.Acknowledgement, span watch.Span) *pattern.Acknowledged {
	own, holder := driver.locker.Stand.Own, driver.locker.holder()
	question := &pattern.Acknowledge{Driver: own.Name, Life: own.Life, Address: own.Address, Entries: entries}
	answer := &pattern.Acknowledged{}
	if holder == own.Address {
		answer = driver.locker.acknowledge(question)
	} else if holder == "" || tongs.Ask(driver.locker.Stand.Wire, holder, pattern.KindAcknowledge, question, answer, span) != nil {
		return nil
	}
	if answer.Elsewhere {
		return nil
	}
	return answer
}

// acknowledgeLoop repeats acknowledgements until they are answered.
func (driver *driver) acknowledgeLoop(bell chan struct{}, gather func() []pattern.Acknowledgement) {
	stop := driver.locker.Stand.Stop
	for {
		select {
		case <-stop:
			return
		case <-bell:
		case <-watch.After(almanac.AcquireHold):
		}
		for {
			driver.lock.Lock()
			batch := gather()
			driver.lock.Unlock()
			if len(batch) == 0 {
				break
			}
			pause := almanac.AckGather
			if answer := driver.acknowledge(batch, almanac.RoundTime+almanac.CallTime); answer != nil {
				driver.lock.Lock()
				driver.core.Answered(batch, answer.Verdicts)
				driver.lock.Unlock()
			} else {
				pause = almanac.AckPause
			}
			select {
			case <-stop:
				return
			case <-watch.After(pause):
			}
		}
	}
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
