package store

import (
	"sync"

	"lemonarch/internal/batch/executor"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/workerconn"
)

// executorLoop runs items on the workers that this process owns for lots.
type executorLoop struct {
	server      *Server
	lock        sync.Mutex
	core        *executor.Runner
	connections map[*executor.Task]*workerconn.Connection
	waiting     []*executor.Task
	wake        chan struct{}
	results     chan struct{}
	releases    chan struct{}
	// lockDuration is the lock's length as the dispatcher last told it; renewed is when
	// the locks were last renewed.
	lockDuration clock.Duration
	renewedAt    clock.Instant
	renewing     bool
	// reportedEpoch is the latest epoch whose holder was told all that we hold.
	reportedEpoch uint64
	draining      bool
	ownership     workerOwnership
	// executors is the dispatcher's list, as of a version and a moment.
	executors   []messages.ExecutorInfo
	version     uint64
	executorsAt clock.Instant
}

func newExecutorLoop(server *Server) *executorLoop {
	return &executorLoop{server: server, core: executor.New(), connections: map[*executor.Task]*workerconn.Connection{}, wake: make(chan struct{}, 1),
		results: make(chan struct{}, 1), releases: make(chan struct{}, 1), lockDuration: lockDuration(server.Node.Settings.Tolerances.CancelMs)}
}

// signal wakes a loop; one ring is kept while it is at work.
func signal(changed chan struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

// runLoops begins the loops.
func (d *executorLoop) runLoops() {
	go d.acquireLoop()
	go d.acknowledgeLoop(d.results, d.core.Results)
	go d.acknowledgeLoop(d.releases, d.core.Releases)
	go clock.Every(constants.TickPeriod, d.server.Node.Stop, d.maintain)
}

// leaderAddress is the address of the dispatcher, or nothing.
func (s *Server) leaderAddress() string {
	if s.current() != nil {
		return s.Node.Self.Address
	}
	return s.notLeader().Leader
}

// leaderEpoch is the epoch of the dispatcher, as far as we know.
func (s *Server) leaderEpoch() uint64 {
	if current := s.current(); current != nil {
		return current.leadership.Epoch
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.announced.Epoch
}

// acquireLoop keeps as many items as there are places for.
func (d *executorLoop) acquireLoop() {
	stop := d.server.Node.Stop
	for {
		freeCapacity, leader := d.freeCapacity(), d.server.leaderAddress()
		backoff := clock.Duration(0)
		if len(freeCapacity) == 0 || leader == "" {
			backoff = constants.TickPeriod
		} else if !d.acquire(leader, freeCapacity) {
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
			case <-d.wake:
			case <-clock.After(backoff):
			}
		}
	}
}

// acquire asks once; false when the dispatcher could not be asked.
func (d *executorLoop) acquire(leader string, freeCapacity []messages.ServiceCapacity) bool {
	own := d.server.Node.Self
	req := &messages.AcquireRequest{Executor: own.Name, Incarnation: own.Incarnation, Address: own.Address, Zone: own.Zone, Capacity: freeCapacity,
		WaitMs: int(constants.AcquireWait.Milliseconds()), KnownVersion: d.knownVersion()}
	resp := &messages.AcquireResponse{}
	sentAt := clock.Now()
	if leader == own.Address {
		resp = d.server.acquire(req)
	} else if transport.Call(d.server.Node.Transport, leader, messages.KindAcquire, req, resp, constants.AcquireWait+constants.CallTimeout) != nil {
		return false
	}
	if resp.NotLeader {
		return false
	}
	now := clock.Now()
	d.updateExecutors(resp.Version, resp.Executors, now)
	d.lock.Lock()
	d.lockDuration = clock.Milliseconds(resp.LockMs)
	d.waiting = append(d.waiting, d.core.Add(resp, sentAt, now)...)
	d.lock.Unlock()
	d.place()
	return true
}

// maintain places what waits, stops what may not go on, and renews the locks.
func (d *executorLoop) maintain() {
	now, epoch := clock.Now(), d.server.leaderEpoch()
	d.lock.Lock()
	d.stopRunsLocked(d.core.Lapsed(now))
	due := !d.renewing && now.Sub(d.renewedAt) >= d.lockDuration/constants.RenewalsPerLock
	// A new holder is shown at once what we hold.
	due = due || epoch > d.reportedEpoch
	var entries []messages.Acknowledgement
	if due {
		// With nothing to renew it still says that this driver is there.
		entries = d.core.Renewals(now)
		d.core.Fence(epoch)
		d.reportedEpoch = max(d.reportedEpoch, epoch)
		d.renewedAt = now
		d.renewing = true
	}
	d.lock.Unlock()
	if due {
		go d.renew(entries, epoch)
	}
	d.place()
}

// stopRunsLocked breaks runs off; each sets its item back by itself. The lock is held.
func (d *executorLoop) stopRunsLocked(tasks []*executor.Task) {
	for _, task := range tasks {
		if connection := d.connections[task]; connection != nil {
			connection.Close()
		}
	}
}

// stopJob breaks off whatever runs of a lot.
func (d *executorLoop) stopJob(jobID string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.stopRunsLocked(d.core.StopJob(jobID))
}

// drain gives everything back before the process ends.
func (d *executorLoop) drain() {
	d.lock.Lock()
	d.draining = true
	for _, task := range d.core.All() {
		d.stopRunsLocked(d.core.Stop(task))
	}
	d.lock.Unlock()
	d.place()
	end := clock.Now().Add(constants.LeaseDuration)
	for clock.Now() < end {
		d.lock.Lock()
		all, _ := d.core.Count()
		owing := d.core.Unacknowledged()
		d.lock.Unlock()
		if all == 0 && owing == 0 {
			return
		}
		clock.Sleep(constants.TickPeriod / 2)
	}
}
