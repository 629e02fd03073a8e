package lots

import (
	"strings"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Terms is what the configuration says of a lot at this moment.
type Terms struct {
	// Due is when its results are due, in ms of the time of day.
	Due int64
	// Late: it can't be in time any more, however soon it is run.
	Late bool
	// Over: its route is gone, or its retain-s has passed.
	Over bool
}

// AcquireAsk is a driver's question.
type AcquireAsk struct {
	Driver Driver
	// Room is how many places the driver has at each service.
	Room map[string]int
	// Terms gives the terms of a lot, Service the service of an item.
	Terms   func(lot *Lot) Terms
	Service func(item *Item) string
}

// home is the driver that a shared prefix was handed to last.
type home struct {
	driver string
	at     clock.Instant
}

// windowFactor is how many candidates are weighed for each place (ours): among
// those due soonest, items whose shared prefix the driver has come first.
const windowFactor = 4

// homesLimit bounds what is remembered of prefixes (ours).
const homesLimit = 4096

// Acquire hands out items by due time, those that can still be in time first, and
// among those due soonest the ones whose shared prefix the driver had before.
func (d *Dispatcher) Acquire(ask *AcquireAsk, now clock.Instant) []*Acquisition {
	if d.Enter(ask.Driver) > 0 {
		return nil
	}
	room := 0
	for _, count := range ask.Room {
		room += count
	}
	var taken []*Acquisition
	order := d.rank(ask.Terms, now)
	for _, part := range [][]dueLot{order.inTime, order.late} {
		if room == 0 {
			break
		}
		for _, item := range d.window(part, ask, room*windowFactor, now) {
			if room == 0 {
				return taken
			}
			service := ask.Service(item)
			if ask.Room[service] == 0 {
				continue
			}
			acquisition := d.grant(item, ask.Driver, 0, now)
			if acquisition == nil {
				continue
			}
			ask.Room[service]--
			room--
			d.Counts.Deliveries++
			d.settleHome(item, ask.Driver.Name, now)
			taken = append(taken, acquisition)
		}
	}
	return taken
}

// window gives the free items due soonest, the driver's own prefixes first, so
// that shared parts are read by few workers. No item is kept for a driver: a place
// that stands empty meanwhile cost more than the reading (measured).
func (d *Dispatcher) window(lotList []dueLot, ask *AcquireAsk, limit int, now clock.Instant) []*Item {
	var first, own, others []*Item
	found := func() int { return len(first) + len(own) + len(others) }
	for _, lot := range lotList {
		if found() >= limit {
			break
		}
		if !d.mayHandOut(lot.lot, ask, now) {
			continue
		}
		lot.lot.eachAvailable(func(item *Item) bool {
			if !d.free(item, now) {
				return true
			}
			if item.seen == 0 {
				item.seen = now
			}
			switch at, known := d.homes[prefixOf(item)]; {
			case now.Sub(item.seen) >= constants.PrefixWait:
				// Passed over long enough: the driver that has its prefix may have no room.
				first = append(first, item)
			case known && at.driver == ask.Driver.Name:
				own = append(own, item)
			default:
				others = append(others, item)
			}
			return found() < limit
		})
	}
	return append(append(first, own...), others...)
}

// mayHandOut tells whether items of a lot may be handed out now.
func (d *Dispatcher) mayHandOut(lot *Lot, ask *AcquireAsk, now clock.Instant) bool {
	if lot.available.count == 0 || !lot.Open() || d.Book.Lot(lot.ID) != lot || d.Closed(lot) {
		return false
	}
	if lot.Index < d.before && now < d.unsure {
		return false
	}
	return !ask.Terms(lot).Over
}

func (d *Dispatcher) settleHome(item *Item, driver string, now clock.Instant) {
	prefix := prefixOf(item)
	if prefix == "" {
		return
	}
	if len(d.homes) >= homesLimit {
		d.homes = map[string]home{}
	}
	at, known := d.homes[prefix]
	if !known || at.driver == driver || now.Sub(at.at) >= constants.PrefixStale {
		d.homes[prefix] = home{driver, now}
	}
}

// prefixOf names the shared part of an item's prompt: all parts but its own last.
func prefixOf(item *Item) string {
	parts := item.Headers["Lemonarch-Prompt-Prefix"]
	at := strings.LastIndexByte(parts, ',')
	if at < 0 {
		return ""
	}
	return parts[:at]
}
