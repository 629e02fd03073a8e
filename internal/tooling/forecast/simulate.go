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
	s.nextMs = fromMs + w.pause(added.rate)
	w.streams = append(w.streams, s)
}

// pause draws the time to the next arrival of a Poisson stream, in ms.
func (w *world) pause(rate float64) float64 {
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
	s.nextMs = nowMs + w.pause(s.added.rate)
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

// place starts what waits: live requests by rank, then items, the first due first.
func (w *world) place(nowMs float64) {
	for len(w.queue) > 0 {
		r := w.queue[0]
		chosen := w.freest(r)
		if chosen == nil {
			return
		}
		w.queue = w.queue[1:]
		w.note(r, nowMs-r.arrivedMs, false)
		chosen.start(r, nowMs)
	}
	for len(w.batch) > 0 {
		r := w.batch[0]
		chosen := w.freest(r)
		if chosen == nil {
			return
		}
		w.batch = w.batch[1:]
		chosen.start(r, nowMs)
	}
}

// freest gives the worker of the request's service on which fewest run.
func (w *world) freest(r *request) (chosen *worker) {
	for _, each := range w.workers {
		if each.of.name == r.demand.service && each.fits(r) && (chosen == nil || each.given() < chosen.given()) {
			chosen = each
		}
	}
	return chosen
}

// refuseOverdue refuses those that have waited as long as they may.
func (w *world) refuseOverdue(nowMs float64) {
	kept := w.queue[:0]
	for _, r := range w.queue {
		if r.arrivedMs+queueShare*r.demand.targetMs > nowMs {
			kept = append(kept, r)
			continue
		}
		w.note(r, nowMs-r.arrivedMs, true)
		w.count(r, true)
	}
	w.queue = kept
}

// note counts a request in the window in which it arrived.
func (w *world) note(r *request, waitMs float64, refused bool) {
	at := &w.windows[min(int(r.arrivedMs/windowMs), len(w.windows)-1)]
	at.waitMs += waitMs
	if refused {
		at.refused++
	} else {
		at.placed++
	}
}

// finished counts a request that is done.
func (w *world) finished(r *request, nowMs float64) {
	late := r.firstMs-r.arrivedMs > r.demand.targetMs || (r.demand.gapMs > 0 && r.gapMs > r.demand.gapMs)
	if r.bulk {
		late = r.dueMs > 0 && nowMs-r.arrivedMs > r.dueMs
	}
	w.count(r, late)
}

// count counts a request that arrived in a surge of its family.
func (w *world) count(r *request, late bool) {
	if !w.family.surgesAt(r.arrivedMs) {
		return
	}
	of := w.tallies[r.demand]
	of.all++
	if late {
		of.late++
	}
}

// surgesAt tells whether a surge on the family is on.
func (f *family) surgesAt(atMs float64) bool {
	for _, entry := range f.demands {
		for _, added := range entry.additions {
			if added.fromMs <= atMs && atMs < added.untilMs {
				return true
			}
		}
	}
	return false
}

// shortAtMs is the first window in which the family was short, -1 for none.
func (w *world) shortAtMs() float64 {
	for i, at := range w.windows {
		all := at.placed + at.refused
		if all == 0 {
			continue
		}
		if at.waitMs/float64(all) > shortWaitMs || float64(at.refused) > shortRefusals*float64(all) {
			return float64(i) * windowMs
		}
	}
	return -1
}
