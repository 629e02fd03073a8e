package forecast

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
		if at.waitMs/float64(all) > ShortWaitMs || float64(at.refused) > ShortRefusals*float64(all) {
			return float64(i) * windowMs
		}
	}
	return -1
}
