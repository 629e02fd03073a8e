package forecast

import "math"

// request is one simulated request or item.
type request struct {
	demand    *demand
	arrivedMs float64
	fresh     float64
	prompt    float64
	events    float64
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
	bulk    int
	held    float64
	atMs    float64
	// nextMs is when the next phase of a request ends; +Inf where nothing runs.
	nextMs float64
}

func newWorker(of *service) *worker { return &worker{of: of, nextMs: math.Inf(1)} }

// fits tells whether a request gets a slot and memory.
func (w *worker) fits(r *request) bool {
	if float64(len(w.running)) >= w.of.slots {
		return false
	}
	if r.bulk && float64(w.bulk) >= bulkShare*w.of.slots {
		return false
	}
	return w.of.cacheTokens <= 0 || len(w.running) == 0 || w.held+r.prompt+r.events <= w.of.cacheTokens
}

// start lets a request run.
func (w *worker) start(r *request, nowMs float64) {
	w.advance(nowMs)
	r.placedMs = nowMs
	if r.plainMs > 0 {
		// Plain work takes up to twice as long on a full worker.
		r.left = r.plainMs
	} else {
		r.reading, r.left = true, r.fresh*w.of.pace.tokenMs+w.of.pace.firstMs
	}
	w.running = append(w.running, r)
	w.held += r.prompt + r.events
	if r.bulk {
		w.bulk++
	}
	w.schedule()
}

// pace gives how fast the phases go on: ms of reading, events, and ms of plain work in a ms.
func (w *worker) rates() (event float64) {
	return 1 / max(w.of.pace.gapAt(float64(len(w.running))), 1e-6)
}

// advance moves all phases on to a time before the next end of one.
func (w *worker) advance(nowMs float64) {
	elapsed := nowMs - w.atMs
	w.atMs = nowMs
	if elapsed <= 0 {
		return
	}
	event, readingSeen := w.rates(), false
	for _, r := range w.running {
		switch {
		case r.plainMs > 0:
			r.left -= elapsed
		case r.reading:
			if !readingSeen {
				r.left -= elapsed
			}
			readingSeen = true
		default:
			r.left -= elapsed * event
		}
	}
}

// schedule finds the next end of a phase.
func (w *worker) schedule() {
	w.nextMs = math.Inf(1)
	event, readingSeen := w.rates(), false
	for _, r := range w.running {
		left := r.left
		switch {
		case r.plainMs > 0:
		case r.reading:
			if readingSeen {
				continue
			}
			readingSeen = true
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
	readingSeen := false
	for _, r := range w.running {
		first := r.reading && !readingSeen
		readingSeen = readingSeen || r.reading
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
		w.held -= r.prompt + r.events
		if r.bulk {
			w.bulk--
		}
		done = append(done, r)
	}
	w.running = kept
	w.schedule()
	return done
}
