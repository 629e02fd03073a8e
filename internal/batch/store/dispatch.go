package store

import (
	"lemonarch/internal/batch/lots"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// lockLength works the lock of an acquisition out from cancel-ms.
func lockLength(cancelMs float64) clock.Duration {
	if cancelMs <= 0 {
		return constants.LockUnstated
	}
	return min(constants.LockMax, clock.Milliseconds(constants.LockShare*cancelMs))
}

// openDispatcher makes the dispatcher of this epoch. The lock is held.
func (t *term) openDispatcher(before int64) {
	lock := lockLength(t.server.Node.Settings.Tolerances.CancelMs)
	dispatcher := lots.NewDispatcher(t.book, t.duty.Epoch, before, lock, t.begun)
	dispatcher.Submit = t.submit
	dispatcher.Closed = func(lot *lots.Lot) bool { return t.ending[lot.ID] }
	dispatcher.Tries = func(item *lots.Item) int {
		if route := itemRoute(t.server.Node.Config(), item); route != nil {
			return route.Tries
		}
		return constants.JobItemsMax
	}
	t.dispatcher = dispatcher
}

// itemRoute is the bulk route of an item, or else that of its lot.
func itemRoute(config *routeconfig.Config, item *lots.Item) *routeconfig.Route {
	if own := routeOf(config, item.Lot.Host, item.Path); own != nil {
		return own
	}
	return routeOf(config, item.Lot.Host, item.Lot.Path)
}

// terms says what a configuration means for a lot now. The lock is held while it is
// asked.
func (t *term) terms(config *routeconfig.Config) func(lot *lots.Lot) lots.Terms {
	wall, now := clock.WallNanos()/1_000_000, clock.Now()
	return func(lot *lots.Lot) lots.Terms {
		route := t.quota.route(config, place{lot.Host, lot.Path})
		if route == nil {
			return lots.Terms{Over: true}
		}
		age := wall - lot.SentMs
		return lots.Terms{Due: lot.SentMs + int64(route.ResultMs), Over: lot.Older(route.Retain(), wall, now),
			Late: float64(age)+t.dispatcher.TookMs > route.ResultMs}
	}
}

// acquire hands items to a driver, waiting a little while there are none.
func (t *term) acquire(req *messages.AcquireRequest) *messages.AcquireResponse {
	start := clock.Now()
	if !t.waitServing(constants.AcquireWait) {
		return &messages.AcquireResponse{NotLeader: true}
	}
	end := start.Add(min(clock.Milliseconds(float64(req.WaitMs)), constants.AcquireWait))
	ask := &lots.AcquireAsk{Driver: lots.Driver{Name: req.Executor, Life: req.Incarnation, Address: req.Address, Zone: req.Zone},
		Service: func(item *lots.Item) string {
			if route := itemRoute(t.server.Node.Config(), item); route != nil {
				return route.Choose(clock.Float64())
			}
			return ""
		}}
	// What it is handed must be known to a later holder before it has it.
	t.lock.Lock()
	entry := t.dispatcher.Enter(ask.Driver)
	t.lock.Unlock()
	if entry > 0 && !t.durable(entry, constants.RoundTimeout) {
		return &messages.AcquireResponse{NotLeader: true}
	}
	for {
		config, now := t.server.Node.Config(), clock.Now()
		// A hold that ran out hands nothing out: the next holder counts on it.
		if config == nil || !t.server.holds() || t.over() {
			return &messages.AcquireResponse{NotLeader: true}
		}
		ask.Room = map[string]int{}
		for _, room := range req.Capacity {
			ask.Room[room.Service] = room.Count
		}
		t.lock.Lock()
		ask.Terms = t.terms(config)
		t.dispatcher.Heard(ask.Driver, now)
		resp := t.handOut(t.dispatcher.Acquire(ask, now))
		fresh := t.fresh
		resp.Version, resp.Executors = t.dispatcher.Drivers(req.KnownVersion, now)
		t.lock.Unlock()
		if len(resp.Items) > 0 || now >= end || len(resp.Executors) > 0 {
			resp.WaitedMs = clock.ToMilliseconds(now.Sub(start))
			return resp
		}
		select {
		case <-fresh:
			// Many items come free at once: look a little later, together.
			clock.Sleep(constants.PumpPeriod / 2)
		case <-t.stop:
		case <-clock.After(min(end.Sub(now), constants.TickPeriod)):
		}
	}
}

// handOut writes acquisitions down for their driver. The lock is held.
func (t *term) handOut(taken []*lots.Acquisition) *messages.AcquireResponse {
	resp := &messages.AcquireResponse{LockMs: clock.ToMilliseconds(t.dispatcher.Lock)}
	for _, acquisition := range taken {
		item := acquisition.Item
		resp.Items = append(resp.Items, messages.AcquiredItem{Number: acquisition.Number, Job: item.Lot.ID, Host: item.Lot.Host,
			Path: item.Lot.Path, SubmittedMs: item.Lot.SentMs, Item: item.JobItem, LastID: item.LastID,
			// A driver in this process must not write behind what we keep.
			Events: item.Pieces[:len(item.Pieces):len(item.Pieces)], Preempted: item.Displaced, Owed: item.Owed})
		item.Owed = false
	}
	return resp
}

// acknowledge takes a batch of acknowledgements. What needs a record is answered
// once that is durable; what can't be known is repeated by the driver.
func (t *term) acknowledge(req *messages.AcknowledgeRequest) *messages.AcknowledgeResponse {
	if !t.waitServing(constants.CallTimeout / 2) {
		return &messages.AcknowledgeResponse{NotLeader: true}
	}
	driver := lots.Driver{Name: req.Executor, Life: req.Incarnation, Address: req.Address, Zone: req.Zone}
	resp := &messages.AcknowledgeResponse{}
	steps := make([]lots.Step, len(req.Entries))
	last := int64(0)
	now := clock.Now()
	t.lock.Lock()
	if req.Draining {
		t.dispatcher.Left(driver)
		t.freshen()
	} else {
		t.dispatcher.Heard(driver, now)
	}
	resp.Version, resp.Executors = t.dispatcher.Drivers(req.KnownVersion, now)
	for i := range req.Entries {
		entry := &req.Entries[i]
		steps[i] = t.dispatcher.Acknowledge(driver, entry, now)
		last = max(last, steps[i].Index)
		if entry.Kind == messages.AckRelease {
			t.freshen()
		}
	}
	if req.Epoch > 0 {
		t.dispatcher.Listed(driver, req.Epoch, now)
	}
	t.lock.Unlock()
	durable := last == 0 || t.durable(last, constants.RoundTimeout)
	for _, step := range steps {
		verdict := step.Verdict
		if step.Index > 0 && !durable {
			verdict = messages.AckUnknown
		}
		resp.Verdicts = append(resp.Verdicts, verdict)
	}
	if !t.server.holds() || t.over() {
		// Another may hold the duty by now: what we say is old.
		return &messages.AcknowledgeResponse{NotLeader: true}
	}
	return resp
}

// freshen wakes the drivers that wait for items. The lock is held.
func (t *term) freshen() {
	close(t.fresh)
	t.fresh = make(chan struct{})
}

// tendItems lets locks lapse and archives what has come to a terminal ground.
func (t *term) tendItems() {
	looked := clock.Now()
	clock.Every(constants.TickPeriod, t.stop, func() {
		config, now := t.server.Node.Config(), clock.Now()
		if config == nil || !t.server.holds() || t.over() {
			return
		}
		t.lock.Lock()
		defer t.lock.Unlock()
		if quiet, lapsed := t.dispatcher.Quiet(now), t.dispatcher.Lapse(now); quiet || lapsed > 0 {
			t.freshen()
		}
		if now.Sub(looked) >= constants.ExpirePeriod {
			looked = now
			t.dispatcher.Sure(now)
			t.dispatcher.Expire(t.terms(config), now)
		}
	})
}
