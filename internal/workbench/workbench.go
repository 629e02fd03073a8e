// Package workbench admits requests: it keeps the queues by priority, asks the
// index where to place, and resumes the continuations of those that waited. Its
// state stands behind one short lock; no call blocks inside it.
package workbench

import (
	"sort"
	"sync"

	"lemonarch/internal/gauge"
	"lemonarch/internal/jig"
	"lemonarch/internal/pattern"
	"lemonarch/internal/plumbline"
	"lemonarch/internal/roster"
	"lemonarch/internal/watch"
)

// Ask is a request that wants a worker.
type Ask struct {
	Service string
	Prompt  plumbline.Prompt
	Affine  bool
	Bulk    bool
	// Repeatable: it may be sent to another worker if this one fails.
	Repeatable bool
	Priority   int
	Setpoint   watch.Span
	// Deadline is when the client stops waiting; Patience when we stop queueing.
	Deadline watch.Moment
	Patience watch.Moment
	Excluded []string
	// Among, where not nil, names the only workers that may be asked.
	Among   map[string]bool
	arrived watch.Moment
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
	Retry   watch.Span
}

type waiter struct {
	ask    *Ask
	resume func(Answer)
	handle Handle
}

// Workbench is the admission of one process.
type Workbench struct {
	lock      sync.Mutex
	Roster    *roster.Roster
	Gauge     *gauge.Gauge
	Index     *plumbline.Index
	config    *jig.Config
	slab      Slab[*waiter]
	queues    map[string][]Handle
	rates     map[string]*rate
	listening watch.Moment
	own       pattern.Entry
	cost      func(hall string) float64
	pressure  map[string]pressureWord
	yields    map[*Grant]*yielding
	tell      func(words []pattern.Pressure)
	toldAt    watch.Moment
	// tellReading must not block: it is called under the lock.
	tellReading  func(worker string, milliseconds float64)
	gossip       gossipState
	subsets      map[string]subset
	scratch      scratch
	tellEjection func(Ejection)
	paces        map[string]*paces
	spreading    uint64
	// waits speaks when something begins to wait.
	waits     chan struct{}
	number    int64
	tallyLock sync.Mutex
	tallies   map[string]*Tally
	// bulkOwn, where not nil, names the workers at which items are placed from here.
	bulkOwn map[string]bool
}

// rate follows how many requests a service finishes a second, as seen from here.
type rate struct {
	since watch.Moment
	count float64
	perS  float64
}

// New makes a workbench for a process.
func New(own pattern.Entry, heartbeat watch.Span) *Workbench {
	bench := &Workbench{Roster: roster.New(heartbeat), Gauge: gauge.New(), Index: plumbline.NewIndex(),
		queues: map[string][]Handle{}, rates: map[string]*rate{}, own: own,
		pressure: map[string]pressureWord{}, yields: map[*Grant]*yielding{}, tallies: map[string]*Tally{},
		waits: make(chan struct{}, 1)}
	bench.cost = func(hall string) float64 {
		// Another hall is a longer way, and bytes between halls are dear.
		if hall == own.Hall {
			return 0
		}
		return 2
	}
	return bench
}

// Locked runs a function under the workbench's lock.
func (bench *Workbench) Locked(function func()) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	function()
}

// SetConfig takes a newer configuration.
func (bench *Workbench) SetConfig(config *jig.Config) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	bench.config = config
}

// Listening notes that a foreman was heard from.
func (bench *Workbench) Listening(now watch.Moment) { bench.listening = now }

// Merge takes word of workers and places what waited for them.
func (bench *Workbench) Merge(workers []pattern.Worker, now watch.Moment) {
	bench.lock.Lock()
	bench.Listening(now)
	for _, worker := range workers {
		bench.born(worker, now)
		bench.Roster.Merge(worker, now)
		if worker.Phase == pattern.PhaseGone {
			bench.Gauge.Forget(worker.ID)
			bench.Index.Forget(worker.ID)
		}
	}
	bench.lock.Unlock()
	bench.Pump(now)
}

// Admit places an ask at once, queues it, or refuses it. What is queued presses
// on work of a lower rank.
func (bench *Workbench) Admit(ask *Ask, resume func(Answer), now watch.Moment) (Answer, Handle) {
	answer, handle := bench.admit(ask, resume, now)
	if answer.Verdict == VerdictQueued {
		bench.press(now)
	}
	return answer, handle
}

func (bench *Workbench) admit(ask *Ask, resume func(Answer), now watch.Moment) (Answer, Handle) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	ask.arrived = now
	// Those that waited longer in the same rank or a higher one go first.
	if !bench.aheadWaiting(ask) {
		if answer := bench.place(ask, now); answer.Verdict != VerdictNoRoom {
			return answer, Handle{}
		}
	}
	if resume == nil {
		return Answer{Verdict: VerdictNoRoom, Retry: bench.retryAfter(ask, now)}, Handle{}
	}
	if wait, known := bench.expectedWait(ask, now); known && now.Plus(wait) > ask.Patience {
		// It can't be served in its time: said at once, not after a wait.
		return Answer{Verdict: VerdictNoRoom, Retry: bench.retryAfter(ask, now)}, Handle{}
	}
	one := &waiter{ask: ask, resume: resume}
	one.handle = bench.slab.Put(one)
	queue := append(bench.queues[ask.Service], one.handle)
	sort.SliceStable(queue, func(left, right int) bool {
		first, _ := bench.slab.Get(queue[left])
		second, _ := bench.slab.Get(queue[right])
		return first != nil && second != nil && first.ask.Priority < second.ask.Priority
	})
	bench.queues[ask.Service] = queue
	bench.someWait()
	return Answer{Verdict: VerdictQueued}, one.handle
}

func (bench *Workbench) aheadWaiting(ask *Ask) bool {
	for _, handle := range bench.queues[ask.Service] {
		if one, found := bench.slab.Get(handle); found && one.ask.Priority <= ask.Priority {
			return true
		}
	}
	return false
}

// Withdraw takes a waiting ask back; false means it was resumed already.
func (bench *Workbench) Withdraw(handle Handle) bool {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	_, found := bench.slab.Take(handle)
	return found
}
