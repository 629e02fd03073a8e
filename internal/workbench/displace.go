package workbench

import (
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

type pressureWord struct {
	at    watch.Moment
	words []pattern.Pressure
}

// yielding is a grant whose holder can give its place up and go on later.
type yielding struct {
	yield func()
	asked bool
}

// MayYield says that this grant's work may be displaced: yield breaks it off, and
// its owner sets it back with all it has.
func (grant *Grant) MayYield(yield func()) {
	bench := grant.bench
	bench.lock.Lock()
	defer bench.lock.Unlock()
	bench.yields[grant] = &yielding{yield: yield}
}

// OnPressure names who is told when requests find no room here.
func (bench *Workbench) OnPressure(tell func(words []pattern.Pressure)) { bench.tell = tell }

// Pressure lists what waits here, by service and rank. The lock is held.
func (bench *Workbench) waitingWords() []pattern.Pressure {
	var words []pattern.Pressure
	for service, queue := range bench.queues {
		counts := map[int]int{}
		for _, handle := range queue {
			if one, found := bench.slab.Get(handle); found && !one.ask.Bulk {
				counts[one.ask.Priority]++
			}
		}
		for priority, count := range counts {
			words = append(words, pattern.Pressure{Service: service, Priority: priority, Waiting: count})
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
func (bench *Workbench) press(now watch.Moment) {
	bench.lock.Lock()
	words := bench.waitingWords()
	if len(words) == 0 {
		bench.lock.Unlock()
		return
	}
	bench.pressure[ownPressure] = pressureWord{at: now, words: words}
	yields := bench.victims(words, 1)
	tell := bench.tell
	if tell != nil && (bench.toldAt == 0 || now.Since(bench.toldAt) >= almanac.PressurePeriod) {
		bench.toldAt = now
	} else {
		tell = nil
	}
	bench.lock.Unlock()
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
func (bench *Workbench) Noted(told *pattern.PressureTold, now watch.Moment) {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	bench.hearPressure(told.From, told.Words, now)
}

// Pressed takes a peer's word and yields our part. sharers is how many processes
// of our role got the same word.
func (bench *Workbench) Pressed(told *pattern.PressureTold, sharers int, now watch.Moment) {
	bench.lock.Lock()
	bench.hearPressure(told.From, told.Words, now)
	yields := bench.victims(told.Words, max(sharers, 1))
	bench.lock.Unlock()
	for _, yield := range yields {
		yield()
	}
}

// victims picks what makes room: items before streams, the lowest rank first, and
// of those the youngest, which has the least to read again. The lock is held.
func (bench *Workbench) victims(words []pattern.Pressure, sharers int) []func() {
	var yields []func()
	for _, word := range words {
		var candidates []*Grant
		under := 0
		for grant, one := range bench.yields {
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
		spare := bench.bulkRunning(word.Service) - under - bench.floor(word.Service)
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
			bench.yields[grant].asked = true
			yields = append(yields, bench.yields[grant].yield)
		}
	}
	return yields
}

// bulkRunning is how many items of ours run at a service. The lock is held.
func (bench *Workbench) bulkRunning(service string) int {
	count := 0
	for _, worker := range bench.Roster.Named(service) {
		count += bench.Gauge.Of(worker.ID).OwnBulk()
	}
	return count
}

// floor is how many places items keep whatever waits: a part of those of the workers
// at which this process places items, so that all processes together keep one floor.
// The lock is held.
func (bench *Workbench) floor(service string) int {
	capacity := 0
	for _, worker := range bench.Roster.Named(service) {
		if bench.bulkOwn == nil || bench.bulkOwn[worker.ID] {
			capacity += worker.Capacity
		}
	}
	return int(almanac.DisplaceFloor*float64(capacity)) + 1
}

// pressed tells whether requests of a higher rank wait for room at a service,
// here or at a peer.
func (bench *Workbench) pressed(service string, priority int, now watch.Moment) bool {
	for _, one := range bench.pressure {
		if now.Since(one.at) >= almanac.PressureStale {
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
func (bench *Workbench) hearPressure(from string, words []pattern.Pressure, now watch.Moment) {
	for peer, one := range bench.pressure {
		if now.Since(one.at) >= almanac.PressureStale {
			delete(bench.pressure, peer)
		}
	}
	if len(words) > 0 {
		bench.pressure[from] = pressureWord{at: now, words: words}
	} else {
		delete(bench.pressure, from)
	}
}
