package store

import (
	"lemonarch/internal/batch/lots"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// lockLength works the lock of an acquisition out from cancel-ms.
func lockLength(cancelMs float64) clock.Span {
	if cancelMs <= 0 {
		return constants.LockUnstated
	}
	return min(constants.LockMost, clock.Milliseconds(constants.LockShare*cancelMs))
}

// openDispatcher makes the dispatcher of this epoch. The lock is held.
func (t *term) openDispatcher(before int64) {
	lock := lockLength(t.server.Node.Settings.Tolerances.CancelMs)
	one := lots.NewDispatcher(t.book, t.duty.Epoch, before, lock, t.begun)
	one.Submit = t.submit
	one.Closed = func(lot *lots.Lot) bool { return t.ending[lot.ID] }
	one.Tries = func(item *lots.Item) int {
		if route := itemRoute(t.server.Node.Config(), item); route != nil {
			return route.Tries
		}
		return constants.LotItems
	}
	t.dispatcher = one
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
	wall, now := clock.Wall()/1_000_000, clock.Now()
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
func (t *term) acquire(question *messages.Acquire) *messages.Acquired {
	begun := clock.Now()
	if !t.waitServing(constants.AcquireHold) {
		return &messages.Acquired{Elsewhere: true}
	}
	end := begun.Plus(min(clock.Milliseconds(float64(question.HoldMs)), constants.AcquireHold))
	ask := &lots.AcquireAsk{Driver: lots.Driver{Name: question.Driver, Life: question.Life, Address: question.Address, Zone: question.Zone},
		Service: func(item *lots.Item) string {
			if route := itemRoute(t.server.Node.Config(), item); route != nil {
				return route.Choose(clock.Draw())
			}
			return ""
		}}
	// What it is handed must be known to a later holder before it has it.
	t.lock.Lock()
	entry := t.dispatcher.Enter(ask.Driver)
	t.lock.Unlock()
	if entry > 0 && !t.durable(entry, constants.RoundTime) {
		return &messages.Acquired{Elsewhere: true}
	}
	for {
		config, now := t.server.Node.Config(), clock.Now()
		// A hold that ran out hands nothing out: the next holder counts on it.
		if config == nil || !t.server.holds() || t.over() {
			return &messages.Acquired{Elsewhere: true}
		}
		ask.Room = map[string]int{}
		for _, room := range question.Room {
			ask.Room[room.Service] = room.Count
		}
		t.lock.Lock()
		ask.Terms = t.terms(config)
		t.dispatcher.Heard(ask.Driver, now)
		answer := t.handOut(t.dispatcher.Acquire(ask, now))
		fresh := t.fresh
		answer.Version, answer.Drivers = t.dispatcher.Drivers(question.Known, now)
		t.lock.Unlock()
		if len(answer.Items) > 0 || now >= end || len(answer.Drivers) > 0 {
			answer.HeldMs = clock.ToMilliseconds(now.Since(begun))
			return answer
		}
		select {
		case <-fresh:
			// Many items come free at once: look a little later, together.
			clock.Sleep(constants.PumpPeriod / 2)
		case <-t.stop:
		case <-clock.After(min(end.Since(now), constants.TickPeriod)):
		}
	}
}

// handOut writes acquisitions down for their driver. The lock is held.
func (t *term) handOut(taken []*lots.Acquisition) *messages.Acquired {
	answer := &messages.Acquired{LockMs: clock.ToMilliseconds(t.dispatcher.Lock)}
	for _, one := range taken {
		item := one.Item
		answer.Items = append(answer.Items, messages.AcquiredItem{Number: one.Number, Lot: item.Lot.ID, Host: item.Lot.Host,
			Path: item.Lot.Path, SentMs: item.Lot.SentMs, Item: item.LotItem, LastID: item.LastID,
			// A driver in this process must not write behind what we keep.
			Pieces: item.Pieces[:len(item.Pieces):len(item.Pieces)], Displaced: item.Displaced, Owed: item.Owed})
		item.Owed = false
	}
	return answer
}

// acknowledge takes a batch of acknowledgements. What needs a record is answered
// once that is durable; what can't be known is repeated by the driver.
func (t *term) acknowledge(question *messages.Acknowledge) *messages.Acknowledged {
	if !t.waitServing(constants.CallTime / 2) {
		return &messages.Acknowledged{Elsewhere: true}
	}
	driver := lots.Driver{Name: question.Driver, Life: question.Life, Address: question.Address, Zone: question.Zone}
	answer := &messages.Acknowledged{}
	steps := make([]lots.Step, len(question.Entries))
	last := int64(0)
	now := clock.Now()
	t.lock.Lock()
	if question.Leaving {
		t.dispatcher.Left(driver)
		t.freshen()
	} else {
		t.dispatcher.Heard(driver, now)
	}
	answer.Version, answer.Drivers = t.dispatcher.Drivers(question.Known, now)
	for place := range question.Entries {
		entry := &question.Entries[place]
		steps[place] = t.dispatcher.Acknowledge(driver, entry, now)
		last = max(last, steps[place].Index)
		if entry.Kind == messages.AckRelease {
			t.freshen()
		}
	}
	if question.Epoch > 0 {
		t.dispatcher.Listed(driver, question.Epoch, now)
	}
	t.lock.Unlock()
	durable := last == 0 || t.durable(last, constants.RoundTime)
	for _, step := range steps {
		verdict := step.Verdict
		if step.Index > 0 && !durable {
			verdict = messages.AckUnknown
		}
		answer.Verdicts = append(answer.Verdicts, verdict)
	}
	if !t.server.holds() || t.over() {
		// Another may hold the duty by now: what we say is old.
		return &messages.Acknowledged{Elsewhere: true}
	}
	return answer
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
		if now.Since(looked) >= constants.ExpirePeriod {
			looked = now
			t.dispatcher.Sure(now)
			t.dispatcher.Expire(t.terms(config), now)
		}
	})
}
