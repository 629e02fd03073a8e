package store

import (
	"sync"

	"lemonarch/internal/batch/itemdriver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/workerconn"
)

// driver runs items on the workers that this process owns for lots.
type driver struct {
	server      *Server
	lock        sync.Mutex
	core        *itemdriver.Runner
	connections map[*itemdriver.Task]*workerconn.Connection
	waiting     []*itemdriver.Task
	bell        chan struct{}
	results     chan struct{}
	returns     chan struct{}
	// lockSpan is the lock's length as the dispatcher last told it; renewed is when
	// the locks were last renewed.
	lockSpan clock.Span
	renewed  clock.Moment
	renewing bool
	// shown is the latest epoch whose holder was told all that we hold.
	shown   uint64
	leaving bool
	owned   ownership
	// drivers is the dispatcher's list, as of a version and a moment.
	drivers   []messages.DriverAt
	version   uint64
	driversAt clock.Moment
}

func newDriver(server *Server) *driver {
	return &driver{server: server, core: itemdriver.New(), connections: map[*itemdriver.Task]*workerconn.Connection{}, bell: make(chan struct{}, 1),
		results: make(chan struct{}, 1), returns: make(chan struct{}, 1), lockSpan: lockLength(server.Node.Settings.Tolerances.CancelMs)}
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
	go clock.Every(constants.TickPeriod, driver.server.Node.Stop, driver.tend)
}

// holder is the address of the dispatcher, or nothing.
func (server *Server) holder() string {
	if server.current() != nil {
		return server.Node.Own.Address
	}
	return server.elsewhere().Holder
}

// holderEpoch is the epoch of the dispatcher, as far as we know.
func (server *Server) holderEpoch() uint64 {
	if current := server.current(); current != nil {
		return current.duty.Epoch
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	return server.told.Epoch
}

// acquireLoop keeps as many items as there are places for.
func (driver *driver) acquireLoop() {
	stop := driver.server.Node.Stop
	for {
		room, holder := driver.room(), driver.server.holder()
		pause := clock.Span(0)
		if len(room) == 0 || holder == "" {
			pause = constants.TickPeriod
		} else if !driver.acquire(holder, room) {
			pause = constants.AckPause
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
			case <-clock.After(pause):
			}
		}
	}
}

// acquire asks once; false when the dispatcher could not be asked.
func (driver *driver) acquire(holder string, room []messages.ServiceRoom) bool {
	own := driver.server.Node.Own
	question := &messages.Acquire{Driver: own.Name, Life: own.Life, Address: own.Address, Zone: own.Zone, Room: room,
		HoldMs: int(constants.AcquireHold.Milliseconds()), Known: driver.known()}
	answer := &messages.Acquired{}
	asked := clock.Now()
	if holder == own.Address {
		answer = driver.server.acquire(question)
	} else if transport.Ask(driver.server.Node.Wire, holder, messages.KindAcquire, question, answer, constants.AcquireHold+constants.CallTime) != nil {
		return false
	}
	if answer.Elsewhere {
		return false
	}
	now := clock.Now()
	driver.listed(answer.Version, answer.Drivers, now)
	driver.lock.Lock()
	driver.lockSpan = clock.Milliseconds(answer.LockMs)
	driver.waiting = append(driver.waiting, driver.core.Take(answer, asked, now)...)
	driver.lock.Unlock()
	driver.place()
	return true
}

// tend places what waits, stops what may not go on, and renews the locks.
func (driver *driver) tend() {
	now, epoch := clock.Now(), driver.server.holderEpoch()
	driver.lock.Lock()
	driver.halt(driver.core.Lapsed(now))
	due := !driver.renewing && now.Since(driver.renewed) >= driver.lockSpan/constants.RenewPart
	// A new holder is shown at once what we hold.
	due = due || epoch > driver.shown
	var entries []messages.Acknowledgement
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
func (driver *driver) halt(tasks []*itemdriver.Task) {
	for _, task := range tasks {
		if connection := driver.connections[task]; connection != nil {
			connection.Close()
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
	end := clock.Now().Plus(constants.HoldTime)
	for clock.Now() < end {
		driver.lock.Lock()
		all, _ := driver.core.Count()
		owing := driver.core.Owing()
		driver.lock.Unlock()
		if all == 0 && owing == 0 {
			return
		}
		clock.Sleep(constants.TickPeriod / 2)
	}
}
