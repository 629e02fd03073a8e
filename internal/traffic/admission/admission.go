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

// Ask is a request that wants a worker.
type Ask struct {
	Service string
	Prompt  prefixindex.Prompt
	Affine  bool
	Bulk    bool
	// Repeatable: it may be sent to another worker if this one fails.
	Repeatable bool
	Priority   int
	Setpoint   clock.Duration
	// Deadline is when the client stops waiting; Patience when we stop queueing.
	Deadline clock.Instant
	Patience clock.Instant
	Excluded []string
	// Among, where not nil, names the only workers that may be asked.
	Among   map[string]bool
	arrived clock.Instant
}

// Verdict is how an ask came out.
type Verdict int

// The verdicts.
const (
	VerdictGranted Verdict = iota
	// VerdictNoRoom: refuse now, and say when to come back.
	VerdictNoRoom
	// VerdictNoWorker: the service has no worker that can be asked.
	VerdictNoWorker
	// VerdictQueued: the continuation will be resumed.
	VerdictQueued
)

// Answer is what a continuation is resumed with.
type Answer struct {
	Verdict Verdict
	Grant   *Grant
	Retry   clock.Duration
}

type waiter struct {
	ask    *Ask
	resume func(Answer)
	handle Handle
}

// Scheduler is the admission of one process.
type Scheduler struct {
	lock      sync.Mutex
	Registry  *workers.Registry
	Tracker   *health.Tracker
	Index     *prefixindex.Index
	config    *routeconfig.Config
	slab      Slab[*waiter]
	queues    map[string][]Handle
	rates     map[string]*rate
	listening clock.Instant
	own       messages.NodeInfo
	cost      func(zone string) float64
	pressure  map[string]pressureWord
	yields    map[*Grant]*yielding
	tell      func(words []messages.Pressure)
	toldAt    clock.Instant
	// notifyPrefill must not block: it is called under the lock.
	tellReading  func(worker string, milliseconds float64)
	gossip       gossipState
	subsets      map[string]subset
	scratch      scratch
	tellEjection func(Ejection)
	paces        map[string]*paces
	spreading    uint64
	// waits speaks when something begins to wait.
	waits        chan struct{}
	number       int64
	countersLock sync.Mutex
	tallies      map[string]*Counters
	// bulkOwn, where not nil, names the workers at which items are placed from here.
	bulkOwn map[string]bool
}

// rate follows how many requests a service finishes a second, as seen from here.
type rate struct {
	since clock.Instant
	count float64
	perS  float64
}

// New makes a admission for a process.
func New(own messages.NodeInfo, heartbeat clock.Duration) *Scheduler {
	scheduler := &Scheduler{Registry: workers.New(heartbeat), Tracker: health.New(), Index: prefixindex.NewIndex(),
		queues: map[string][]Handle{}, rates: map[string]*rate{}, own: own,
		pressure: map[string]pressureWord{}, yields: map[*Grant]*yielding{}, tallies: map[string]*Counters{},
		waits: make(chan struct{}, 1)}
	scheduler.cost = func(zone string) float64 {
		// Another zone is a longer way, and bytes between zones are dear.
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

// Listening notes that a controller was heard from.
func (s *Scheduler) Listening(now clock.Instant) { s.listening = now }

// Merge takes word of workers and places what waited for them.
func (s *Scheduler) Merge(workerList []messages.Worker, now clock.Instant) {
	s.lock.Lock()
	s.Listening(now)
	for _, worker := range workerList {
		s.born(worker, now)
		s.Registry.Merge(worker, now)
		if worker.Phase == messages.PhaseDeparted {
			s.Tracker.Forget(worker.ID)
			s.Index.Forget(worker.ID)
		}
	}
	s.lock.Unlock()
	s.Pump(now)
}

// Admit places an ask at once, queues it, or refuses it. What is queued presses
// on work of a lower rank.
func (s *Scheduler) Admit(ask *Ask, resume func(Answer), now clock.Instant) (Answer, Handle) {
	answer, handle := s.admit(ask, resume, now)
	if answer.Verdict == VerdictQueued {
		s.press(now)
	}
	return answer, handle
}

func (s *Scheduler) admit(ask *Ask, resume func(Answer), now clock.Instant) (Answer, Handle) {
	s.lock.Lock()
	defer s.lock.Unlock()
	ask.arrived = now
	// Those that waited longer in the same rank or a higher one go first.
	if !s.aheadWaiting(ask) {
		if answer := s.place(ask, now); answer.Verdict != VerdictNoRoom {
			return answer, Handle{}
		}
	}
	if resume == nil {
		return Answer{Verdict: VerdictNoRoom, Retry: s.retryAfter(ask)}, Handle{}
	}
	if wait, known := s.expectedWait(ask); known && now.Add(wait) > ask.Patience {
		// It can't be served in its time: said at once, not after a wait.
		return Answer{Verdict: VerdictNoRoom, Retry: s.retryAfter(ask)}, Handle{}
	}
	one := &waiter{ask: ask, resume: resume}
	one.handle = s.slab.Put(one)
	queue := append(s.queues[ask.Service], one.handle)
	sort.SliceStable(queue, func(left, right int) bool {
		first, _ := s.slab.Get(queue[left])
		second, _ := s.slab.Get(queue[right])
		return first != nil && second != nil && first.ask.Priority < second.ask.Priority
	})
	s.queues[ask.Service] = queue
	s.someWait()
	return Answer{Verdict: VerdictQueued}, one.handle
}

func (s *Scheduler) aheadWaiting(ask *Ask) bool {
	for _, handle := range s.queues[ask.Service] {
		if one, found := s.slab.Get(handle); found && one.ask.Priority <= ask.Priority {
			return true
		}
	}
	return false
}

// Withdraw takes a waiting ask back; false means it was resumed already.
func (s *Scheduler) Withdraw(handle Handle) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	_, found := s.slab.Take(handle)
	return found
}
