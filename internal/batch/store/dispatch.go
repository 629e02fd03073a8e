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
func (term *term) openDispatcher(before int64) {
	lock := lockLength(term.server.Node.Settings.Tolerances.CancelMs)
	one := lots.NewDispatcher(term.book, term.duty.Epoch, before, lock, term.begun)
	one.Submit = term.submit
	one.Closed = func(lot *lots.Lot) bool { return term.ending[lot.ID] }
	one.Tries = func(item *lots.Item) int {
		if route := itemRoute(term.server.Node.Config(), item); route != nil {
			return route.Tries
		}
		return constants.LotItems
	}
	term.dispatcher = one
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
func (term *term) terms(config *routeconfig.Config) func(lot *lots.Lot) lots.Terms {
	wall, now := clock.Wall()/1_000_000, clock.Now()
	return func(lot *lots.Lot) lots.Terms {
		route := term.quota.route(config, place{lot.Host, lot.Path})
		if route == nil {
			return lots.Terms{Over: true}
		}
		age := wall - lot.SentMs
		return lots.Terms{Due: lot.SentMs + int64(route.ResultMs), Over: lot.Older(route.Retain(), wall, now),
			Late: float64(age)+term.dispatcher.TookMs > route.ResultMs}
	}
}

// acquire hands items to a driver, waiting a little while there are none.
func (term *term) acquire(question *messages.Acquire) *messages.Acquired {
	begun := clock.Now()
	if !term.waitServing(constants.AcquireHold) {
		return &messages.Acquired{Elsewhere: true}
	}
	end := begun.Plus(min(clock.Milliseconds(float64(question.HoldMs)), constants.AcquireHold))
	ask := &lots.AcquireAsk{Driver: lots.Driver{Name: question.Driver, Life: question.Life, Address: question.Address, Zone: question.Zone},
		Service: func(item *lots.Item) string {
			if route := itemRoute(term.server.Node.Config(), item); route != nil {
				return route.Choose(clock.Draw())
			}
			return ""
		}}
	// What it is handed must be known to a later holder before it has it.
	term.lock.Lock()
	entry := term.dispatcher.Enter(ask.Driver)
	term.lock.Unlock()
	if entry > 0 && !term.durable(entry, constants.RoundTime) {
		return &messages.Acquired{Elsewhere: true}
	}
	for {
		config, now := term.server.Node.Config(), clock.Now()
		// A hold that ran out hands nothing out: the next holder counts on it.
		if config == nil || !term.server.holds() || term.over() {
			return &messages.Acquired{Elsewhere: true}
		}
		ask.Room = map[string]int{}
		for _, room := range question.Room {
			ask.Room[room.Service] = room.Count
		}
		term.lock.Lock()
		ask.Terms = term.terms(config)
		term.dispatcher.Heard(ask.Driver, now)
		answer := term.handOut(term.dispatcher.Acquire(ask, now))
		fresh := term.fresh
		answer.Version, answer.Drivers = term.dispatcher.Drivers(question.Known, now)
		term.lock.Unlock()
		if len(answer.Items) > 0 || now >= end || len(answer.Drivers) > 0 {
			answer.HeldMs = clock.ToMilliseconds(now.Since(begun))
			return answer
		}
		select {
		case <-fresh:
			// Many items come free at once: look a little later, together.
			clock.Sleep(constants.PumpPeriod / 2)
		case <-term.stop:
		case <-clock.After(min(end.Since(now), constants.TickPeriod)):
		}
	}
}

// handOut writes acquisitions down for their driver. The lock is held.
func (term *term) handOut(taken []*lots.Acquisition) *messages.Acquired {
	answer := &messages.Acquired{LockMs: clock.ToMilliseconds(term.dispatcher.Lock)}
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
func (term *term) acknowledge(question *messages.Acknowledge) *messages.Acknowledged {
	if !term.waitServing(constants.CallTime / 2) {
		return &messages.Acknowledged{Elsewhere: true}
	}
	driver := lots.Driver{Name: question.Driver, Life: question.Life, Address: question.Address, Zone: question.Zone}
	answer := &messages.Acknowledged{}
	steps := make([]lots.Step, len(question.Entries))
	last := int64(0)
	now := clock.Now()
	term.lock.Lock()
	if question.Leaving {
		term.dispatcher.Left(driver)
		term.freshen()
	} else {
		term.dispatcher.Heard(driver, now)
	}
	answer.Version, answer.Drivers = term.dispatcher.Drivers(question.Known, now)
	for place := range question.Entries {
		entry := &question.Entries[place]
		steps[place] = term.dispatcher.Acknowledge(driver, entry, now)
		last = max(last, steps[place].Index)
		if entry.Kind == messages.AckRelease {
			term.freshen()
		}
	}
	if question.Epoch > 0 {
		term.dispatcher.Listed(driver, question.Epoch, now)
	}
	term.lock.Unlock()
	durable := last == 0 || term.durable(last, constants.RoundTime)
	for _, step := range steps {
		verdict := step.Verdict
		if step.Index > 0 && !durable {
			verdict = messages.AckUnknown
		}
		answer.Verdicts = append(answer.Verdicts, verdict)
	}
	if !term.server.holds() || term.over() {
		// Another may hold the duty by now: what we say is old.
		return &messages.Acknowledged{Elsewhere: true}
	}
	return answer
}

// freshen wakes the drivers that wait for items. The lock is held.
func (term *term) freshen() {
	close(term.fresh)
	term.fresh = make(chan struct{})
}

// tendItems lets locks lapse and archives what has come to a terminal ground.
func (term *term) tendItems() {
	looked := clock.Now()
	clock.Every(constants.TickPeriod, term.stop, func() {
		config, now := term.server.Node.Config(), clock.Now()
		if config == nil || !term.server.holds() || term.over() {
			return
		}
		term.lock.Lock()
		defer term.lock.Unlock()
		if quiet, lapsed := term.dispatcher.Quiet(now), term.dispatcher.Lapse(now); quiet || lapsed > 0 {
			term.freshen()
		}
		if now.Since(looked) >= constants.ExpirePeriod {
			looked = now
			term.dispatcher.Sure(now)
			term.dispatcher.Expire(term.terms(config), now)
		}
	})
}
