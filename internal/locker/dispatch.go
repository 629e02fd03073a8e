package locker

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/jig"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// lockLength works the lock of an acquisition out from cancel-ms.
func lockLength(cancelMs float64) watch.Span {
	if cancelMs <= 0 {
		return almanac.LockUnstated
	}
	return min(almanac.LockMost, watch.Milliseconds(almanac.LockShare*cancelMs))
}

// openDispatcher makes the dispatcher of this epoch. The lock is held.
func (reign *reign) openDispatcher(before int64) {
	lock := lockLength(reign.locker.Stand.Boot.Tolerances.CancelMs)
	one := ledgerbox.NewDispatcher(reign.book, reign.duty.Epoch, before, lock, reign.begun)
	one.Submit = reign.submit
	one.Closed = func(lot *ledgerbox.Lot) bool { return reign.ending[lot.ID] }
	one.Tries = func(item *ledgerbox.Item) int {
		if route := itemRoute(reign.locker.Stand.Config(), item); route != nil {
			return route.Tries
		}
		return almanac.LotItems
	}
	reign.dispatcher = one
}

// itemRoute is the bulk route of an item, or else that of its lot.
func itemRoute(config *jig.Config, item *ledgerbox.Item) *jig.Route {
	if own := routeOf(config, item.Lot.Host, item.Path); own != nil {
		return own
	}
	return routeOf(config, item.Lot.Host, item.Lot.Path)
}

// terms says what a configuration means for a lot now.
func (reign *reign) terms(config *jig.Config) func(lot *ledgerbox.Lot) ledgerbox.Terms {
	wall, now := watch.Wall()/1_000_000, watch.Now()
	return func(lot *ledgerbox.Lot) ledgerbox.Terms {
		route := routeOf(config, lot.Host, lot.Path)
		if route == nil {
			return ledgerbox.Terms{Over: true}
		}
		age := wall - lot.SentMs
		return ledgerbox.Terms{Due: lot.SentMs + int64(route.ResultMs), Over: lot.Older(route.Retain(), wall, now),
			Late: float64(age)+reign.dispatcher.TookMs > route.ResultMs}
	}
}

// acquire hands items to a driver, waiting a little while there are none.
func (reign *reign) acquire(question *pattern.Acquire) *pattern.Acquired {
	begun := watch.Now()
	if !reign.waitServing(almanac.AcquireHold) {
		return &pattern.Acquired{Elsewhere: true}
	}
	end := begun.Plus(min(watch.Milliseconds(float64(question.HoldMs)), almanac.AcquireHold))
	ask := &ledgerbox.AcquireAsk{Driver: ledgerbox.Driver{Name: question.Driver, Life: question.Life, Address: question.Address, Hall: question.Hall},
		Service: func(item *ledgerbox.Item) string {
			if route := itemRoute(reign.locker.Stand.Config(), item); route != nil {
				return route.Nominate(watch.Draw())
			}
			return ""
		}}
	// What it is handed must be known to a later holder before it has it.
	reign.lock.Lock()
	entry := reign.dispatcher.Enter(ask.Driver)
	reign.lock.Unlock()
	if entry > 0 && !reign.durable(entry, almanac.RoundTime) {
		return &pattern.Acquired{Elsewhere: true}
	}
	for {
		config, now := reign.locker.Stand.Config(), watch.Now()
		// A hold that ran out hands nothing out: the next holder counts on it.
		if config == nil || !reign.locker.holds() || reign.over() {
			return &pattern.Acquired{Elsewhere: true}
		}
		ask.Room = map[string]int{}
		for _, room := range question.Room {
			ask.Room[room.Service] = room.Count
		}
		reign.lock.Lock()
		ask.Terms = reign.terms(config)
		reign.dispatcher.Heard(ask.Driver, now)
		answer := reign.handOut(reign.dispatcher.Acquire(ask, now))
		fresh := reign.fresh
		answer.Version, answer.Drivers = reign.dispatcher.Drivers(question.Known, now)
		reign.lock.Unlock()
		if len(answer.Items) > 0 || now >= end || len(answer.Drivers) > 0 {
			answer.HeldMs = watch.ToMilliseconds(now.Since(begun))
			return answer
		}
		select {
		case <-fresh:
			// Many items come free at once: look a little later, together.
			watch.Sleep(almanac.PumpPeriod / 2)
		case <-reign.stop:
		case <-watch.After(min(end.Since(now), almanac.TickPeriod)):
		}
	}
}

// handOut writes acquisitions down for their driver. The lock is held.
func (reign *reign) handOut(taken []*ledgerbox.Acquisition) *pattern.Acquired {
	answer := &pattern.Acquired{LockMs: watch.ToMilliseconds(reign.dispatcher.Lock)}
	for _, one := range taken {
		item := one.Item
		answer.Items = append(answer.Items, pattern.AcquiredItem{Number: one.Number, Lot: item.Lot.ID, Host: item.Lot.Host,
			Path: item.Lot.Path, SentMs: item.Lot.SentMs, Item: item.LotItem, LastID: item.LastID,
			// A driver in this process must not write behind what we keep.
			Pieces: item.Pieces[:len(item.Pieces):len(item.Pieces)], Displaced: item.Displaced, Owed: item.Owed})
		item.Owed = false
	}
	return answer
}

// acknowledge takes a batch of acknowledgements. What needs a record is answered
// once that is durable; what can't be known is repeated by the driver.
func (reign *reign) acknowledge(question *pattern.Acknowledge) *pattern.Acknowledged {
	if !reign.waitServing(almanac.CallTime / 2) {
		return &pattern.Acknowledged{Elsewhere: true}
	}
	driver := ledgerbox.Driver{Name: question.Driver, Life: question.Life, Address: question.Address, Hall: question.Hall}
	answer := &pattern.Acknowledged{}
	steps := make([]ledgerbox.Step, len(question.Entries))
	last := int64(0)
	now := watch.Now()
	reign.lock.Lock()
	if question.Leaving {
		reign.dispatcher.Left(driver)
		reign.freshen()
	} else {
		reign.dispatcher.Heard(driver, now)
	}
	answer.Version, answer.Drivers = reign.dispatcher.Drivers(question.Known, now)
	for place := range question.Entries {
		entry := &question.Entries[place]
		steps[place] = reign.dispatcher.Acknowledge(driver, entry, now)
		last = max(last, steps[place].Index)
		if entry.Kind == pattern.AckRelease {
			reign.freshen()
		}
	}
	if question.Epoch > 0 {
		reign.dispatcher.Listed(driver, question.Epoch, now)
	}
	reign.lock.Unlock()
	durable := last == 0 || reign.durable(last, almanac.RoundTime)
	for _, step := range steps {
		verdict := step.Verdict
		if step.Index > 0 && !durable {
			verdict = pattern.AckUnknown
		}
		answer.Verdicts = append(answer.Verdicts, verdict)
	}
	if !reign.locker.holds() || reign.over() {
		// Another may hold the duty by now: what we say is old.
		return &pattern.Acknowledged{Elsewhere: true}
	}
	return answer
}

// freshen wakes the drivers that wait for items. The lock is held.
func (reign *reign) freshen() {
	close(reign.fresh)
	reign.fresh = make(chan struct{})
}

// tendItems lets locks lapse and archives what has come to a terminal ground.
func (reign *reign) tendItems() {
	looked := watch.Now()
	watch.Every(almanac.TickPeriod, reign.stop, func() {
		config, now := reign.locker.Stand.Config(), watch.Now()
		if config == nil || !reign.locker.holds() || reign.over() {
			return
		}
		reign.lock.Lock()
		defer reign.lock.Unlock()
		if quiet, lapsed := reign.dispatcher.Quiet(now), reign.dispatcher.Lapse(now); quiet || lapsed > 0 {
			reign.freshen()
		}
		if now.Since(looked) >= almanac.ExpirePeriod {
			looked = now
			reign.dispatcher.Sure(now)
			reign.dispatcher.Expire(reign.terms(config), now)
		}
	})
}
