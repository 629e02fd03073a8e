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
	// scale is the part of the family's workers and traffic that is simulated.
	scale   float64
	workers []*worker
	queue   []*request
	batch   []*request
	// arrivals are the next arrival of each stream of requests.
	streams []*stream
	windows []window
	tallies map[*demand]*tally
}

// stream is the arrivals of a class, at present or of a surge.
type stream struct {
	demand          *demand
	added           addition
	fromMs, untilMs float64
	nextMs          float64
}

// window is what came of the requests that arrived in one window of time.
type window struct {
	waitMs          float64
	placed, refused int
}

// tally counts the requests of a class that arrived while a surge was on.
type tally struct{ all, late int }

// run plays the family until the horizon.
func (f *family) run(horizonMs float64, seed uint64) *world {
	w := &world{family: f, random: rand.NewPCG(seed, 1), horizonMs: horizonMs, scale: 1, tallies: map[*demand]*tally{}}
	most := 0
	for _, of := range f.services {
		most = max(most, of.workers)
	}
	if most > simulatedWorkersMax {
		w.scale = simulatedWorkersMax / float64(most)
	}
	for _, of := range f.services {
		for range max(int(math.Round(float64(of.workers)*w.scale)), 1) {
			w.workers = append(w.workers, newWorker(of))
		}
	}
	w.windows = make([]window, int(horizonMs/windowMs)+1)
	for _, entry := range f.demands {
		w.tallies[entry] = &tally{}
		present := addition{rate: entry.rate, dueMs: entry.dueMs, promptTokens: entry.promptTokens, freshTokens: entry.freshTokens, events: entry.events}
		w.addStream(entry, present, 0, horizonMs)
		for _, added := range entry.additions {
			w.addStream(entry, added, added.fromMs, min(added.untilMs, horizonMs))
		}
	}
	w.play()
	return w
}

func (w *world) addStream(entry *demand, added addition, fromMs, untilMs float64) {
	if added.rate <= 0 || fromMs >= untilMs {
		return
	}
	s := &stream{demand: entry, added: added, fromMs: fromMs, untilMs: untilMs}
	s.nextMs = fromMs + w.interArrival(added.rate)
	w.streams = append(w.streams, s)
}

// interArrival draws the time to the next arrival of a Poisson stream, in ms.
func (w *world) interArrival(rate float64) float64 {
	return distuv.Exponential{Rate: rate * w.scale / 1000, Src: w.random}.Rand()
}

// size draws a size with a mean.
func (w *world) size(mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	return distuv.Gamma{Alpha: sizeShape, Beta: sizeShape / mean, Src: w.random}.Rand()
}

func (w *world) play() {
	for {
		arrival := w.nextArrival()
		ending := w.nextEnding()
		refusal := w.nextRefusal()
		nowMs := min(arrival.at(), ending.at(), refusal)
		if nowMs > w.horizonMs {
			break
		}
		switch nowMs {
		case refusal:
			w.refuseOverdue(nowMs)
		case ending.at():
			for _, r := range ending.step(nowMs) {
				w.finished(r, nowMs)
			}
		default:
			w.arrive(arrival, nowMs)
		}
		w.place(nowMs)
	}
	// What still waits for a result past its time is late as well.
	for _, r := range w.batch {
		if r.arrivedMs+r.dueMs <= w.horizonMs {
			w.count(r, true)
		}
	}
}

// at is when the stream's next request arrives, +Inf for none.
func (s *stream) at() float64 {
	if s == nil {
		return math.Inf(1)
	}
	return s.nextMs
}

// at is when the worker's next phase ends, +Inf for none.
func (w *worker) at() float64 {
	if w == nil {
		return math.Inf(1)
	}
	return w.nextMs
}

func (w *world) nextArrival() (next *stream) {
	for _, s := range w.streams {
		if s.nextMs < s.untilMs && s.nextMs < next.at() {
			next = s
		}
	}
	return next
}

func (w *world) nextEnding() (next *worker) {
	for _, each := range w.workers {
		if each.nextMs < next.at() {
			next = each
		}
	}
	return next
}

// nextRefusal is when the first that waits is refused.
func (w *world) nextRefusal() float64 {
	at := math.Inf(1)
	for _, r := range w.queue {
		at = min(at, r.arrivedMs+queueShare*r.demand.targetMs)
	}
	return at
}

// arrive takes the next request of a stream.
func (w *world) arrive(s *stream, nowMs float64) {
	s.nextMs = nowMs + w.interArrival(s.added.rate)
	r := &request{demand: s.demand, arrivedMs: nowMs, bulk: s.demand.bulk, dueMs: s.added.dueMs}
	if of := w.family.service(s.demand.service); s.demand.events > 1 || s.added.events > 1 || of.pace.decodeKnown && s.demand.bulk {
		r.fresh, r.events = w.size(s.added.freshTokens), max(w.size(s.added.events), 1)
		r.prompt = r.fresh + max(s.added.promptTokens-s.added.freshTokens, 0)
		r.out = s.demand.outTokens * r.events / max(s.demand.events, 1)
	} else {
		r.plainMs = max(w.size(of.plainMs(s.demand.durationMs)), 0.1)
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
