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
	effects chan Effect
	run     *Run
	about   Run
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
	timer      clock.Instant
	faults     Faults
	warm       clock.Instant
	leaving    bool
	ended      bool
	handled    int64
	server     *http.Server
	listener   *limitedListener
	history    []moment
}

// NewWorker makes a worker; the seed decides which requests its faults meet.
func NewWorker(nodeSettings Settings, record *Record, clockValue Clock, seed int64) *Worker {
	nodeSettings.Shape.Stride = max(nodeSettings.Shape.Stride, 1)
	worker := &Worker{warm: clockValue.Now().Add(nodeSettings.Warmup), Settings: nodeSettings, clockValue: clockValue, record: record, random: rand.New(rand.NewSource(seed)),
		engine: NewEngine(nodeSettings.Shape), waiters: map[int64]*waiter{}}
	worker.pace()
	if nodeSettings.Warmup > 0 {
		clockValue.After(nodeSettings.Warmup, func() {
			worker.lock.Lock()
			defer worker.lock.Unlock()
			worker.pace()
		})
	}
	tree := chi.NewRouter()
	tree.Get("/-/report", worker.answerReport)
	if nodeSettings.Probe != "" {
		tree.Get(nodeSettings.Probe, worker.answerProbe)
	}
	tree.NotFound(worker.answer)
	tree.MethodNotAllowed(worker.answer)
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
	w.pace()
}

// pace sets how fast the engine is just now. The lock is held.
func (w *Worker) pace() {
	slow := max(w.faults.Slow, 1)
	if w.clockValue.Now() < w.warm {
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
func (w *Worker) enter(request Ask, about Run) (int64, *waiter) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.ticket++
	request.Ticket = w.ticket
	// Room for all effects of one request: the engine never waits for a connection.
	entry := &waiter{effects: make(chan Effect, 8+Events(request.Out, w.engine.shape.Stride)), about: about}
	w.waiters[request.Ticket] = entry
	w.step(Event{Kind: EventArrive, Ask: request})
	return request.Ticket, entry
}

// leave takes a request back whose connection has closed.
func (w *Worker) leave(ticket int64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	delete(w.waiters, ticket)
	w.step(Event{Kind: EventCancel, Ticket: ticket})
}

// step runs the engine and hands out its effects. The lock is held.
func (w *Worker) step(event Event) {
	for _, effect := range w.engine.Step(event, w.clockValue.Now()) {
		entry := w.waiters[effect.Ticket]
		if entry == nil || effect.Kind == EffectPutBack {
			continue
		}
		if effect.Kind == EffectBegin && entry.about.Attempt != "" {
			entry.run = w.record.Begin(entry.about)
			if w.chance(w.faults.Twice) {
				w.record.Begin(entry.about)
			}
		}
		entry.effects <- effect
		switch effect.Kind {
		case EffectFinish, EffectRefuse, EffectExpire:
			delete(w.waiters, effect.Ticket)
		}
	}
	w.note()
	w.arm()
}

// arm sets a timer for the engine's next tick, if none rings by then. The lock is held.
func (w *Worker) arm() {
	at, some := w.engine.Next()
	if !some || w.ended || (w.timer > 0 && w.timer <= at) {
		return
	}
	now := w.clockValue.Now()
	w.timer = max(at, now+1)
	mine := w.timer
	w.clockValue.After(w.timer.Sub(now), func() {
		w.lock.Lock()
		defer w.lock.Unlock()
		if w.timer != mine || w.ended {
			// A later call asked for an earlier tick, and that one has taken over.
			return
		}
		w.timer = 0
		w.step(Event{Kind: EventTick})
	})
}
