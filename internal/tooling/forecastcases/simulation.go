package forecastcases

import (
	"math"
	"math/rand/v2"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/forecast"
	"lemonarch/internal/tooling/workeremulator"
	"lemonarch/internal/traffic/trafficstats"
)

// queueShare is the fraction of a class's latency target that its requests wait for an engine before
// they are rejected, as in package forecast. That of gateways is a little less (constants.QueueShare).
const queueShare = 0.25

// windowMs is the length of the time windows in which a family's shortage is detected, with the same
// bounds as in the forecast.
const windowMs = 1000.0

// familySimulation runs a family in simulated time. It acts as the gateway and sends each request to
// the engine with the fewest assigned requests.
type familySimulation struct {
	plan     *familyPlan
	random   *rand.Rand
	recorder *trafficstats.Recorder
	now      clock.Instant
	engines  []*engineState
	queue    []*request
	requests map[int64]*request
	// tickets is the number of tickets issued; nextAt is when the next request arrives.
	tickets int64
	nextAt  clock.Instant
	// surgeFrom and surgeUntil are the start and the end of the surge.
	surgeFrom, surgeUntil clock.Instant
	windows               []window
	surgeLate, surgeTotal int
}

// engineState is an engine and the number of requests that are assigned to it.
type engineState struct {
	engine   *workeremulator.Engine
	assigned int
}

// request is one simulated request.
type request struct {
	ticket     int64
	arrivedAt  clock.Instant
	sentAt     clock.Instant
	firstAt    clock.Instant
	lastAt     clock.Instant
	events     int
	longestGap clock.Duration
	running    int
	waiting    int
	ownTokens  int64
	engine     *engineState
}

// window is the total wait and the outcomes of the requests that arrived in one time window.
type window struct {
	waitMs          float64
	total, rejected int
}

func newFamilySimulation(plan *familyPlan, seed uint64, surgeFrom, surgeUntil clock.Instant) *familySimulation {
	f := &familySimulation{plan: plan, random: rand.New(rand.NewPCG(seed, 77)), recorder: trafficstats.New(0), requests: map[int64]*request{},
		surgeFrom: surgeFrom, surgeUntil: surgeUntil}
	for range plan.engines {
		f.engines = append(f.engines, &engineState{engine: workeremulator.NewEngine(plan.shape)})
	}
	f.nextAt = f.drawArrival()
	return f
}

// drawArrival draws when the next request arrives.
func (f *familySimulation) drawArrival() clock.Instant {
	rate := f.plan.rate
	if f.now >= f.surgeFrom && f.now < f.surgeUntil {
		rate += f.plan.surgeRate
	}
	at := f.now.Add(clock.Milliseconds(f.random.ExpFloat64() * 1000 / rate))
	if f.now < f.surgeFrom && at > f.surgeFrom {
		// The surge starts before the arrival. The arrival is drawn again from the start of the
		// surge, which is valid since a Poisson process has no memory.
		f.now = f.surgeFrom
		return f.drawArrival()
	}
	return at
}

// runUntil simulates the family until an instant.
func (f *familySimulation) runUntil(end clock.Instant) {
	for {
		at, due := f.nextAt, (*engineState)(nil)
		for _, candidate := range f.engines {
			if next, ok := candidate.engine.Next(); ok && next < at {
				at, due = next, candidate
			}
		}
		if overdue := f.overdueAt(); overdue < at {
			at, due = overdue, nil
		}
		if at > end {
			return
		}
		f.now = max(f.now, at)
		switch {
		case due != nil:
			f.handleEffects(due, due.engine.Step(workeremulator.Event{Kind: workeremulator.EventTick}, f.now))
		case at == f.nextAt:
			f.arrive()
		}
		f.rejectOverdue()
		f.place()
	}
}

func (f *familySimulation) arrive() {
	f.tickets++
	r := &request{ticket: f.tickets, arrivedAt: f.now}
	f.requests[r.ticket] = r
	f.queue = append(f.queue, r)
	f.nextAt = f.drawArrival()
}

// place sends waiting requests to engines with a free slot.
func (f *familySimulation) place() {
	for len(f.queue) > 0 {
		var target *engineState
		for _, candidate := range f.engines {
			if candidate.assigned < f.plan.shape.Capacity && (target == nil || candidate.assigned < target.assigned) {
				target = candidate
			}
		}
		if target == nil {
			return
		}
		r := f.queue[0]
		f.queue = f.queue[1:]
		f.send(r, target)
	}
}

func (f *familySimulation) send(r *request, target *engineState) {
	class := &f.plan.class
	f.recordWait(r, false)
	r.sentAt, r.engine = f.now, target
	target.assigned++
	running, waiting, _ := target.engine.State()
	r.running, r.waiting = running+1, waiting
	work := workeremulator.EngineRequest{Ticket: r.ticket, Model: f.plan.name, Work: class.work}
	if class.work == 0 {
		// Sizes are uniform between 0.5 and 1.5 times the mean.
		size := 0.5 + f.random.Float64()
		r.ownTokens = int64(float64(class.ownTokens) * size)
		work.In, work.Out = r.ownTokens+class.sharedTokens, max(int64(float64(class.outTokens)*(0.5+f.random.Float64())), 1)
		if class.sharedTokens > 0 {
			work.Parts = []workeremulator.Part{{Key: "shared", Tokens: class.sharedTokens}}
		}
	}
	f.handleEffects(target, target.engine.Step(workeremulator.Event{Kind: workeremulator.EventArrive, Request: work}, f.now))
}

// overdueAt returns when the first queued request is rejected.
func (f *familySimulation) overdueAt() clock.Instant {
	if len(f.queue) == 0 {
		return math.MaxInt64
	}
	return f.queue[0].arrivedAt.Add(clock.Milliseconds(queueShare * f.plan.class.targetMs))
}

func (f *familySimulation) rejectOverdue() {
	for len(f.queue) > 0 && f.overdueAt() <= f.now {
		r := f.queue[0]
		f.queue = f.queue[1:]
		f.recordWait(r, true)
		f.recordOutcome(r, trafficstats.OutcomeRejected, true)
	}
}

// recordWait adds a request's wait to the window in which the request arrived.
func (f *familySimulation) recordWait(r *request, rejected bool) {
	i := int(clock.ToMilliseconds(r.arrivedAt.Sub(0)) / windowMs)
	for len(f.windows) <= i {
		f.windows = append(f.windows, window{})
	}
	f.windows[i].waitMs += clock.ToMilliseconds(f.now.Sub(r.arrivedAt))
	f.windows[i].total++
	if rejected {
		f.windows[i].rejected++
	}
}

// shortAtS returns the start of the first window since the start of the surge in which the family was
// short of capacity, in seconds from the start of the surge; -1 if there is none.
func (f *familySimulation) shortAtS() float64 {
	from := int(clock.ToMilliseconds(f.surgeFrom.Sub(0)) / windowMs)
	for i := from; i < len(f.windows); i++ {
		w := f.windows[i]
		if w.total > 0 && (w.waitMs/float64(w.total) > forecast.ShortWaitMs || float64(w.rejected) > forecast.ShortRejections*float64(w.total)) {
			return float64(i - from)
		}
	}
	return -1
}
