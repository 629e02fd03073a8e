package forecast

import "math"

// request is one simulated request or item.
type request struct {
	demand    *demand
	arrivedMs float64
	fresh     float64
	prompt    float64
	events    float64
	out       float64
	plainMs   float64
	dueMs     float64
	placedMs  float64
	firstMs   float64
	// gapMs is the longest mean time between events that it met.
	gapMs float64
	bulk  bool
	// left is what is left of the present phase: fresh tokens, events, or ms of plain work.
	left    float64
	reading bool
}

// worker is a worker as the forecast takes it to be: it reads one prompt at a time, the oldest
// first, and makes the events of all others the slower, the more of them run.
type worker struct {
	of      *service
	running []*request
	// pending have a slot and wait for memory, in their order: gateways count slots only.
	pending []*request
	bulk    int
	held    float64
	atMs    float64
	// nextMs is when the next phase of a request ends; +Inf where nothing runs.
	nextMs float64
}

func newWorker(of *service) *worker { return &worker{of: of, nextMs: math.Inf(1)} }

// given is how many requests have a slot.
func (w *worker) given() int { return len(w.running) + len(w.pending) }

// fits tells whether a request gets a slot.
func (w *worker) fits(r *request) bool {
	if r.bulk && float64(w.bulk) >= bulkShare*w.of.slots {
		return false
	}
	return float64(w.given()) < w.of.slots
}

// hasMemory tells whether a request may run beside those that do.
func (w *worker) hasMemory(r *request) bool {
	return w.of.cacheTokens <= 0 || len(w.running) == 0 || w.held+r.tokens() <= w.of.cacheTokens
}

// tokens is the memory that a request holds, half of what goes out on the mean.
func (r *request) tokens() float64 { return r.prompt + r.out/2 }

// start gives a request a slot.
func (w *worker) start(r *request, nowMs float64) {
	w.advance(nowMs)
	r.placedMs = nowMs
	if r.bulk {
		w.bulk++
	}
	w.pending = append(w.pending, r)
	w.admit()
	w.schedule()
}

// admit lets those run that have waited longest for memory.
func (w *worker) admit() {
	for len(w.pending) > 0 && w.hasMemory(w.pending[0]) {
		w.run(w.pending[0])
		w.pending = w.pending[1:]
	}
}

// run begins the first phase of a request.
func (w *worker) run(r *request) {
	if r.plainMs > 0 {
		r.left = r.plainMs
	} else {
		r.reading, r.left = true, r.fresh*w.of.pace.tokenMs+w.of.pace.firstMs
	}
	w.running = append(w.running, r)
	w.held += r.tokens()
}

// rates gives how fast the phases go on: events a ms, and ms of plain work a ms.
func (w *worker) rates() (event, plain float64) {
	gap := max(w.of.pace.gapAt(float64(len(w.running))), 1e-6)
	return 1 / gap, w.of.pace.gapAt(1) / gap
}

// advance moves all phases on to a time before the next end of one.
func (w *worker) advance(nowMs float64) {
	elapsed := nowMs - w.atMs
	w.atMs = nowMs
	if elapsed <= 0 {
		return
	}
	event, plain := w.rates()
	prefillActive := false
	for _, r := range w.running {
		switch {
		case r.plainMs > 0:
			r.left -= elapsed * plain
		case r.reading:
			if !prefillActive {
				r.left -= elapsed
			}
			prefillActive = true
		default:
			r.left -= elapsed * event
		}
	}
}

// schedule finds the next end of a phase.
func (w *worker) schedule() {
	w.nextMs = math.Inf(1)
	event, plain := w.rates()
	prefillActive := false
	for _, r := range w.running {
		left := r.left
		switch {
		case r.plainMs > 0:
			left /= plain
		case r.reading:
			if prefillActive {
				continue
			}
			prefillActive = true
		default:
			r.gapMs = max(r.gapMs, 1/event)
			left /= event
		}
		w.nextMs = min(w.nextMs, w.atMs+max(left, 0))
	}
}

// step ends the phases that are over now, and gives the requests that are done.
func (w *worker) step(nowMs float64) (done []*request) {
	const over = 1e-6
	w.advance(nowMs)
	kept := w.running[:0]
	prefillActive := false
	for _, r := range w.running {
		first := r.reading && !prefillActive
		prefillActive = prefillActive || r.reading
		if r.left > over || (r.reading && !first) {
			kept = append(kept, r)
			continue
		}
		if r.reading && r.plainMs == 0 {
			// Its first event is out, the others follow.
			r.reading, r.firstMs, r.left = false, nowMs, r.events-1
			if r.left > over {
				kept = append(kept, r)
				continue
			}
		}
		if r.firstMs == 0 {
			r.firstMs = nowMs
		}
		w.held -= r.tokens()
		if r.bulk {
			w.bulk--
		}
		done = append(done, r)
	}
	w.running = kept
	w.admit()
	w.schedule()
	return done
}
