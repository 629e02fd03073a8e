package admission

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

type pressureWord struct {
	at    clock.Instant
	words []messages.Pressure
}

// yielding is a grant whose holder can give its place up and go on later.
type yielding struct {
	yield func()
	asked bool
}

// MayYield says that this grant's work may be displaced: yield breaks it off, and
// its owner sets it back with all it has.
func (g *Grant) MayYield(yield func()) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	scheduler.yields[g] = &yielding{yield: yield}
}

// OnPressure names who is told when requests find no room here.
func (s *Scheduler) OnPressure(tell func(words []messages.Pressure)) { s.tell = tell }

// Pressure lists what waits here, by service and rank. The lock is held.
func (s *Scheduler) waitingWords() []messages.Pressure {
	var words []messages.Pressure
	for service, queue := range s.queues {
		counts := map[int]int{}
		for _, handle := range queue {
			if one, found := s.slab.Get(handle); found && !one.ask.Bulk {
				counts[one.ask.Priority]++
			}
		}
		for priority, count := range counts {
			words = append(words, messages.Pressure{Service: service, Priority: priority, Waiting: count})
		}
	}
	sort.Slice(words, func(left, right int) bool {
		if words[left].Service != words[right].Service {
			return words[left].Service < words[right].Service
		}
		return words[left].Priority < words[right].Priority
	})
	return words
}

// press displaces for what waits here, and tells the others.
func (s *Scheduler) press(now clock.Instant) {
	s.lock.Lock()
	words := s.waitingWords()
	if len(words) == 0 {
		s.lock.Unlock()
		return
	}
	s.pressure[ownPressure] = pressureWord{at: now, words: words}
	yields := s.victims(words, 1)
	tell := s.tell
	if tell != nil && (s.toldAt == 0 || now.Sub(s.toldAt) >= constants.PressurePeriod) {
		s.toldAt = now
	} else {
		tell = nil
	}
	s.lock.Unlock()
	for _, yield := range yields {
		yield()
	}
	if tell != nil {
		tell(words)
	}
}

// ownPressure is the key of our own word; no process has an empty name.
const ownPressure = ""

// Noted takes a peer's word that is not ours to act on: nothing new starts against it.
func (s *Scheduler) Noted(told *messages.PressureNotice, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.hearPressure(told.From, told.Entries, now)
}

// Pressed takes a peer's word and yields our part. sharers is how many processes
// of our role got the same word.
func (s *Scheduler) Pressed(told *messages.PressureNotice, sharers int, now clock.Instant) {
	s.lock.Lock()
	s.hearPressure(told.From, told.Entries, now)
	yields := s.victims(told.Entries, max(sharers, 1))
	s.lock.Unlock()
	for _, yield := range yields {
		yield()
	}
}

// victims picks what makes room: items before streams, the lowest rank first, and
// of those the youngest, which has the least to read again. The lock is held.
func (s *Scheduler) victims(words []messages.Pressure, sharers int) []func() {
	var yields []func()
	for _, word := range words {
		var candidates []*Grant
		under := 0
		for grant, one := range s.yields {
			if grant.ask.Service != word.Service || grant.ask.Priority <= word.Priority {
				continue
			}
			if one.asked {
				// Its place is on the way already.
				under++
				continue
			}
			candidates = append(candidates, grant)
		}
		sort.Slice(candidates, func(left, right int) bool {
			first, second := candidates[left], candidates[right]
			if first.ask.Bulk != second.ask.Bulk {
				return first.ask.Bulk
			}
			if first.ask.Priority != second.ask.Priority {
				return first.ask.Priority > second.ask.Priority
			}
			if first.begun != second.begun {
				return first.begun > second.begun
			}
			return first.number > second.number
		})
		wanted := (word.Waiting+sharers-1)/sharers - under
		spare := s.bulkRunning(word.Service) - under - s.floor(word.Service)
		for _, grant := range candidates {
			if wanted <= 0 {
				break
			}
			if grant.ask.Bulk {
				if spare <= 0 {
					continue
				}
				spare--
			}
			wanted--
			s.yields[grant].asked = true
			yields = append(yields, s.yields[grant].yield)
		}
	}
	return yields
}

// bulkRunning is how many items of ours run at a service. The lock is held.
func (s *Scheduler) bulkRunning(service string) int {
	count := 0
	for _, worker := range s.Registry.ByService(service) {
		count += s.Tracker.Of(worker.ID).OwnBulk()
	}
	return count
}

// floor is how many places items keep whatever waits: a part of those of the workers
// at which this process places items, so that all processes together keep one floor.
// The lock is held.
func (s *Scheduler) floor(service string) int {
	capacity := 0
	for _, worker := range s.Registry.ByService(service) {
		if s.bulkOwn == nil || s.bulkOwn[worker.ID] {
			capacity += worker.Capacity
		}
	}
	return int(constants.PreemptionFloor*float64(capacity)) + 1
}

// pressed tells whether requests of a higher rank wait for room at a service,
// here or at a peer.
func (s *Scheduler) pressed(service string, priority int, now clock.Instant) bool {
	for _, one := range s.pressure {
		if now.Sub(one.at) >= constants.PressureStale {
			continue
		}
		for _, word := range one.words {
			if word.Service == service && word.Priority < priority && word.Waiting > 0 {
				return true
			}
		}
	}
	return false
}

// hearPressure takes a peer's word and drops those that count no more. The lock is held.
func (s *Scheduler) hearPressure(from string, words []messages.Pressure, now clock.Instant) {
	for peer, one := range s.pressure {
		if now.Sub(one.at) >= constants.PressureStale {
			delete(s.pressure, peer)
		}
	}
	if len(words) > 0 {
		s.pressure[from] = pressureWord{at: now, words: words}
	} else {
		delete(s.pressure, from)
	}
}
