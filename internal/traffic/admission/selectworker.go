package admission

import (
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/prefixindex"
)

// selectWorker nominates a worker that has room, within reach or else among all.
func (s *Scheduler) selectWorker(req *Request, now clock.Instant) Decision {
	all := s.Registry.ByService(req.Service)
	some, more := s.reach(req, all, now)
	decision := s.selectAmong(req, some, now)
	if more && decision.Verdict != VerdictGranted {
		decision = s.selectAmong(req, all, now)
	}
	return decision
}

// selectAmong nominates one of these workers.
func (s *Scheduler) selectAmong(req *Request, among []messages.Worker, now clock.Instant) Decision {
	listening := s.controllerInContact(now)
	engine := false
	var cacheTokens int64
	if s.config != nil {
		if service := s.config.Service(req.Service); service != nil && service.Engine != nil {
			engine, cacheTokens = true, service.Engine.CacheTokens
		}
	}
	mean := s.meanLoad(among, now)
	// The lists are used again by the next placement: all of it is under the lock.
	workerList, candidates := s.scratch.workerList[:0], s.scratch.candidates[:0]
	known, open := 0, 0
	ejected := s.ejectedWorkers(req, among, now)
	// The suspects are asked only where nobody else can be.
	for _, worst := range []workers.Status{workers.StatusHealthy, workers.StatusSuspect} {
		for _, worker := range among {
			status := s.Registry.Status(worker.ID, now, listening)
			if status == workers.StatusUnavailable || status > worst || isExcluded(req, worker.ID) {
				continue
			}
			known++
			health := s.Tracker.Of(worker.ID)
			running := health.Running(now)
			if !health.Known(now) {
				running = max(running, mean)
			}
			suspect := s.isSuspect(worker, status, ejected, now)
			if suspect && worst == workers.StatusHealthy {
				continue
			}
			open++
			if s.isFull(req, worker, engine, running, now) {
				continue
			}
			if req.Bulk && engine && (health.PendingPrefills() >= constants.BatchPrefillsPerWorker || health.PeerPrefillLeft(now) > 0) {
				// Items are read one after the other, so that live prompts get between.
				continue
			}
			candidate := prefixindex.Candidate{Worker: worker.ID, WaitMs: s.cost(worker.Zone)}
			if engine {
				s.Index.SetCache(worker.ID, cacheTokens)
				candidate.WaitMs += float64(health.PendingTokens())/s.Index.PrefillRate() + clock.ToMilliseconds(health.PeerPrefillLeft(now)) + float64(running)*constants.StepGuess
			} else {
				// A plain worker's wait grows with how full it is and how slow it has been.
				candidate.WaitMs += health.TookMs()*(1+2*s.decayedLoad(req.Service, worker, running, mean, now)/float64(max(worker.Capacity, 1))) + s.jitter()
			}
			if worker.WarmupMs > 0 {
				candidate.RiskMs += float64(worker.WarmupMs) / 10
			}
			candidate.RiskMs += s.riskMs(req, worker, now)
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
		return Decision{Verdict: VerdictNoWorker, Retry: constants.GossipPeriod / 2}
	}
	if len(candidates) == 0 {
		return Decision{Verdict: VerdictNoCapacity}
	}
	prompt := req.Prompt
	if !req.Affine {
		// Routes that are not affine use load alone.
		prompt = prefixindex.Prompt{}
	}
	s.scratch.workerList, s.scratch.candidates = workerList, candidates
	choice := s.Index.Choose(&prompt, candidates, now)
	worker := workerList[choice.Index]
	s.number++
	grant := &Grant{Worker: worker, request: req, startedAt: now, scheduler: s, number: s.number}
	health := s.Tracker.Of(worker.ID)
	grant.alone = health.PendingPrefills() == 0
	if req.Affine {
		grant.FreshTokens = s.Index.RecordPlacement(&req.Prompt, worker.ID, now)
	}
	health.RequestStarted(req.Bulk, grant.FreshTokens, now)
	if grant.engine = engine; engine {
		grant.prefillTime = clock.Milliseconds(float64(max(health.PendingTokens(), 0))/s.Index.PrefillRate()) + health.PeerPrefillLeft(now)
	}
	if reading := float64(grant.FreshTokens) / s.Index.PrefillRate(); engine && reading > constants.LongReading && s.onPrefill != nil {
		s.onPrefill(worker.ID, reading)
	}
	return Decision{Verdict: VerdictGranted, Grant: grant}
}

// capacityFor is how many requests a worker may have for this ask to be placed there.
func (s *Scheduler) capacityFor(req *Request, worker messages.Worker, now clock.Instant) int {
	if !req.Bulk {
		return worker.Capacity + constants.QueueAheadMax
	}
	if s.underPressure(req.Service, req.Priority, now) && s.bulkRunning(req.Service) >= s.bulkFloor(req.Service) {
		// Live requests wait somewhere: items take no new places.
		return 0
	}
	return int(constants.BatchCapacityShare * float64(worker.Capacity))
}

// controllerInContact tells whether a controller was heard from lately.
func (s *Scheduler) controllerInContact(now clock.Instant) bool {
	return s.controllerContactAt > 0 && now.Sub(s.controllerContactAt) < constants.SuspectAfter
}

func isExcluded(req *Request, worker string) bool {
	if req.AllowedWorkers != nil && !req.AllowedWorkers[worker] {
		return true
	}
	for _, entry := range req.Excluded {
		if entry == worker {
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

// FirstEvent notes the first event or the head of an answer.
func (g *Grant) FirstEvent(load string, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	health := scheduler.Tracker.Of(g.Worker.ID)
	if load != "" {
		health.ObserveLoad(load, now)
	}
	if g.prefillDone {
		return
	}
	g.prefillDone = true
	health.PrefillDone(g.FreshTokens)
	health.RecordResponse(now.Sub(g.startedAt))
	scheduler.latenciesOf(g.Worker.Backend).first.Observe(clock.ToMilliseconds(max(now.Sub(g.startedAt)-g.prefillTime, 0)))
	if g.request.Affine {
		scheduler.Index.RecordFirstEvent(&g.request.Prompt, g.Worker.ID, g.FreshTokens, now.Sub(g.startedAt), g.alone, now)
	}
}

// Result is how a grant ended, for the health.
type Result int

// The outcomes.
const (
	ResultServed Result = iota
	// ResultFailed: reset, cut, spoilt bytes.
	ResultFailed
	// ResultUnreachable: no connection came up; nothing was sent.
	ResultUnreachable
	// ResultTimeout: silence for a multiple of the usual time.
	ResultTimeout
	// ResultServerError: the worker's own 5xx.
	ResultServerError
	// ResultShed: turned away although its own word leaves room.
	ResultShed
	// ResultRejected: the worker was full.
	ResultRejected
	// ResultMisdirected: another service answers at that address.
	ResultMisdirected
	// ResultCanceled: our client or we gave up.
	ResultCanceled
)

// End gives the entry back.
func (g *Grant) End(result Result, now clock.Instant) {
	scheduler := g.scheduler
	scheduler.lock.Lock()
	delete(scheduler.preemptible, g)
	health := scheduler.Tracker.Of(g.Worker.ID)
	if !g.prefillDone {
		// No event came: what we gave it to read is not waited for any more.
		g.prefillDone = true
		health.PrefillDone(g.FreshTokens)
	}
	health.RequestEnded(g.request.Bulk, now)
	scheduler.recordOutcome(g, result, now)
	switch result {
	case ResultRejected, ResultShed:
		// It is full whatever we believed: let others be asked for a moment.
		health.RecordFull(g.Worker.Capacity, now)
	case ResultMisdirected:
		scheduler.Index.InvalidateCache(g.Worker.ID)
	case ResultServed:
		scheduler.recordRate(g.request.Service, now)
		scheduler.recordFlow(g, now)
	}
	scheduler.lock.Unlock()
	scheduler.Pump(now)
}

func (s *Scheduler) recordRate(service string, now clock.Instant) {
	latencies := s.rates[service]
	if latencies == nil {
		latencies = &rate{since: now}
		s.rates[service] = latencies
	}
	latencies.count++
	if elapsed := now.Sub(latencies.since); elapsed > constants.GossipPeriod/2 {
		fresh := latencies.count / elapsed.Seconds()
		if latencies.perSecond == 0 {
			latencies.perSecond = fresh
		}
		latencies.perSecond += 0.4 * (fresh - latencies.perSecond)
		latencies.count, latencies.since = 0, now
	}
}
