package forecast

// place starts waiting requests at workers: live requests in order of priority, then items of batch
// jobs in order of arrival. It returns at the first request for which no worker has a free slot, so
// items are started only when no live request waits.
func (w *world) place(nowMs float64) {
	for len(w.queue) > 0 {
		r := w.queue[0]
		target := w.leastLoaded(r)
		if target == nil {
			return
		}
		w.queue = w.queue[1:]
		w.recordWait(r, nowMs-r.arrivedMs, false)
		target.start(r, nowMs)
	}
	for len(w.batch) > 0 {
		r := w.batch[0]
		target := w.leastLoaded(r)
		if target == nil {
			return
		}
		w.batch = w.batch[1:]
		target.start(r, nowMs)
	}
}

// leastLoaded returns the worker of the request's service with the fewest assigned requests among
// those that can accept it, or nil if there is none.
func (w *world) leastLoaded(r *request) (least *worker) {
	for _, candidate := range w.workers {
		if candidate.service.name == r.demand.service && candidate.hasFreeSlot(r) && (least == nil || candidate.assigned() < least.assigned()) {
			least = candidate
		}
	}
	return least
}

// rejectOverdue rejects queued requests that have waited for queueShare of their latency target.
func (w *world) rejectOverdue(nowMs float64) {
	kept := w.queue[:0]
	for _, r := range w.queue {
		if r.arrivedMs+queueShare*r.demand.targetMs > nowMs {
			kept = append(kept, r)
			continue
		}
		w.recordWait(r, nowMs-r.arrivedMs, true)
		w.countInSurge(r, true)
	}
	w.queue = kept
}

// recordWait adds a request's wait to the window in which the request arrived.
func (w *world) recordWait(r *request, waitMs float64, rejected bool) {
	current := &w.windows[min(int(r.arrivedMs/windowMs), len(w.windows)-1)]
	current.waitMs += waitMs
	if rejected {
		current.rejected++
	} else {
		current.placed++
	}
}

// recordCompletion counts a completed request as late or in time.
func (w *world) recordCompletion(r *request, nowMs float64) {
	late := r.firstMs-r.arrivedMs > r.demand.targetMs || (r.demand.gapMs > 0 && r.gapMs > r.demand.gapMs)
	if r.bulk {
		late = r.dueMs > 0 && nowMs-r.arrivedMs > r.dueMs
	}
	w.countInSurge(r, late)
}

// countInSurge counts a request if it arrived during a surge of its family.
func (w *world) countInSurge(r *request, late bool) {
	if !w.family.surgeActiveAt(r.arrivedMs) {
		return
	}
	counts := w.tallies[r.demand]
	counts.total++
	if late {
		counts.late++
	}
}

// surgeActiveAt reports whether a surge on the family is active at the given time.
func (f *family) surgeActiveAt(atMs float64) bool {
	for _, d := range f.demands {
		for _, added := range d.additions {
			if added.fromMs <= atMs && atMs < added.untilMs {
				return true
			}
		}
	}
	return false
}

// shortAtMs returns the start of the first window in which the family was short of capacity, or -1
// if there is none.
func (w *world) shortAtMs() float64 {
	for i, current := range w.windows {
		total := current.placed + current.rejected
		if total == 0 {
			continue
		}
		if current.waitMs/float64(total) > ShortWaitMs || float64(current.rejected) > ShortRejections*float64(total) {
			return float64(i) * windowMs
		}
	}
	return -1
}
