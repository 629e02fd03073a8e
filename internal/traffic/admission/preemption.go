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

// preemptible is the state of a grant whose request can release its slot and continue later.
type preemptible struct {
	yield     func()
	requested bool
}

// AllowPreemption marks the grant's work as preemptible. The function yield stops the work; the owner
// of the work then requeues it with the progress made so far. yield is called at most once, without the
// lock held.
func (g *Grant) AllowPreemption(yield func()) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	scheduler.preemptible[g] = &preemptible{yield: yield}
}

// OnPressure registers the function that is called when live requests are queued in this process, at
// most once per constants.PressurePeriod.
func (s *Scheduler) OnPressure(notify func(entries []messages.Pressure)) { s.onPressure = notify }

// pressureEntries returns the number of queued live requests by service and priority. The caller
// must hold the lock.
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

// applyPressure preempts work in favor of the requests queued here. It also notifies the peers, but at
// most once per constants.PressurePeriod.
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

// ownPressureKey is the key of this process's own report. No process has an empty name.
const ownPressureKey = ""

// ObservePressure stores a peer's report to which other processes yield. While the report is valid, no
// item of this process takes a slot above the floor (bulkFloor), but nothing here yields.
func (s *Scheduler) ObservePressure(notice *messages.PressureNotice, now clock.Instant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.storePressure(notice.From, notice.Entries, now)
}

// YieldToPressure stores a peer's report and yields this process's share. sharers is the number of
// processes of this role that received the same report.
func (s *Scheduler) YieldToPressure(notice *messages.PressureNotice, sharers int, now clock.Instant) {
	s.lock.Lock()
	s.storePressure(notice.From, notice.Entries, now)
	toYield := s.selectVictims(notice.Entries, max(sharers, 1))
	s.lock.Unlock()
	for _, yield := range toYield {
		yield()
	}
}

// selectVictims returns the yield functions of the grants to preempt: items before streams, the
// lowest priority first, and of equal priority the youngest, because it has the least to prefill
// again. The caller must hold the lock.
func (s *Scheduler) selectVictims(entries []messages.Pressure, sharers int) []func() {
	var toYield []func()
	for _, entry := range entries {
		candidates, requested := s.preemptibleFor(entry)
		sort.Slice(candidates, func(left, right int) bool { return candidates[left].yieldsBefore(candidates[right]) })
		toPreempt := (entry.Waiting+sharers-1)/sharers - requested
		spare := s.bulkRunning(entry.Service) - requested - s.bulkFloor(entry.Service)
		for _, grant := range candidates {
			if toPreempt <= 0 {
				break
			}
			if grant.request.Bulk {
				if spare <= 0 {
					continue
				}
				spare--
			}
			toPreempt--
			s.preemptible[grant].requested = true
			toYield = append(toYield, s.preemptible[grant].yield)
		}
	}
	return toYield
}

// preemptibleFor returns the grants of a service with a lower priority than the entry's that may be
// preempted, and the number of such grants that were already requested to yield. The caller must
// hold the lock.
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

// yieldsBefore reports whether g is preempted before other.
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

// bulkRunning returns the number of items of this process that run at a service. The caller must
// hold the lock.
func (s *Scheduler) bulkRunning(service string) int {
	count := 0
	for _, worker := range s.Registry.ByService(service) {
		count += s.Tracker.HealthOf(worker.ID).OwnBulkRequests()
	}
	return count
}

// bulkFloor returns the number of slots that items keep regardless of pressure: one more than a share
// of the slots of the workers on which this process places items. Counting only these workers keeps the
// floors of several processes from adding up. The caller must hold the lock.
func (s *Scheduler) bulkFloor(service string) int {
	capacity := 0
	for _, worker := range s.Registry.ByService(service) {
		if s.ownedWorkers == nil || s.ownedWorkers[worker.ID] {
			capacity += worker.Capacity
		}
	}
	return int(constants.PreemptionFloor*float64(capacity)) + 1
}

// underPressure reports whether requests of a higher priority are waiting for capacity at a
// service, in this process or at a peer. The caller must hold the lock.
func (s *Scheduler) underPressure(service string, priority int, now clock.Instant) bool {
	for _, report := range s.pressure {
		if now.Sub(report.at) >= constants.PressureStale {
			continue
		}
		for _, entry := range report.entries {
			if entry.Service == service && entry.Priority < priority && entry.Waiting > 0 {
				return true
			}
		}
	}
	return false
}

// storePressure stores a peer's report and deletes expired ones. The caller must hold the lock.
func (s *Scheduler) storePressure(from string, entries []messages.Pressure, now clock.Instant) {
	for peer, report := range s.pressure {
		if now.Sub(report.at) >= constants.PressureStale {
			delete(s.pressure, peer)
		}
	}
	if len(entries) > 0 {
		s.pressure[from] = pressureReport{at: now, entries: entries}
	} else {
		delete(s.pressure, from)
	}
}
