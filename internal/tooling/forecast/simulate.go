package forecast

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// world is one run of the simulation of a family.
type world struct {
	family    *family
	random    rand.Source
	horizonMs float64
	// scale is the fraction of the family's workers and traffic that is simulated.
	scale   float64
	workers []*worker
	// queue is the live requests that wait, by priority; batch is the items of batch jobs that wait,
	// in order of arrival.
	queue []*request
	batch []*request
	// streams are the sources of arriving requests.
	streams []*stream
	windows []window
	tallies map[*demand]*tally
}

// stream is the arrivals of a class, either of its present traffic or of a surge.
type stream struct {
	demand          *demand
	added           addition
	fromMs, untilMs float64
	nextMs          float64
}

// window is the total wait and the outcomes of the requests that arrived in one time window.
type window struct {
	waitMs           float64
	placed, rejected int
}

// tally counts the requests of a class that arrived during a surge.
type tally struct{ total, late int }

// run simulates the family until the horizon.
func (f *family) run(horizonMs float64, seed uint64) *world {
	w := &world{family: f, random: rand.NewPCG(seed, 1), horizonMs: horizonMs, scale: 1, tallies: map[*demand]*tally{}}
	largest := 0
	for _, s := range f.services {
		largest = max(largest, s.workers)
	}
	if largest > simulatedWorkersMax {
		w.scale = simulatedWorkersMax / float64(largest)
	}
	for _, s := range f.services {
		for range max(int(math.Round(float64(s.workers)*w.scale)), 1) {
			w.workers = append(w.workers, newWorker(s))
		}
	}
	w.windows = make([]window, int(horizonMs/windowMs)+1)
	for _, d := range f.demands {
		w.tallies[d] = &tally{}
		present := addition{rate: d.rate, dueMs: d.dueMs, promptTokens: d.promptTokens, freshTokens: d.freshTokens, events: d.events}
		w.addStream(d, present, 0, horizonMs)
		for _, added := range d.additions {
			w.addStream(d, added, added.fromMs, min(added.untilMs, horizonMs))
		}
	}
	w.processEvents()
	return w
}

func (w *world) addStream(d *demand, added addition, fromMs, untilMs float64) {
	if added.rate <= 0 || fromMs >= untilMs {
		return
	}
	s := &stream{demand: d, added: added, fromMs: fromMs, untilMs: untilMs}
	s.nextMs = fromMs + w.interArrival(added.rate)
	w.streams = append(w.streams, s)
}

// interArrival draws the time to the next arrival of a Poisson stream, in ms, for a rate in requests
// per second.
func (w *world) interArrival(rate float64) float64 {
	return distuv.Exponential{Rate: rate * w.scale / 1000, Src: w.random}.Rand()
}

// size draws a size from a gamma distribution with the given mean.
func (w *world) size(mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	return distuv.Gamma{Alpha: sizeShape, Beta: sizeShape / mean, Src: w.random}.Rand()
}

// processEvents handles arrivals, ends of phases and rejections in order of time until the horizon.
func (w *world) processEvents() {
	for {
		arrival := w.nextArrival()
		finishing := w.nextPhaseEnd()
		rejection := w.nextRejection()
		nowMs := min(arrival.nextAtMs(), finishing.nextAtMs(), rejection)
		if nowMs > w.horizonMs {
			break
		}
		switch nowMs {
		case rejection:
			w.rejectOverdue(nowMs)
		case finishing.nextAtMs():
			for _, r := range finishing.completePhases(nowMs) {
				w.recordCompletion(r, nowMs)
			}
		default:
			w.arrive(arrival, nowMs)
		}
		w.place(nowMs)
	}
	// Items that still wait at the horizon although they were due before it count as late.
	for _, r := range w.batch {
		if r.arrivedMs+r.dueMs <= w.horizonMs {
			w.countInSurge(r, true)
		}
	}
}

// nextAtMs returns when the stream's next request arrives; +Inf for a nil stream.
func (s *stream) nextAtMs() float64 {
	if s == nil {
		return math.Inf(1)
	}
	return s.nextMs
}

// nextAtMs returns when the worker's next phase ends; +Inf for a nil worker.
func (w *worker) nextAtMs() float64 {
	if w == nil {
		return math.Inf(1)
	}
	return w.nextMs
}

func (w *world) nextArrival() (next *stream) {
	for _, s := range w.streams {
		if s.nextMs < s.untilMs && s.nextMs < next.nextAtMs() {
			next = s
		}
	}
	return next
}

func (w *world) nextPhaseEnd() (next *worker) {
	for _, candidate := range w.workers {
		if candidate.nextMs < next.nextAtMs() {
			next = candidate
		}
	}
	return next
}

// nextRejection returns when the next queued request is rejected; +Inf if the queue is empty.
func (w *world) nextRejection() float64 {
	at := math.Inf(1)
	for _, r := range w.queue {
		at = min(at, r.arrivedMs+queueShare*r.demand.targetMs)
	}
	return at
}

// arrive queues the next request of a stream and draws the arrival of the one after it.
func (w *world) arrive(s *stream, nowMs float64) {
	s.nextMs = nowMs + w.interArrival(s.added.rate)
	r := &request{demand: s.demand, arrivedMs: nowMs, bulk: s.demand.bulk, dueMs: s.added.dueMs}
	if svc := w.family.service(s.demand.service); s.demand.events > 1 || s.added.events > 1 || svc.latency.decodeKnown && s.demand.bulk {
		r.freshTokens, r.events = w.size(s.added.freshTokens), max(w.size(s.added.events), 1)
		r.promptTokens = r.freshTokens + max(s.added.promptTokens-s.added.freshTokens, 0)
		r.outTokens = s.demand.outTokens * r.events / max(s.demand.events, 1)
	} else {
		r.plainMs = max(w.size(svc.plainWorkMs(s.demand.durationMs)), 0.1)
	}
	if r.bulk {
		w.batch = append(w.batch, r)
		return
	}
	at, _ := slices.BinarySearchFunc(w.queue, r, func(queued, new *request) int {
		if queued.demand.priority <= new.demand.priority {
			return -1
		}
		return 1
	})
	w.queue = slices.Insert(w.queue, at, r)
}
