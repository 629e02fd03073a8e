// Package executorserver runs items of batch jobs in a store process: it acquires items from
// the dispatcher, places each on a worker that this process owns, collects the events of the
// worker's response, renews the locks meanwhile, and acknowledges the result of each run.
// Package executor tracks the acquired items and pending acknowledgements, without I/O.
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

// Locator provides the address and the epoch of the leader.
type Locator interface {
	// LeaderAddress returns the leader's address, or an empty string if none is known.
	LeaderAddress() string
	// LeaderEpoch returns the latest leader epoch that this process knows.
	LeaderEpoch() uint64
}

// Leader is the dispatcher of items, in this process or in another.
type Leader interface {
	Locator
	// Acquire processes an acquire request in this process, which is used when it is the leader.
	Acquire(req *messages.AcquireRequest) *messages.AcquireResponse
	// Acknowledge processes an acknowledge request in this process, as Acquire does.
	Acknowledge(req *messages.AcknowledgeRequest) *messages.AcknowledgeResponse
}

// Server runs items of batch jobs on the workers that this process owns.
type Server struct {
	node    *agent.Agent
	gossip  *loadgossip.Gossip
	leader  Leader
	signals signals

	// lock guards the fields below.
	lock   sync.Mutex
	runner *executor.Runner
	// connections are the connections to the workers that run a task now; closing one aborts the run.
	connections map[*executor.Task]*workerconn.Connection
	// waiting are the tasks without a worker.
	waiting  []*executor.Task
	locks    locks
	draining bool
	owned    workerOwnership
	peers    executorList
}

// signals wake the loops. Each channel buffers one signal while its loop is busy.
type signals struct {
	// wake wakes the acquire loop, results and releases the acknowledge loops.
	wake, results, releases chan struct{}
}

// locks is the state of the locks of all acquisitions of this process.
type locks struct {
	// duration is the duration of a lock in the dispatcher's latest response.
	duration clock.Duration
	// renewedAt is when the locks were last renewed; renewing is true while a renewal is in flight.
	renewedAt clock.Instant
	renewing  bool
	// reportedEpoch is the latest epoch whose leader was sent all acquisitions of this process.
	reportedEpoch uint64
}

// executorList is the dispatcher's list of executors, with its version and the instant of the latest response.
type executorList struct {
	list       []messages.ExecutorInfo
	version    uint64
	receivedAt clock.Instant
}

// New returns a server without tasks. Call Start to run it.
func New(gossip *loadgossip.Gossip, leader Leader) *Server {
	return &Server{node: gossip.Node, gossip: gossip, leader: leader, runner: executor.New(),
		connections: map[*executor.Task]*workerconn.Connection{},
		signals:     signals{wake: make(chan struct{}, 1), results: make(chan struct{}, 1), releases: make(chan struct{}, 1)},
		locks:       locks{duration: dispatch.LockDuration(gossip.Node.Settings.Tolerances.CancelMs)}}
}

// signal wakes a loop. It never blocks: one signal is buffered while the loop is busy.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Start starts the loops, which end when the agent's Stop channel is closed.
func (s *Server) Start() {
	go s.acquireLoop()
	go s.acknowledgeLoop(s.signals.results, constants.ResultGatherTime, s.runner.Results)
	go s.acknowledgeLoop(s.signals.releases, 0, s.runner.Releases)
	go clock.Every(constants.TickPeriod, s.node.Stop, s.maintain)
}

// acquireLoop acquires items while owned workers have free slots.
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

// acquire sends one acquire request and places the items. It returns false if no leader responded.
func (s *Server) acquire(leader string, freeCapacity []messages.ServiceCapacity) bool {
	self := s.node.Self
	req := &messages.AcquireRequest{Executor: self.Name, Incarnation: self.Incarnation, Address: self.Address, Zone: self.Zone, Capacity: freeCapacity,
		WaitMs: int(constants.AcquireWait.Milliseconds()), KnownVersion: s.knownVersion()}
	resp := &messages.AcquireResponse{}
	sentAt := clock.Now()
	if leader == self.Address {
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

// maintain stops the runs whose lock is about to expire, renews the locks when due, and places waiting tasks.
func (s *Server) maintain() {
	now, epoch := clock.Now(), s.leader.LeaderEpoch()
	s.lock.Lock()
	s.stopRunsLocked(s.runner.StopExpired(now))
	due := !s.locks.renewing && now.Sub(s.locks.renewedAt) >= s.locks.duration/constants.RenewalsPerLock
	// All acquisitions are reported to a new leader immediately.
	due = due || epoch > s.locks.reportedEpoch
	var entries []messages.Acknowledgement
	if due {
		// Sent even without renewals, so that the dispatcher knows that this executor is alive.
		entries = s.runner.Renewals(now)
		s.runner.RejectEpochsBefore(epoch)
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

// stopRunsLocked aborts the runs of tasks by closing their connections; each run then requeues its item.
// The caller holds s.lock.
func (s *Server) stopRunsLocked(tasks []*executor.Task) {
	for _, task := range tasks {
		if connection := s.connections[task]; connection != nil {
			connection.Close()
		}
	}
}

// StopJob aborts all runs of a job.
func (s *Server) StopJob(jobID string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.stopRunsLocked(s.runner.StopJob(jobID))
}

// Drain stops all runs and releases their items before the process ends. It returns when no task is left
// and all acknowledgements have a final verdict, or after LeaseDuration at the latest.
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
		unacknowledged := s.runner.Unacknowledged()
		s.lock.Unlock()
		if all == 0 && unacknowledged == 0 {
			return
		}
		clock.Sleep(constants.TickPeriod / 2)
	}
}
