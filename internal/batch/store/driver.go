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
	lockSpan clock.Duration
	renewed  clock.Instant
	renewing bool
	// shown is the latest epoch whose holder was told all that we hold.
	shown   uint64
	leaving bool
	owned   ownership
	// drivers is the dispatcher's list, as of a version and a moment.
	drivers   []messages.ExecutorInfo
	version   uint64
	driversAt clock.Instant
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
func (d *driver) run() {
	go d.acquireLoop()
	go d.acknowledgeLoop(d.results, d.core.Results)
	go d.acknowledgeLoop(d.returns, d.core.Returns)
	go clock.Every(constants.TickPeriod, d.server.Node.Stop, d.tend)
}

// holder is the address of the dispatcher, or nothing.
func (s *Server) holder() string {
	if s.current() != nil {
		return s.Node.Self.Address
	}
	return s.elsewhere().Leader
}

// holderEpoch is the epoch of the dispatcher, as far as we know.
func (s *Server) holderEpoch() uint64 {
	if current := s.current(); current != nil {
		return current.duty.Epoch
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.told.Epoch
}

// acquireLoop keeps as many items as there are places for.
func (d *driver) acquireLoop() {
	stop := d.server.Node.Stop
	for {
		room, holder := d.room(), d.server.holder()
		backoff := clock.Duration(0)
		if len(room) == 0 || holder == "" {
			backoff = constants.TickPeriod
		} else if !d.acquire(holder, room) {
			backoff = constants.AckBackoff
		}
		select {
		case <-stop:
			return
		default:
		}
		if backoff > 0 {
			select {
			case <-stop:
				return
			case <-d.bell:
			case <-clock.After(backoff):
			}
		}
	}
}

// acquire asks once; false when the dispatcher could not be asked.
func (d *driver) acquire(holder string, room []messages.ServiceCapacity) bool {
	own := d.server.Node.Self
	req := &messages.AcquireRequest{Executor: own.Name, Incarnation: own.Incarnation, Address: own.Address, Zone: own.Zone, Capacity: room,
		WaitMs: int(constants.AcquireWait.Milliseconds()), KnownVersion: d.known()}
	resp := &messages.AcquireResponse{}
	sentAt := clock.Now()
	if holder == own.Address {
		resp = d.server.acquire(req)
	} else if transport.Call(d.server.Node.Transport, holder, messages.KindAcquire, req, resp, constants.AcquireWait+constants.CallTimeout) != nil {
		return false
	}
	if resp.NotLeader {
		return false
	}
	now := clock.Now()
	d.listed(resp.Version, resp.Executors, now)
	d.lock.Lock()
	d.lockSpan = clock.Milliseconds(resp.LockMs)
	d.waiting = append(d.waiting, d.core.Take(resp, sentAt, now)...)
	d.lock.Unlock()
	d.place()
	return true
}

// tend places what waits, stops what may not go on, and renews the locks.
func (d *driver) tend() {
	now, epoch := clock.Now(), d.server.holderEpoch()
	d.lock.Lock()
	d.halt(d.core.Lapsed(now))
	due := !d.renewing && now.Sub(d.renewed) >= d.lockSpan/constants.RenewalsPerLock
	// A new holder is shown at once what we hold.
	due = due || epoch > d.shown
	var entries []messages.Acknowledgement
	if due {
		// With nothing to renew it still says that this driver is there.
		entries = d.core.Renewals(now)
		d.core.Fence(epoch)
		d.shown = max(d.shown, epoch)
		d.renewed = now
		d.renewing = true
	}
	d.lock.Unlock()
	if due {
		go d.renew(entries, epoch)
	}
	d.place()
}

// halt breaks runs off; each sets its item back by itself. The lock is held.
func (d *driver) halt(tasks []*itemdriver.Task) {
	for _, task := range tasks {
		if connection := d.connections[task]; connection != nil {
			connection.Close()
		}
	}
}

// stopLot breaks off whatever runs of a lot.
func (d *driver) stopLot(lot string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.halt(d.core.StopLot(lot))
}

// leave gives everything back before the process ends.
func (d *driver) leave() {
	d.lock.Lock()
	d.leaving = true
	for _, task := range d.core.All() {
		d.halt(d.core.Stop(task))
	}
	d.lock.Unlock()
	d.place()
	end := clock.Now().Add(constants.LeaseDuration)
	for clock.Now() < end {
		d.lock.Lock()
		all, _ := d.core.Count()
		owing := d.core.Owing()
		d.lock.Unlock()
		if all == 0 && owing == 0 {
			return
		}
		clock.Sleep(constants.TickPeriod / 2)
	}
}
