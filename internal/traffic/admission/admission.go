// Package admission admits requests: it keeps the queues by priority, asks the
// index where to place, and resumes the continuations of those that waited. Its
// state stands behind one short lock; no call blocks inside it.
package admission

import (
	"sort"
	"sync"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/health"
	"lemonarch/internal/traffic/prefixindex"
)

// Request is a request that wants a worker.
type Request struct {
	Service string
	Prompt  prefixindex.Prompt
	Affine  bool
	Bulk    bool
	// Retryable: it may be sent to another worker if this one fails.
	Retryable bool
	Priority  int
	Setpoint  clock.Duration
	// Deadline is when the client stops waiting; QueueUntil when we stop queueing.
	Deadline   clock.Instant
	QueueUntil clock.Instant
	Excluded   []string
	// AllowedWorkers, where not nil, names the only workers that may be asked.
	AllowedWorkers map[string]bool
	arrivedAt      clock.Instant
}

// Verdict is how a request came out.
type Verdict int

// The verdicts.
const (
	VerdictGranted Verdict = iota
	// VerdictNoCapacity: refuse now, and say when to come back.
	VerdictNoCapacity
	// VerdictNoWorker: the service has no worker that can be asked.
	VerdictNoWorker
	// VerdictQueued: the continuation will be resumed.
	VerdictQueued
)

// Decision is what a continuation is resumed with.
type Decision struct {
	Verdict Verdict
	Grant   *Grant
	Retry   clock.Duration
}

type waiter struct {
	request *Request
	resume  func(Decision)
	handle  Handle
}

// Scheduler is the admission of one process.
type Scheduler struct {
	lock                sync.Mutex
	Registry            *workers.Registry
	Tracker             *health.Tracker
	Index               *prefixindex.Index
	config              *routeconfig.Config
	slab                Slab[*waiter]
	queues              map[string][]Handle
	rates               map[string]*rate
	controllerContactAt clock.Instant
	own                 messages.NodeInfo
	cost                func(zone string) float64
	pressure            map[string]pressureReport
	preemptible         map[*Grant]*preemptible
	onPressure          func(entries []messages.Pressure)
	pressureSentAt      clock.Instant
	// onPrefill must not block: it is called under the lock.
	onPrefill   func(worker string, milliseconds float64)
	gossip      gossipState
	subsets     map[string]subset
	scratch     scratch
	onEjection  func(Ejection)
	latencies   map[string]*latencies
	jitterState uint64
	// wake gets a value when something begins to wait.
	wake         chan struct{}
	number       int64
	countersLock sync.Mutex
	counters     map[string]*Counters
	// ownedWorkers, where not nil, names the workers at which items are placed from here.
	ownedWorkers map[string]bool
}

// New makes the admission of a process.
func New(own messages.NodeInfo, heartbeat clock.Duration) *Scheduler {
	scheduler := &Scheduler{Registry: workers.New(heartbeat), Tracker: health.New(), Index: prefixindex.NewIndex(),
		queues: map[string][]Handle{}, rates: map[string]*rate{}, own: own,
		pressure: map[string]pressureReport{}, preemptible: map[*Grant]*preemptible{}, counters: map[string]*Counters{},
		wake: make(chan struct{}, 1)}
	scheduler.cost = func(zone string) float64 {
		// Another zone is farther away, and bytes between zones are priced.
		if zone == own.Zone {
			return 0
		}
		return 2
	}
	return scheduler
}

// Locked runs a function under the admission's lock.
func (s *Scheduler) Locked(function func()) {
	s.lock.Lock()
	defer s.lock.Unlock()
	function()
}

// SetConfig takes a newer configuration.
func (s *Scheduler) SetConfig(config *routeconfig.Config) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.config = config
}

// NoteControllerContact notes that a controller was in contact.
func (s *Scheduler) NoteControllerContact(now clock.Instant) { s.controllerContactAt = now }

// Merge takes updates of workers and places what waited for them.
func (s *Scheduler) Merge(workerList []messages.Worker, now clock.Instant) {
	s.lock.Lock()
	s.NoteControllerContact(now)
	for _, worker := range workerList {
		s.observeIncarnation(worker, now)
		s.Registry.Merge(worker, now)
		if worker.Phase == messages.PhaseDeparted {
			s.Tracker.Forget(worker.ID)
			s.Index.Forget(worker.ID)
		}
	}
	s.lock.Unlock()
	s.Pump(now)
}

// Admit places a request at once, queues it, or rejects it. What is queued preempts
// work of a lower rank.
func (s *Scheduler) Admit(req *Request, resume func(Decision), now clock.Instant) (Decision, Handle) {
	decision, handle := s.admit(req, resume, now)
	if decision.Verdict == VerdictQueued {
		s.applyPressure(now)
	}
	return decision, handle
}

func (s *Scheduler) admit(req *Request, resume func(Decision), now clock.Instant) (Decision, Handle) {
	s.lock.Lock()
	defer s.lock.Unlock()
	req.arrivedAt = now
	// Those that waited longer in the same rank or a higher one go first.
	if !s.hasQueuedAhead(req) {
		if decision := s.selectWorker(req, now); decision.Verdict != VerdictNoCapacity {
			return decision, Handle{}
		}
	}
	if resume == nil {
		return Decision{Verdict: VerdictNoCapacity, Retry: s.retryAfter(req)}, Handle{}
	}
	if wait, known := s.expectedWait(req); known && now.Add(wait) > req.QueueUntil {
		// It can't be served in its time: rejected at once, not after a wait.
		return Decision{Verdict: VerdictNoCapacity, Retry: s.retryAfter(req)}, Handle{}
	}
	queued := &waiter{request: req, resume: resume}
	queued.handle = s.slab.Put(queued)
	queue := append(s.queues[req.Service], queued.handle)
	sort.SliceStable(queue, func(left, right int) bool {
		first, _ := s.slab.Get(queue[left])
		second, _ := s.slab.Get(queue[right])
		return first != nil && second != nil && first.request.Priority < second.request.Priority
	})
	s.queues[req.Service] = queue
	s.wakePump()
	return Decision{Verdict: VerdictQueued}, queued.handle
}

func (s *Scheduler) hasQueuedAhead(req *Request) bool {
	for _, handle := range s.queues[req.Service] {
		if queued, found := s.slab.Get(handle); found && queued.request.Priority <= req.Priority {
			return true
		}
	}
	return false
}

// Withdraw takes a waiting request back; false means it was resumed already.
func (s *Scheduler) Withdraw(handle Handle) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	_, found := s.slab.Take(handle)
	return found
}
