package forecastcases

import (
	"math"
	"math/rand/v2"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/forecast"
	"lemonarch/internal/tooling/workeremulator"
	"lemonarch/internal/traffic/trafficstats"
)

// queueShare of a class's target is how long its requests wait for an engine before they are
// refused, as at a gateway.
const queueShare = 0.25

// windowMs is the length of the windows in which a family's tightening is looked for, by the
// forecast's own bounds.
const windowMs = 1000.0

// fleet plays a family in simulated time, with a gateway's stand-in that gives each request to
// the engine with the fewest.
type fleet struct {
	plan     *familyPlan
	random   *rand.Rand
	recorder *trafficstats.Recorder
	now      clock.Instant
	engines  []*engineState
	queue    []*call
	calls    map[int64]*call
	tickets  int64
	nextAt   clock.Instant
	// surgeFrom and surgeUntil bound the surge.
	surgeFrom, surgeUntil clock.Instant
	windows               []window
	late, all             int
}

// engineState is an engine and how many requests were given to it.
type engineState struct {
	engine *workeremulator.Engine
	given  int
}

// call is one request.
type call struct {
	ticket    int64
	arrivedAt clock.Instant
	sentAt    clock.Instant
	firstAt   clock.Instant
	lastAt    clock.Instant
	events    int
	longest   clock.Duration
	running   int
	waiting   int
	own       int64
	at        *engineState
}

// window is what came of the requests that arrived in one window.
type window struct {
	waitMs      float64
	all, refuse int
}

func newFleet(plan *familyPlan, seed uint64, surgeFrom, surgeUntil clock.Instant) *fleet {
	f := &fleet{plan: plan, random: rand.New(rand.NewPCG(seed, 77)), recorder: trafficstats.New(0), calls: map[int64]*call{},
		surgeFrom: surgeFrom, surgeUntil: surgeUntil}
	for range plan.engines {
		f.engines = append(f.engines, &engineState{engine: workeremulator.NewEngine(plan.shape)})
	}
	f.nextAt = f.interArrival()
	return f
}

// interArrival draws when the next request comes.
func (f *fleet) interArrival() clock.Instant {
	rate := f.plan.rate
	if f.now >= f.surgeFrom && f.now < f.surgeUntil {
		rate += f.plan.surge
	}
	at := f.now.Add(clock.Milliseconds(f.random.ExpFloat64() * 1000 / rate))
	if f.now < f.surgeFrom && at > f.surgeFrom {
		// The surge begins before: drawn anew from there, which a Poisson stream allows.
		f.now = f.surgeFrom
		return f.interArrival()
	}
	return at
}

// runUntil plays the family until an instant.
func (f *fleet) runUntil(end clock.Instant) {
	for {
		at, due := f.nextAt, (*engineState)(nil)
		for _, each := range f.engines {
			if next, some := each.engine.Next(); some && next < at {
				at, due = next, each
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
			f.effects(due, due.engine.Step(workeremulator.Event{Kind: workeremulator.EventTick}, f.now))
		case at == f.nextAt:
			f.arrive()
		}
		f.refuseOverdue()
		f.place()
	}
}

func (f *fleet) arrive() {
	f.tickets++
	c := &call{ticket: f.tickets, arrivedAt: f.now}
	f.calls[c.ticket] = c
	f.queue = append(f.queue, c)
	f.nextAt = f.interArrival()
}

// place gives waiting requests to engines with a slot left.
func (f *fleet) place() {
	for len(f.queue) > 0 {
		var chosen *engineState
		for _, each := range f.engines {
			if each.given < f.plan.shape.Capacity && (chosen == nil || each.given < chosen.given) {
				chosen = each
			}
		}
		if chosen == nil {
			return
		}
		c := f.queue[0]
		f.queue = f.queue[1:]
		f.send(c, chosen)
	}
}

func (f *fleet) send(c *call, to *engineState) {
	class := &f.plan.class
	f.note(c, false)
	c.sentAt, c.at = f.now, to
	to.given++
	running, waiting, _ := to.engine.State()
	c.running, c.waiting = running+1, waiting
	wanted := workeremulator.Ask{Ticket: c.ticket, Model: f.plan.name, Work: class.work}
	if class.work == 0 {
		// Sizes spread round their means.
		size := 0.5 + f.random.Float64()
		c.own = int64(float64(class.own) * size)
		wanted.In, wanted.Out = c.own+class.shared, max(int64(float64(class.out)*(0.5+f.random.Float64())), 1)
		if class.shared > 0 {
			wanted.Parts = []workeremulator.Part{{Key: "shared", Tokens: class.shared}}
		}
	}
	f.effects(to, to.engine.Step(workeremulator.Event{Kind: workeremulator.EventArrive, Ask: wanted}, f.now))
}

// overdueAt is when the first that waits is refused.
func (f *fleet) overdueAt() clock.Instant {
	if len(f.queue) == 0 {
		return math.MaxInt64
	}
	return f.queue[0].arrivedAt.Add(clock.Milliseconds(queueShare * f.plan.class.targetMs))
}

func (f *fleet) refuseOverdue() {
	for len(f.queue) > 0 && f.overdueAt() <= f.now {
		c := f.queue[0]
		f.queue = f.queue[1:]
		f.note(c, true)
		f.end(c, trafficstats.OutcomeRejected, true)
	}
}

// note counts a request's wait in the window of its arrival.
func (f *fleet) note(c *call, refused bool) {
	i := int(clock.ToMilliseconds(c.arrivedAt.Sub(0)) / windowMs)
	for len(f.windows) <= i {
		f.windows = append(f.windows, window{})
	}
	f.windows[i].waitMs += clock.ToMilliseconds(f.now.Sub(c.arrivedAt))
	f.windows[i].all++
	if refused {
		f.windows[i].refuse++
	}
}

// tightenedAtS is the first window from the surge on in which the family was short, in seconds
// from the surge's beginning; -1 for none.
func (f *fleet) tightenedAtS() float64 {
	from := int(clock.ToMilliseconds(f.surgeFrom.Sub(0)) / windowMs)
	for i := from; i < len(f.windows); i++ {
		w := f.windows[i]
		if w.all > 0 && (w.waitMs/float64(w.all) > forecast.ShortWaitMs || float64(w.refuse) > forecast.ShortRefusals*float64(w.all)) {
			return float64(i - from)
		}
	}
	return -1
}
