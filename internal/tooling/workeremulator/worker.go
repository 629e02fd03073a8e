package workeremulator

import (
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
)

// Clock is the time of a worker; tests hand in one that does not wait.
type Clock interface {
	Now() clock.Instant
	After(span clock.Duration, function func())
}

// RealClock is the machine's.
type RealClock struct{}

// Now gives the present moment.
func (RealClock) Now() clock.Instant { return clock.Now() }

// After calls a function once a span is over.
func (RealClock) After(span clock.Duration, function func()) { time.AfterFunc(span, function) }

// Settings describe one worker.
type Settings struct {
	ID, Service, Zone string
	// Model is empty for a worker of plain requests; these take Work each.
	Model     string
	Work      clock.Duration
	Shape     Shape
	ConnLimit int
	// Probe is the path of health questions.
	Probe string
	// Warmup is how long a life is slow from its start, by half.
	Warmup clock.Duration
	// Revision is the version of its weights.
	Revision int64
}

// waiter is what one connection waits for.
type waiter struct {
	effects     chan Effect
	run         *Run
	runTemplate Run
}

// Worker is one life of an emulated worker.
type Worker struct {
	Settings Settings

	clockValue Clock
	record     *Record
	lock       sync.Mutex
	random     *rand.Rand
	engine     *Engine
	waiters    map[int64]*waiter
	ticket     int64
	timerAt    clock.Instant
	faults     Faults
	warmUntil  clock.Instant
	leaving    bool
	ended      bool
	handled    int64
	server     *http.Server
	listener   *limitedListener
	history    []loadSample
}

// NewWorker makes a worker; the seed decides which requests its faults meet.
func NewWorker(nodeSettings Settings, record *Record, clockValue Clock, seed int64) *Worker {
	nodeSettings.Shape.Stride = max(nodeSettings.Shape.Stride, 1)
	worker := &Worker{warmUntil: clockValue.Now().Add(nodeSettings.Warmup), Settings: nodeSettings, clockValue: clockValue, record: record, random: rand.New(rand.NewSource(seed)),
		engine: NewEngine(nodeSettings.Shape), waiters: map[int64]*waiter{}}
	worker.updateSpeed()
	if nodeSettings.Warmup > 0 {
		clockValue.After(nodeSettings.Warmup, func() {
			worker.lock.Lock()
			defer worker.lock.Unlock()
			worker.updateSpeed()
		})
	}
	tree := chi.NewRouter()
	tree.Get("/-/report", worker.serveReport)
	if nodeSettings.Probe != "" {
		tree.Get(nodeSettings.Probe, worker.serveProbe)
	}
	tree.NotFound(worker.serveRequest)
	tree.MethodNotAllowed(worker.serveRequest)
	worker.server = &http.Server{Handler: tree, IdleTimeout: constants.EmulatorIdle, ReadHeaderTimeout: constants.EmulatorIdle}
	return worker
}

// Handler answers requests without any socket, for tests of what stands in front.
func (w *Worker) Handler() http.Handler { return w.server.Handler }

// Serve takes connections until the worker ends.
func (w *Worker) Serve(listener net.Listener) {
	limited := newLimitedListener(listener, w)
	w.lock.Lock()
	w.listener = limited
	w.lock.Unlock()
	_ = w.server.Serve(limited)
}

// SetFaults switches troubles on and off.
func (w *Worker) SetFaults(faults Faults) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.faults = faults
	w.updateSpeed()
}

// pace sets how fast the engine is just now. The lock is held.
func (w *Worker) updateSpeed() {
	slow := max(w.faults.Slow, 1)
	if w.clockValue.Now() < w.warmUntil {
		slow *= constants.EmulatorWarmupSlow
	}
	shape := w.Settings.Shape
	w.engine.shape.Step, w.engine.shape.StepEach = clock.Duration(float64(shape.Step)*slow), clock.Duration(float64(shape.StepEach)*slow)
	w.engine.shape.ReadPerMs = shape.ReadPerMs / slow
}

// Crash ends a worker without a word: every connection is reset.
func (w *Worker) Crash() {
	w.lock.Lock()
	w.ended = true
	listener := w.listener
	w.lock.Unlock()
	if listener != nil {
		listener.reset()
	}
	w.server.Close()
}

// End closes a worker that has left in order; what still runs may finish within the span.
func (w *Worker) End(span clock.Duration) {
	limited, release := contexts.WithTimeout(contexts.Background(), span)
	defer release()
	if w.server.Shutdown(limited) != nil {
		w.server.Close()
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.ended = true
}

// Leave makes it say Connection: close, and say that it is draining.
func (w *Worker) Leave() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.leaving = true
}

// chance draws whether a fault meets a request. The lock is held.
func (w *Worker) chance(share float64) bool { return share > 0 && w.random.Float64() < share }

// enter hands a request to the engine and gives where its effects come.
func (w *Worker) submit(request Ask, template Run) (int64, *waiter) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.ticket++
	request.Ticket = w.ticket
	// Room for all effects of one request: the engine never waits for a connection.
	waiting := &waiter{effects: make(chan Effect, 8+Events(request.Out, w.engine.shape.Stride)), runTemplate: template}
	w.waiters[request.Ticket] = waiting
	w.step(Event{Kind: EventArrive, Ask: request})
	return request.Ticket, waiting
}

// leave takes a request back whose connection has closed.
func (w *Worker) cancel(ticket int64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	delete(w.waiters, ticket)
	w.step(Event{Kind: EventCancel, Ticket: ticket})
}

// step runs the engine and hands out its effects. The lock is held.
func (w *Worker) step(event Event) {
	for _, effect := range w.engine.Step(event, w.clockValue.Now()) {
		waiting := w.waiters[effect.Ticket]
		if waiting == nil || effect.Kind == EffectPutBack {
			continue
		}
		if effect.Kind == EffectBegin && waiting.runTemplate.Attempt != "" {
			waiting.run = w.record.Begin(waiting.runTemplate)
			if w.chance(w.faults.Twice) {
				w.record.Begin(waiting.runTemplate)
			}
		}
		waiting.effects <- effect
		switch effect.Kind {
		case EffectFinish, EffectRefuse, EffectExpire:
			delete(w.waiters, effect.Ticket)
		}
	}
	w.recordLoad()
	w.armTimer()
}

// arm sets a timer for the engine's next tick, if none rings by then. The lock is held.
func (w *Worker) armTimer() {
	at, pending := w.engine.Next()
	if !pending || w.ended || (w.timerAt > 0 && w.timerAt <= at) {
		return
	}
	now := w.clockValue.Now()
	w.timerAt = max(at, now+1)
	armedFor := w.timerAt
	w.clockValue.After(w.timerAt.Sub(now), func() {
		w.lock.Lock()
		defer w.lock.Unlock()
		if w.timerAt != armedFor || w.ended {
			// A later call asked for an earlier tick, and that one has taken over.
			return
		}
		w.timerAt = 0
		w.step(Event{Kind: EventTick})
	})
}
