package jointer

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// tell sends one way; each in its own goroutine, since one that must be dialled must
// not hold the others up.
func (jointer *Jointer) tell(entries []pattern.Entry, kind pattern.Kind, message tongs.Writable) {
	for _, entry := range entries {
		go func() { _ = tongs.Tell(jointer.Stand.Wire, entry.Address, kind, message) }()
	}
}

// gossip tells what changed most to a few neighbours, and now and then to another hall.
func (jointer *Jointer) gossip() {
	packet := jointer.Bench.Gossip(watch.Now())
	packet.Generation = jointer.Stand.Generation()
	circle := jointer.lookAround()
	told := append([]pattern.Entry(nil), circle.gossip...)
	now := watch.Now()
	jointer.lock.Lock()
	// In a hall of few everybody tells everybody already.
	if len(circle.near) > almanac.GossipFanout && jointer.ties.lonely(now) {
		packet.Want = jointer.Stand.Own.Address
	}
	told = append(told, jointer.ties.adopted(told, now)...)
	jointer.lock.Unlock()
	if entry, drawn := circle.across(draw); drawn {
		told = append(told, entry)
	}
	jointer.tell(told, pattern.KindGossip, packet)
	placements, downgrades, alert := jointer.Bench.Alert()
	if alert && !jointer.alerted {
		jointer.Stand.Log.Warn("residency downgrades above threshold", "residency_route_downgrades", downgrades, "placements", placements)
	}
	jointer.alerted = alert
	jointer.logDisplacement()
}

func (jointer *Jointer) gossiped(body []byte) ([]byte, error) {
	packet := &pattern.Gossip{}
	if failure := tongs.Read(body, packet); failure != nil {
		return nil, failure
	}
	now := watch.Now()
	jointer.Bench.Heard(packet, now)
	jointer.lock.Lock()
	jointer.ties.heard(packet, now)
	jointer.lock.Unlock()
	jointer.Stand.Touched(packet.From)
	jointer.Stand.SawGeneration(packet.Generation)
	return tongs.Write(&pattern.Nothing{Taken: true})
}

// press tells at once that requests wait here, so that work of a lower rank makes
// room well before the next gossip: a few lockers, which pass it on among themselves,
// and the neighbours. Each yields its part of what waits.
func (jointer *Jointer) press(words []pattern.Pressure) {
	circle := jointer.about()
	told := &pattern.PressureTold{From: bellows.Key(jointer.Stand.Own), Words: words, Hops: almanac.PressureHops}
	lockers := someLockers(circle.near, circle.far, draw)
	told.Sharers = len(lockers)
	jointer.tell(lockers, pattern.KindPressure, told)
	shared := *told
	shared.Hops, shared.Sharers = 0, len(circle.forges)+1
	jointer.tell(circle.forges, pattern.KindPressure, &shared)
}

func (jointer *Jointer) pressed(body []byte) ([]byte, error) {
	told := &pattern.PressureTold{}
	if failure := tongs.Read(body, told); failure != nil {
		return nil, failure
	}
	now := watch.Now()
	if told.Sharers > 0 {
		jointer.Bench.Pressed(told, told.Sharers, now)
	} else {
		jointer.Bench.Noted(told, now)
	}
	if told.Hops > 0 && jointer.mayPass(now) {
		// Who has it at second hand starts nothing new for a while; the places
		// themselves are given up by those who were asked.
		circle := jointer.about()
		further := *told
		further.Hops, further.Sharers = told.Hops-1, 0
		jointer.tell(someLockers(circle.near, circle.far, draw), pattern.KindPressure, &further)
	}
	return tongs.Write(&pattern.Nothing{Taken: true})
}

// mayPass bounds how much of others' pressure a process passes on, whatever their
// number.
func (jointer *Jointer) mayPass(now watch.Moment) bool {
	jointer.lock.Lock()
	defer jointer.lock.Unlock()
	if jointer.passedAt != 0 && now.Since(jointer.passedAt) < almanac.PressurePeriod/2 {
		return false
	}
	jointer.passedAt = now
	return true
}

// someLockers draws a few lockers: of the own hall, which run items on the workers
// there, and one of another, so that each is reached in its turn.
func someLockers(near, far []pattern.Entry, draw func() float64) []pattern.Entry {
	here, there := only(near, bellows.RoleLocker), only(far, bellows.RoleLocker)
	var chosen []pattern.Entry
	take := func(from *[]pattern.Entry, limit int) {
		for list := *from; len(list) > 0 && len(chosen) < limit; list = *from {
			place := int(draw() * float64(len(list)))
			chosen = append(chosen, list[place])
			list[place] = list[len(list)-1]
			*from = list[:len(list)-1]
		}
	}
	take(&here, almanac.PressureFanout-1)
	take(&there, almanac.PressureFanout)
	take(&here, almanac.PressureFanout)
	return chosen
}

func only(entries []pattern.Entry, role string) []pattern.Entry {
	var found []pattern.Entry
	for _, entry := range entries {
		if entry.Role == role {
			found = append(found, entry)
		}
	}
	return found
}
