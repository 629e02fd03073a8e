// Package executorserver runs items of batch jobs in a store process: it acquires items from
// the dispatcher, places each on a worker that this process owns, gathers the events of the
// worker's answer, renews the locks meanwhile, and acknowledges how each run ended. What is
// held and owed, without I/O, is package executor.
package executorserver

import (
	"sync"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/executor"
	"lemonarch/internal/control/agent"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/loadgossip"
	"lemonarch/internal/traffic/workerconn"
)

// Locator finds the leader.
type Locator interface {
	// LeaderAddress is the leader's address, empty where none is known.
	LeaderAddress() string
	// LeaderEpoch is the leader's epoch, as far as this process knows.
	LeaderEpoch() uint64
}

// Leader is the dispatcher of items, in this process or in another.
type Leader interface {
	Locator
	// Acquire and Acknowledge are the leader's side where this process leads.
	Acquire(req *messages.AcquireRequest) *messages.AcquireResponse
	Acknowledge(req *messages.AcknowledgeRequest) *messages.AcknowledgeResponse
}

// Server runs items on the workers that this process owns for batch jobs.
type Server struct {
	node    *agent.Agent
	gossip  *loadgossip.Gossip
	leader  Leader
	signals signals

	// lock guards the fields below.
	lock   sync.Mutex
	runner *executor.Runner
	// connections are those to workers that run a task now; closing one breaks the run off.
	connections map[*executor.Task]*workerconn.Connection
	// waiting are the tasks that have no worker yet.
	waiting  []*executor.Task
	locks    locks
	draining bool
	owned    workerOwnership
	peers    executorList
}

// signals wake the loops; each keeps one signal while its loop is at work.
type signals struct {
	// wake is for the loop that acquires, results and releases for those that acknowledge.
	wake, results, releases chan struct{}
}

// locks is the state of the locks of all acquisitions here.
type locks struct {
	// duration is a lock's length as the dispatcher last gave it.
	duration clock.Duration
	// renewedAt is when the locks were last renewed, renewing set while a renewal is under way.
	renewedAt clock.Instant
	renewing  bool
	// reportedEpoch is the latest epoch whose leader was told all that is held here.
	reportedEpoch uint64
}

// executorList is the dispatcher's list of executors, as of a version and an instant.
type executorList struct {
	list       []messages.ExecutorInfo
	version    uint64
	receivedAt clock.Instant
}

// New makes a server that holds nothing.
func New(gossip *loadgossip.Gossip, leader Leader) *Server {
	return &Server{node: gossip.Node, gossip: gossip, leader: leader, runner: executor.New(),
		connections: map[*executor.Task]*workerconn.Connection{},
		signals:     signals{wake: make(chan struct{}, 1), results: make(chan struct{}, 1), releases: make(chan struct{}, 1)},
		locks:       locks{duration: dispatch.LockDuration(gossip.Node.Settings.Tolerances.CancelMs)}}
}

// signal wakes a loop; one signal is kept while the loop is at work.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Start begins the loops, which end with the process's Stop.
func (s *Server) Start() {
	go s.acquireLoop()
	go s.acknowledgeLoop(s.signals.results, constants.ResultGatherTime, s.runner.Results)
	go s.acknowledgeLoop(s.signals.releases, 0, s.runner.Releases)
	go clock.Every(constants.TickPeriod, s.node.Stop, s.maintain)
}

// acquireLoop keeps as many items as there are free slots for.
func (s *Server) acquireLoop() {
	stop := s.node.Stop
	for {
		freeCapacity, leader := s.freeCapacity(), s.leader.LeaderAddress()
		backoff := clock.Duration(0)
		if len(freeCapacity) == 0 || leader == "" {
			backoff = constants.TickPeriod
		} else if !s.acquire(leader, freeCapacity) {
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
			case <-s.signals.wake:
			case <-clock.After(backoff):
			}
		}
	}
}

// acquire asks once; false when the dispatcher could not be asked.
func (s *Server) acquire(leader string, freeCapacity []messages.ServiceCapacity) bool {
	own := s.node.Self
	req := &messages.AcquireRequest{Executor: own.Name, Incarnation: own.Incarnation, Address: own.Address, Zone: own.Zone, Capacity: freeCapacity,
		WaitMs: int(constants.AcquireWait.Milliseconds()), KnownVersion: s.knownVersion()}
	resp := &messages.AcquireResponse{}
	sentAt := clock.Now()
	if leader == own.Address {
		resp = s.leader.Acquire(req)
	} else if transport.Call(s.node.Transport, leader, messages.KindAcquire, req, resp, constants.AcquireWait+constants.CallTimeout) != nil {
		return false
	}
	if resp.NotLeader {
		return false
	}
	now := clock.Now()
	s.updateExecutors(resp.Version, resp.Executors, now)
	s.lock.Lock()
	s.locks.duration = clock.Milliseconds(resp.LockMs)
	s.waiting = append(s.waiting, s.runner.Add(resp, sentAt, now)...)
	s.lock.Unlock()
	s.placeWaiting()
	return true
}

// maintain places what waits, stops what may not go on, and renews the locks.
func (s *Server) maintain() {
	now, epoch := clock.Now(), s.leader.LeaderEpoch()
	s.lock.Lock()
	s.stopRunsLocked(s.runner.Lapsed(now))
	due := !s.locks.renewing && now.Sub(s.locks.renewedAt) >= s.locks.duration/constants.RenewalsPerLock
	// A new leader is shown at once what we hold.
	due = due || epoch > s.locks.reportedEpoch
	var entries []messages.Acknowledgement
	if due {
		// With nothing to renew it still says that this executor is there.
		entries = s.runner.Renewals(now)
		s.runner.DropBefore(epoch)
		s.locks.reportedEpoch = max(s.locks.reportedEpoch, epoch)
		s.locks.renewedAt = now
		s.locks.renewing = true
	}
	s.lock.Unlock()
	if due {
		go s.renew(entries, epoch)
	}
	s.placeWaiting()
}

// stopRunsLocked breaks runs off; each requeues its item by itself. The lock is held.
func (s *Server) stopRunsLocked(tasks []*executor.Task) {
	for _, task := range tasks {
		if connection := s.connections[task]; connection != nil {
			connection.Close()
		}
	}
}

// StopJob breaks off whatever runs of a job.
func (s *Server) StopJob(jobID string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.stopRunsLocked(s.runner.StopJob(jobID))
}

// Drain gives everything back before the process ends.
func (s *Server) Drain() {
	s.lock.Lock()
	s.draining = true
	for _, task := range s.runner.All() {
		s.stopRunsLocked(s.runner.Stop(task))
	}
	s.lock.Unlock()
	s.placeWaiting()
	end := clock.Now().Add(constants.LeaseDuration)
	for clock.Now() < end {
		s.lock.Lock()
		all, _ := s.runner.Count()
		owing := s.runner.Unacknowledged()
		s.lock.Unlock()
		if all == 0 && owing == 0 {
			return
		}
		clock.Sleep(constants.TickPeriod / 2)
	}
}
