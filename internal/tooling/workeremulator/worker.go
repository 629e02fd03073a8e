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

// Clock is the time source of a worker. Tests pass one that does not wait.
type Clock interface {
	Now() clock.Instant
	After(span clock.Duration, function func())
}

// RealClock is the machine's clock.
type RealClock struct{}

// Now returns the current time.
func (RealClock) Now() clock.Instant { return clock.Now() }

// After calls a function after a delay.
func (RealClock) After(span clock.Duration, function func()) { time.AfterFunc(span, function) }

// Settings describe one worker.
type Settings struct {
	ID, Service, Zone string
	// Model is empty for a worker of plain requests, each of which takes Work.
	Model string
	Work  clock.Duration
	Shape Shape
	// ConnLimit is the maximum number of connections; 0 means no limit.
	ConnLimit int
	// Probe is the path of health checks; empty means that there is none.
	Probe string
	// Warmup is how long the worker runs at half speed after its start.
	Warmup clock.Duration
	// Revision is the version of the worker's weights.
	Revision int64
}

// waiter receives the effects of one request for its connection.
type waiter struct {
	effects     chan Effect
	run         *Run
	runTemplate Run
}

// Worker is one incarnation of an emulated worker.
type Worker struct {
	Settings Settings

	clockValue Clock
	record     *Record
	// lock guards those of the fields after it that change after NewWorker.
	lock      sync.Mutex
	random    *rand.Rand
	engine    *Engine
	waiters   map[int64]*waiter
	ticket    int64
	timerAt   clock.Instant
	faults    Faults
	warmUntil clock.Instant
	draining  bool
	ended     bool
	handled   int64
	server    *http.Server
	listener  *limitedListener
	history   []loadSample
}

// NewWorker returns a worker. The seed determines which requests its faults affect.
func NewWorker(settings Settings, record *Record, clockValue Clock, seed int64) *Worker {
	settings.Shape.Stride = max(settings.Shape.Stride, 1)
	worker := &Worker{warmUntil: clockValue.Now().Add(settings.Warmup), Settings: settings, clockValue: clockValue, record: record, random: rand.New(rand.NewSource(seed)),
		engine: NewEngine(settings.Shape), waiters: map[int64]*waiter{}}
	worker.updateSpeed()
	if settings.Warmup > 0 {
		clockValue.After(settings.Warmup, func() {
			worker.lock.Lock()
			defer worker.lock.Unlock()
			worker.updateSpeed()
		})
	}
	router := chi.NewRouter()
	router.Get("/-/report", worker.serveReport)
	if settings.Probe != "" {
		router.Get(settings.Probe, worker.serveProbe)
	}
	router.NotFound(worker.serveRequest)
	router.MethodNotAllowed(worker.serveRequest)
	worker.server = &http.Server{Handler: router, IdleTimeout: constants.EmulatorIdle, ReadHeaderTimeout: constants.EmulatorIdle}
	return worker
}

// Handler returns the handler that serves requests without a socket, for tests of what runs in
// front of workers.
func (w *Worker) Handler() http.Handler { return w.server.Handler }

// Serve accepts connections until the worker ends.
func (w *Worker) Serve(listener net.Listener) {
	limited := newLimitedListener(listener, w)
	w.lock.Lock()
	w.listener = limited
	w.lock.Unlock()
	_ = w.server.Serve(limited)
}

// SetFaults replaces the faults that are switched on.
func (w *Worker) SetFaults(faults Faults) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.faults = faults
	w.updateSpeed()
}

// updateSpeed sets the current speed of the engine. The caller must hold the lock.
func (w *Worker) updateSpeed() {
	slow := max(w.faults.Slow, 1)
	if w.clockValue.Now() < w.warmUntil {
		slow *= constants.EmulatorWarmupSlow
	}
	shape := w.Settings.Shape
	w.engine.shape.Step, w.engine.shape.StepEach = clock.Duration(float64(shape.Step)*slow), clock.Duration(float64(shape.StepEach)*slow)
	w.engine.shape.ReadPerMs = shape.ReadPerMs / slow
}

// Crash ends a worker without notice and resets every connection.
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

// Shutdown closes a worker that has drained. Requests that still run may finish within the
// span.
func (w *Worker) Shutdown(span clock.Duration) {
	ctx, release := contexts.WithTimeout(contexts.Background(), span)
	defer release()
	if w.server.Shutdown(ctx) != nil {
		w.server.Close()
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.ended = true
}

// Drain makes the worker send Connection: close and report that it is draining.
func (w *Worker) Drain() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.draining = true
}

// chance randomly decides whether a fault affects a request. The caller must hold the lock.
func (w *Worker) chance(share float64) bool { return share > 0 && w.random.Float64() < share }

// submit passes a request to the engine and returns the waiter that receives its effects.
func (w *Worker) submit(request EngineRequest, template Run) (int64, *waiter) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.ticket++
	request.Ticket = w.ticket
	// The channel has capacity for all effects of one request, so that the engine never blocks
	// on a connection.
	waiting := &waiter{effects: make(chan Effect, 8+Events(request.Out, w.engine.shape.Stride)), runTemplate: template}
	w.waiters[request.Ticket] = waiting
	w.step(Event{Kind: EventArrive, Request: request})
	return request.Ticket, waiting
}

// cancel removes a request whose connection has closed.
func (w *Worker) cancel(ticket int64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	delete(w.waiters, ticket)
	w.step(Event{Kind: EventCancel, Ticket: ticket})
}

// step runs the engine and passes on its effects. The caller must hold the lock.
func (w *Worker) step(event Event) {
	for _, effect := range w.engine.Step(event, w.clockValue.Now()) {
		waiting := w.waiters[effect.Ticket]
		if waiting == nil || effect.Kind == EffectPreempt {
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
		case EffectFinish, EffectReject, EffectExpire:
			delete(w.waiters, effect.Ticket)
		}
	}
	w.recordLoad()
	w.armTimer()
}

// armTimer sets a timer for the engine's next tick, unless one fires by then. The caller must
// hold the lock.
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
			// A later call needed an earlier tick, and its timer has replaced this one.
			return
		}
		w.timerAt = 0
		w.step(Event{Kind: EventTick})
	})
}
