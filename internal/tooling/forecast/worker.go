package forecast

import "math"

// request is one simulated request or item.
type request struct {
	demand       *demand
	arrivedMs    float64
	freshTokens  float64
	promptTokens float64
	events       float64
	outTokens    float64
	plainMs      float64
	dueMs        float64
	placedMs     float64
	firstMs      float64
	// gapMs is the longest mean time between events during the request.
	gapMs float64
	bulk  bool
	// remaining is the remainder of the present phase: ms of prefill, events, or ms of plain work.
	// prefilling is set during the prefill phase.
	remaining  float64
	prefilling bool
}

// worker is the forecast's model of a worker. It prefills one prompt at a time, the oldest first, and
// emits the events of all other requests, more slowly the more requests run.
type worker struct {
	service *service
	running []*request
	// pending requests have a slot and wait for memory, in order of arrival: gateways count only
	// slots when they place a request.
	pending    []*request
	bulk       int
	memoryUsed float64
	atMs       float64
	// nextMs is when the next phase of a request ends; +Inf if nothing runs.
	nextMs float64
}

func newWorker(s *service) *worker { return &worker{service: s, nextMs: math.Inf(1)} }

// assigned returns how many requests have a slot.
func (w *worker) assigned() int { return len(w.running) + len(w.pending) }

// hasFreeSlot reports whether the request can have a slot.
func (w *worker) hasFreeSlot(r *request) bool {
	if r.bulk && float64(w.bulk) >= bulkShare*w.service.slots {
		return false
	}
	return float64(w.assigned()) < w.service.slots
}

// hasMemory reports whether the request fits into memory beside the running ones. A request that
// would run alone always fits.
func (w *worker) hasMemory(r *request) bool {
	return w.service.cacheTokens <= 0 || len(w.running) == 0 || w.memoryUsed+r.memoryTokens() <= w.service.cacheTokens
}

// memoryTokens returns the mean memory that a request uses: its prompt and half of its output.
func (r *request) memoryTokens() float64 { return r.promptTokens + r.outTokens/2 }

// start assigns a slot to a request.
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

// admit starts pending requests in their order as long as memory suffices.
func (w *worker) admit() {
	for len(w.pending) > 0 && w.hasMemory(w.pending[0]) {
		w.startFirstPhase(w.pending[0])
		w.pending = w.pending[1:]
	}
}

// startFirstPhase starts the first phase of a request: plain work or prefill.
func (w *worker) startFirstPhase(r *request) {
	if r.plainMs > 0 {
		r.remaining = r.plainMs
	} else {
		r.prefilling, r.remaining = true, r.freshTokens*w.service.latency.tokenMs+w.service.latency.firstMs
	}
	w.running = append(w.running, r)
	w.memoryUsed += r.memoryTokens()
}

// rates returns the present speed of the phases: events per ms, and ms of plain work per ms.
func (w *worker) rates() (event, plain float64) {
	gap := max(w.service.latency.eventGapMs(float64(len(w.running))), 1e-6)
	return 1 / gap, w.service.latency.eventGapMs(1) / gap
}

// advance updates the progress of all phases to a time that is not after the next end of a phase.
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
			r.remaining -= elapsed * plain
		case r.prefilling:
			if !prefillActive {
				r.remaining -= elapsed
			}
			prefillActive = true
		default:
			r.remaining -= elapsed * event
		}
	}
}

// schedule computes when the next phase ends.
func (w *worker) schedule() {
	w.nextMs = math.Inf(1)
	event, plain := w.rates()
	prefillActive := false
	for _, r := range w.running {
		durationMs := r.remaining
		switch {
		case r.plainMs > 0:
			durationMs /= plain
		case r.prefilling:
			if prefillActive {
				continue
			}
			prefillActive = true
		default:
			r.gapMs = max(r.gapMs, 1/event)
			durationMs /= event
		}
		w.nextMs = min(w.nextMs, w.atMs+max(durationMs, 0))
	}
}

// completePhases ends the phases that are over now, and returns the requests that are completed.
func (w *worker) completePhases(nowMs float64) (done []*request) {
	const tolerance = 1e-6
	w.advance(nowMs)
	kept := w.running[:0]
	prefillActive := false
	for _, r := range w.running {
		prefillingNow := r.prefilling && !prefillActive
		prefillActive = prefillActive || r.prefilling
		if r.remaining > tolerance || (r.prefilling && !prefillingNow) {
			kept = append(kept, r)
			continue
		}
		if r.prefilling && r.plainMs == 0 {
			// The first event is emitted at the end of prefill; the others follow in the next phase.
			r.prefilling, r.firstMs, r.remaining = false, nowMs, r.events-1
			if r.remaining > tolerance {
				kept = append(kept, r)
				continue
			}
		}
		if r.firstMs == 0 {
			r.firstMs = nowMs
		}
		w.memoryUsed -= r.memoryTokens()
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
