// Package admission places requests on workers or queues them by priority, and resumes the
// continuations of queued requests when capacity is free. The lock of the Scheduler protects all its
// state except the counters; it is held briefly, and no call blocks while holding it.
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

// Request is a request to be placed on a worker.
type Request struct {
	Service string
	Prompt  prefixindex.Prompt
	// Affine means that the worker is chosen by the prompt's prefix as well as by load.
	Affine bool
	// Bulk marks an item of a batch job ("item" in this package); all other requests are live.
	Bulk bool
	// Retryable means that the request may be sent to another worker after a worker failed.
	Retryable bool
	// Priority orders the queue; a lower number is a higher priority.
	Priority int
	// Setpoint is the latency target of the request's route.
	Setpoint clock.Duration
	// Deadline is when the client stops waiting. QueueUntil is when the request leaves the queue
	// and is rejected.
	Deadline   clock.Instant
	QueueUntil clock.Instant
	// Excluded contains the IDs of the workers on which the request must not be placed.
	Excluded []string
	// AllowedWorkers, if not nil, restricts placement to the named workers.
	AllowedWorkers map[string]bool
	arrivedAt      clock.Instant
}

// Verdict is the outcome of an admission.
type Verdict int

// Admission verdicts.
const (
	VerdictGranted Verdict = iota
	// VerdictNoCapacity rejects the request for lack of capacity.
	VerdictNoCapacity
	// VerdictNoWorker means that the service has no eligible worker.
	VerdictNoWorker
	// VerdictQueued means that the request is queued and its continuation will be resumed.
	VerdictQueued
)

// Decision is the result of an admission, returned by Admit or passed to the continuation of a
// queued request. Grant is set only if the verdict is VerdictGranted, and Retry only if the request
// is rejected (VerdictNoCapacity or VerdictNoWorker): the time after which the client may retry.
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

// Scheduler admits the requests of one process. Registry, Tracker and Index may be used only while
// holding its lock (WithLock).
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
	self                messages.NodeInfo
	zoneCostMs          func(zone string) float64
	pressure            map[string]pressureReport
	preemptible         map[*Grant]*preemptible
	onPressure          func(entries []messages.Pressure)
	pressureSentAt      clock.Instant
	// onPrefill and onEjection must not block: they are called with the lock held.
	onPrefill   func(worker string, milliseconds float64)
	gossip      gossipState
	subsets     map[string]subset
	scratch     scratch
	onEjection  func(Ejection)
	latencies   map[string]*latencies
	jitterState uint64
	// wake receives a value when a request is queued.
	wake            chan struct{}
	lastGrantNumber int64
	countersLock    sync.Mutex
	counters        map[string]*Counters
	// ownedWorkers, if not nil, names the only workers on which this process places items.
	ownedWorkers map[string]bool
}

// New returns the scheduler of a process.
func New(own messages.NodeInfo, heartbeat clock.Duration) *Scheduler {
	scheduler := &Scheduler{Registry: workers.New(heartbeat), Tracker: health.New(), Index: prefixindex.NewIndex(),
		queues: map[string][]Handle{}, rates: map[string]*rate{}, self: own,
		pressure: map[string]pressureReport{}, preemptible: map[*Grant]*preemptible{}, counters: map[string]*Counters{},
		wake: make(chan struct{}, 1)}
	scheduler.zoneCostMs = func(zone string) float64 {
		// Another zone has a higher network latency, and traffic between zones is charged.
		if zone == own.Zone {
			return 0
		}
		return 2
	}
	return scheduler
}

// WithLock calls function while holding the scheduler's lock.
func (s *Scheduler) WithLock(function func()) {
	s.lock.Lock()
	defer s.lock.Unlock()
	function()
}

// SetConfig replaces the configuration.
func (s *Scheduler) SetConfig(config *routeconfig.Config) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.config = config
}

// NoteControllerContact records that a controller was in contact. The caller must hold the lock.
func (s *Scheduler) NoteControllerContact(now clock.Instant) { s.controllerContactAt = now }

// Merge applies worker updates of a controller, deletes the health, outcomes and prefix records of
// departed workers, and resumes queued requests that can now be placed.
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

// Admit places a request immediately, queues it, or rejects it. If resume is nil, the request is
// never queued; otherwise resume is called once, without the lock held, unless the request is
// withdrawn by its handle. A live request that is queued preempts work of lower priority.
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
	// Requests of the same or a higher priority that are already queued go first.
	if !s.hasQueuedAhead(req) {
		if decision := s.selectWorker(req, now); decision.Verdict != VerdictNoCapacity {
			return decision, Handle{}
		}
	}
	if resume == nil {
		return Decision{Verdict: VerdictNoCapacity, Retry: s.retryAfter(req)}, Handle{}
	}
	if wait, known := s.expectedWait(req); known && now.Add(wait) > req.QueueUntil {
		// The expected wait exceeds QueueUntil, so the request is rejected immediately rather than
		// after waiting in vain.
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

// Withdraw removes a queued request. It returns false if the request has already been resumed or
// withdrawn.
func (s *Scheduler) Withdraw(handle Handle) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	_, found := s.slab.Take(handle)
	return found
}
