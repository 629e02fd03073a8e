package admission

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

type pressureReport struct {
	at      clock.Instant
	entries []messages.Pressure
}

// preemptible is a grant whose request can give its slot up and go on later.
type preemptible struct {
	yield     func()
	requested bool
}

// AllowPreemption says that this grant's work may be preempted: yield breaks it off, and
// its owner requeues it with all it has.
func (g *Grant) AllowPreemption(yield func()) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	scheduler.preemptible[g] = &preemptible{yield: yield}
}

// OnPressure registers who is notified when requests find no capacity here.
func (s *Scheduler) OnPressure(notify func(entries []messages.Pressure)) { s.onPressure = notify }

// pressureEntries lists what waits here, by service and rank. The lock is held.
func (s *Scheduler) pressureEntries() []messages.Pressure {
	var entries []messages.Pressure
	for service, queue := range s.queues {
		counts := map[int]int{}
		for _, handle := range queue {
			if queued, found := s.slab.Get(handle); found && !queued.request.Bulk {
				counts[queued.request.Priority]++
			}
		}
		for priority, count := range counts {
			entries = append(entries, messages.Pressure{Service: service, Priority: priority, Waiting: count})
		}
	}
	sort.Slice(entries, func(left, right int) bool {
		if entries[left].Service != entries[right].Service {
			return entries[left].Service < entries[right].Service
		}
		return entries[left].Priority < entries[right].Priority
	})
	return entries
}

// applyPressure preempts for what waits here, and notifies the others.
func (s *Scheduler) applyPressure(now clock.Instant) {
	s.lock.Lock()
	entries := s.pressureEntries()
	if len(entries) == 0 {
		s.lock.Unlock()
		return
	}
	s.pressure[ownPressureKey] = pressureReport{at: now, entries: entries}
	toYield := s.selectVictims(entries, 1)
	notify := s.onPressure
	if notify != nil && (s.pressureSentAt == 0 || now.Sub(s.pressureSentAt) >= constants.PressurePeriod) {
		s.pressureSentAt = now
	} else {
		notify = nil
	}
	s.lock.Unlock()
	for _, yield := range toYield {
		yield()
	}
	if notify != nil {
		notify(entries)
	}
}

// ownPressure is the key of the own report; no process has an empty name.
const ownPressureKey = ""

// ObservePressure takes a peer's report that others act on: nothing new starts against it.
func (s *Scheduler) ObservePressure(notice *messages.PressureNotice, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.storePressure(notice.From, notice.Entries, now)
}

// YieldToPressure takes a peer's report and yields this process's part. sharers is how many processes
// of this role got the same report.
func (s *Scheduler) YieldToPressure(notice *messages.PressureNotice, sharers int, now clock.Instant) {
	s.lock.Lock()
	s.storePressure(notice.From, notice.Entries, now)
	toYield := s.selectVictims(notice.Entries, max(sharers, 1))
	s.lock.Unlock()
	for _, yield := range toYield {
		yield()
	}
}

// selectVictims picks what is preempted: items before streams, the lowest rank first, and
// of those the youngest, which has the least to prefill again. The lock is held.
func (s *Scheduler) selectVictims(entries []messages.Pressure, sharers int) []func() {
	var toYield []func()
	for _, entry := range entries {
		candidates, requested := s.preemptibleFor(entry)
		sort.Slice(candidates, func(left, right int) bool { return candidates[left].yieldsBefore(candidates[right]) })
		wanted := (entry.Waiting+sharers-1)/sharers - requested
		spare := s.bulkRunning(entry.Service) - requested - s.bulkFloor(entry.Service)
		for _, grant := range candidates {
			if wanted <= 0 {
				break
			}
			if grant.request.Bulk {
				if spare <= 0 {
					continue
				}
				spare--
			}
			wanted--
			s.preemptible[grant].requested = true
			toYield = append(toYield, s.preemptible[grant].yield)
		}
	}
	return toYield
}

// preemptibleFor gives the grants of a lower rank at a service that may be asked to yield, and
// how many of that kind were asked already. The lock is held.
func (s *Scheduler) preemptibleFor(entry messages.Pressure) (candidates []*Grant, requested int) {
	for grant, state := range s.preemptible {
		if grant.request.Service != entry.Service || grant.request.Priority <= entry.Priority {
			continue
		}
		if state.requested {
			requested++
			continue
		}
		candidates = append(candidates, grant)
	}
	return candidates, requested
}

// yieldsBefore orders grants by who is preempted first.
func (g *Grant) yieldsBefore(other *Grant) bool {
	switch {
	case g.request.Bulk != other.request.Bulk:
		return g.request.Bulk
	case g.request.Priority != other.request.Priority:
		return g.request.Priority > other.request.Priority
	case g.startedAt != other.startedAt:
		return g.startedAt > other.startedAt
	}
	return g.number > other.number
}

// bulkRunning is how many items of this process run at a service. The lock is held.
func (s *Scheduler) bulkRunning(service string) int {
	count := 0
	for _, worker := range s.Registry.ByService(service) {
		count += s.Tracker.Of(worker.ID).OwnBulk()
	}
	return count
}

// bulkFloor is how many slots items keep whatever waits: a part of those of the workers
// at which this process places items, so that all processes together keep one floor.
// The lock is held.
func (s *Scheduler) bulkFloor(service string) int {
	capacity := 0
	for _, worker := range s.Registry.ByService(service) {
		if s.ownedWorkers == nil || s.ownedWorkers[worker.ID] {
			capacity += worker.Capacity
		}
	}
	return int(constants.PreemptionFloor*float64(capacity)) + 1
}

// underPressure tells whether requests of a higher rank wait for capacity at a service,
// here or at a peer.
func (s *Scheduler) underPressure(service string, priority int, now clock.Instant) bool {
	for _, entry := range s.pressure {
		if now.Sub(entry.at) >= constants.PressureStale {
			continue
		}
		for _, sample := range entry.entries {
			if sample.Service == service && sample.Priority < priority && sample.Waiting > 0 {
				return true
			}
		}
	}
	return false
}

// storePressure keeps a peer's report and drops those that count no more. The lock is held.
func (s *Scheduler) storePressure(from string, entries []messages.Pressure, now clock.Instant) {
	for peer, entry := range s.pressure {
		if now.Sub(entry.at) >= constants.PressureStale {
			delete(s.pressure, peer)
		}
	}
	if len(entries) > 0 {
		s.pressure[from] = pressureReport{at: now, entries: entries}
	} else {
		delete(s.pressure, from)
	}
}
