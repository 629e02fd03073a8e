package admission

import (
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/prefixindex"
)

// place nominates a worker that has room, within reach or else among all.
func (s *Scheduler) place(ask *Ask, now clock.Instant) Answer {
	all := s.Registry.ByService(ask.Service)
	some, more := s.reach(ask, all, now)
	answer := s.placeAmong(ask, some, now)
	if more && answer.Verdict != VerdictGranted {
		answer = s.placeAmong(ask, all, now)
	}
	return answer
}

// placeAmong nominates one of these workers.
func (s *Scheduler) placeAmong(ask *Ask, among []messages.Worker, now clock.Instant) Answer {
	listening := s.hears(now)
	engine := false
	var cacheTokens int64
	if s.config != nil {
		if service := s.config.Service(ask.Service); service != nil && service.Engine != nil {
			engine, cacheTokens = true, service.Engine.CacheTokens
		}
	}
	neutral := s.neutral(among, now)
	// The lists are used again by the next placement: all of it is under the lock.
	workerList, candidates := s.scratch.workerList[:0], s.scratch.candidates[:0]
	known, open := 0, 0
	apart := s.apart(ask, among, now)
	// The suspects are asked only where nobody else can be.
	for _, worst := range []workers.Status{workers.StatusHealthy, workers.StatusSuspect} {
		for _, worker := range among {
			standing := s.Registry.Status(worker.ID, now, listening)
			if standing == workers.StatusUnavailable || standing > worst || excluded(ask, worker.ID) {
				continue
			}
			known++
			health := s.Tracker.Of(worker.ID)
			running := health.Running(now)
			if !health.Known(now) {
				running = max(running, neutral)
			}
			suspect := s.suspect(worker, standing, apart, now)
			if suspect && worst == workers.StatusHealthy {
				continue
			}
			open++
			if s.full(ask, worker, engine, running, now) {
				continue
			}
			if ask.Bulk && engine && (health.PendingPrefills() >= constants.BatchPrefillsPerWorker || health.PeerPrefillLeft(now) > 0) {
				// Items are read one after the other, so that live prompts get between.
				continue
			}
			candidate := prefixindex.Candidate{Worker: worker.ID, WaitMs: s.cost(worker.Zone)}
			if engine {
				s.Index.SetCache(worker.ID, cacheTokens)
				candidate.WaitMs += float64(health.PendingTokens())/s.Index.PrefillRate() + clock.ToMilliseconds(health.PeerPrefillLeft(now)) + float64(running)*constants.StepGuess
			} else {
				// A plain worker's wait grows with how full it is and how slow it has been.
				candidate.WaitMs += health.TookMs()*(1+2*s.faded(ask.Service, worker, running, neutral, now)/float64(max(worker.Capacity, 1))) + s.spread()
			}
			if worker.WarmupMs > 0 {
				candidate.RiskMs += float64(worker.WarmupMs) / 10
			}
			candidate.RiskMs += s.risk(ask, worker, now)
			if suspect {
				candidate.RiskMs += constants.ErrPenalty
			}
			workerList = append(workerList, worker)
			candidates = append(candidates, candidate)
		}
		if open > 0 {
			break
		}
	}
	if known == 0 {
		return Answer{Verdict: VerdictNoWorker, Retry: constants.GossipPeriod / 2}
	}
	if len(candidates) == 0 {
		return Answer{Verdict: VerdictNoRoom}
	}
	prompt := ask.Prompt
	if !ask.Affine {
		// Routes that are not affine use load alone.
		prompt = prefixindex.Prompt{}
	}
	s.scratch.workerList, s.scratch.candidates = workerList, candidates
	choice := s.Index.Choose(&prompt, candidates, now)
	worker := workerList[choice.Index]
	s.number++
	grant := &Grant{Worker: worker, ask: ask, begun: now, scheduler: s, number: s.number}
	health := s.Tracker.Of(worker.ID)
	grant.alone = health.PendingPrefills() == 0
	if ask.Affine {
		grant.Fresh = s.Index.RecordPlacement(&ask.Prompt, worker.ID, now)
	}
	health.RequestStarted(ask.Bulk, grant.Fresh, now)
	if grant.engine = engine; engine {
		grant.reading = clock.Milliseconds(float64(max(health.PendingTokens(), 0))/s.Index.PrefillRate()) + health.PeerPrefillLeft(now)
	}
	if reading := float64(grant.Fresh) / s.Index.PrefillRate(); engine && reading > constants.LongReading && s.tellReading != nil {
		s.tellReading(worker.ID, reading)
	}
	return Answer{Verdict: VerdictGranted, Grant: grant}
}

// room is how many requests a worker may have for this ask to be placed there.
func (s *Scheduler) room(ask *Ask, worker messages.Worker, now clock.Instant) int {
	if !ask.Bulk {
		return worker.Capacity + constants.QueueAheadMax
	}
	if s.pressed(ask.Service, ask.Priority, now) && s.bulkRunning(ask.Service) >= s.floor(ask.Service) {
		// Live requests wait somewhere: items take no new places.
		return 0
	}
	return int(constants.BatchCapacityShare * float64(worker.Capacity))
}

// hears tells whether a controller was heard from lately.
func (s *Scheduler) hears(now clock.Instant) bool {
	return s.listening > 0 && now.Sub(s.listening) < constants.SuspectAfter
}

func excluded(ask *Ask, worker string) bool {
	if ask.Among != nil && !ask.Among[worker] {
		return true
	}
	for _, one := range ask.Excluded {
		if one == worker {
			return true
		}
	}
	return false
}

// Allowed tells whether a request may still be sent to the worker: a drain that
// was acknowledged since the grant forbids it.
func (s *Scheduler) Allowed(worker string, now clock.Instant) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.Registry.Status(worker, now, false) != workers.StatusUnavailable
}

// First notes the first event or the head of an answer.
func (g *Grant) First(load string, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	health := scheduler.Tracker.Of(g.Worker.ID)
	if load != "" {
		health.ObserveLoad(load, now)
	}
	if g.read {
		return
	}
	g.read = true
	health.PrefillDone(g.Fresh)
	health.RecordResponse(now.Sub(g.begun))
	scheduler.pace(g.Worker.Backend).first.Observe(clock.ToMilliseconds(max(now.Sub(g.begun)-g.reading, 0)))
	if g.ask.Affine {
		scheduler.Index.RecordFirstEvent(&g.ask.Prompt, g.Worker.ID, g.Fresh, now.Sub(g.begun), g.alone, now)
	}
}

// Result is how a grant ended, for the health.
type Result int

// The outcomes.
const (
	ResultServed Result = iota
	// ResultFailed: reset, cut, spoilt bytes.
	ResultFailed
	// ResultRefused: no connection came up; nothing was sent.
	ResultRefused
	// ResultSilent: silence for a multiple of the usual time.
	ResultSilent
	// ResultErrored: the worker's own 5xx.
	ResultErrored
	// ResultShed: turned away although its own word leaves room.
	ResultShed
	// ResultTurnedAway: the worker was full.
	ResultTurnedAway
	// ResultGoneAway: another service answers at that address.
	ResultGoneAway
	// ResultCalledOff: our client or we gave up.
	ResultCalledOff
)

// End gives the entry back.
func (g *Grant) End(result Result, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	delete(scheduler.yields, g)
	health := scheduler.Tracker.Of(g.Worker.ID)
	if !g.read {
		// No event came: what we gave it to read is not waited for any more.
		g.read = true
		health.PrefillDone(g.Fresh)
	}
	health.RequestEnded(g.ask.Bulk, now)
	scheduler.judge(g, result, now)
	switch result {
	case ResultTurnedAway, ResultShed:
		// It is full whatever we believed: let others be asked for a moment.
		health.RecordFull(g.Worker.Capacity, now)
	case ResultGoneAway:
		scheduler.Index.InvalidateCache(g.Worker.ID)
	case ResultServed:
		scheduler.finished(g.ask.Service, now)
		scheduler.flowed(g, now)
	}
	scheduler.lock.Unlock()
	scheduler.Pump(now)
}

func (s *Scheduler) finished(service string, now clock.Instant) {
	pace := s.rates[service]
	if pace == nil {
		pace = &rate{since: now}
		s.rates[service] = pace
	}
	pace.count++
	if span := now.Sub(pace.since); span > constants.GossipPeriod/2 {
		fresh := pace.count / span.Seconds()
		if pace.perS == 0 {
			pace.perS = fresh
		}
		pace.perS += 0.4 * (fresh - pace.perS)
		pace.count, pace.since = 0, now
	}
}
