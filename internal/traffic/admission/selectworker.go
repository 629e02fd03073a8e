package admission

import (
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/health"
	"lemonarch/internal/traffic/prefixindex"
)

// selectWorker places a request on a worker that has capacity: first among the workers to consider
// (workersToConsider), then among all workers of the service. The caller must hold the lock, as for
// the other functions of this file.
func (s *Scheduler) selectWorker(req *Request, now clock.Instant) Decision {
	all := s.Registry.ByService(req.Service)
	considered, more := s.workersToConsider(req, all, now)
	decision := s.selectAmong(req, considered, now)
	if more && decision.Verdict != VerdictGranted {
		decision = s.selectAmong(req, all, now)
	}
	return decision
}

// selection is the state of one choice of a worker for a request. The fields from eligible on are
// its results so far.
type selection struct {
	request *Request
	now     clock.Instant
	// engine reports whether the service's workers run a model with a prefix cache of cacheTokens
	// tokens.
	engine      bool
	cacheTokens int64
	// meanLoad is the load assumed for workers of unknown load.
	meanLoad            int
	ejected             map[string]bool
	controllerInContact bool

	// eligible counts the workers that may be selected at all. considered counts those of them that
	// are not skipped as suspects.
	eligible, considered int
	workers              []messages.Worker
	candidates           []prefixindex.Candidate
}

// selectAmong selects one of the given workers.
func (s *Scheduler) selectAmong(req *Request, among []messages.Worker, now clock.Instant) Decision {
	sel := s.newSelection(req, among, now)
	// Suspects are considered only if there is no other eligible worker.
	for _, worst := range []workers.Status{workers.StatusHealthy, workers.StatusSuspect} {
		for position := range among {
			s.consider(&sel, &among[position], worst)
		}
		if sel.considered > 0 {
			break
		}
	}
	if sel.eligible == 0 {
		return Decision{Verdict: VerdictNoWorker, Retry: constants.GossipPeriod / 2}
	}
	if len(sel.candidates) == 0 {
		return Decision{Verdict: VerdictNoCapacity}
	}
	prompt := req.Prompt
	if !req.Affine {
		// Routes that are not affine are placed by load alone.
		prompt = prefixindex.Prompt{}
	}
	s.scratch.workerList, s.scratch.candidates = sel.workers, sel.candidates
	choice := s.Index.Choose(&prompt, sel.candidates, now)
	return Decision{Verdict: VerdictGranted, Grant: s.newGrant(&sel, sel.workers[choice.Index])}
}

func (s *Scheduler) newSelection(req *Request, among []messages.Worker, now clock.Instant) selection {
	// The slices are reused by the next selection; this is safe because selections run under the
	// lock.
	sel := selection{request: req, now: now, workers: s.scratch.workerList[:0], candidates: s.scratch.candidates[:0]}
	sel.controllerInContact = s.controllerInContact(now)
	if s.config != nil {
		if service := s.config.Service(req.Service); service != nil && service.Engine != nil {
			sel.engine, sel.cacheTokens = true, service.Engine.CacheTokens
		}
	}
	sel.meanLoad = s.meanLoad(among, now)
	sel.ejected = s.ejectedWorkers(req, among, now)
	return sel
}

// consider adds a worker to the candidates unless its status is worse than worst, the request
// excludes it, it is suspect in the first pass (worst is StatusHealthy), it has no slot for the
// request, or the request is an item and another prefill is pending there.
func (s *Scheduler) consider(sel *selection, worker *messages.Worker, worst workers.Status) {
	status := s.Registry.Status(worker.ID, sel.now, sel.controllerInContact)
	if status == workers.StatusUnavailable || status > worst || isExcluded(sel.request, worker.ID) {
		return
	}
	sel.eligible++
	health := s.Tracker.HealthOf(worker.ID)
	running := health.Running(sel.now)
	if !health.Known(sel.now) {
		running = max(running, sel.meanLoad)
	}
	suspect := s.isSuspect(*worker, status, sel.ejected, sel.now)
	if suspect && worst == workers.StatusHealthy {
		return
	}
	sel.considered++
	if s.isFull(sel.request, *worker, sel.engine, running, sel.now) {
		return
	}
	if sel.request.Bulk && sel.engine && (health.PendingPrefills() >= constants.BatchPrefillsPerWorker || health.PeerPrefillLeft(sel.now) > 0) {
		// Items are prefilled one after another, so that live prompts can be prefilled between
		// them.
		return
	}
	candidate := prefixindex.Candidate{Worker: worker.ID, WaitMs: s.zoneCostMs(worker.Zone)}
	candidate.WaitMs += s.expectedWaitMs(sel, worker, health, running)
	if worker.WarmupMs > 0 {
		candidate.RiskMs += float64(worker.WarmupMs) / 10
	}
	candidate.RiskMs += s.riskMs(sel.request, *worker, sel.now)
	if suspect {
		candidate.RiskMs += constants.SuspectPenaltyMs
	}
	sel.workers = append(sel.workers, *worker)
	sel.candidates = append(sel.candidates, candidate)
}

// expectedWaitMs returns the expected wait of a request at a worker with the given number of
// running requests, in ms.
func (s *Scheduler) expectedWaitMs(sel *selection, worker *messages.Worker, health *health.Health, running int) float64 {
	if !sel.engine {
		// The wait at a worker without an engine grows with its utilization and its mean response
		// time.
		load := s.decayedLoad(sel.request.Service, *worker, running, sel.meanLoad, sel.now)
		return health.MeanResponseMs()*(1+2*load/float64(max(worker.Capacity, 1))) + s.jitter()
	}
	s.Index.SetCache(worker.ID, sel.cacheTokens)
	prefills := float64(health.PendingTokens())/s.Index.PrefillRate() + clock.ToMilliseconds(health.PeerPrefillLeft(sel.now))
	return prefills + float64(running)*constants.RunningRequestMsGuess
}

// newGrant records that the request is placed on a worker, and reports a long prompt to the peers.
func (s *Scheduler) newGrant(sel *selection, worker messages.Worker) *Grant {
	req, now := sel.request, sel.now
	s.lastGrantNumber++
	grant := &Grant{Worker: worker, request: req, startedAt: now, scheduler: s, number: s.lastGrantNumber, engine: sel.engine}
	health := s.Tracker.HealthOf(worker.ID)
	grant.solePrefill = health.PendingPrefills() == 0
	if req.Affine {
		grant.FreshTokens = s.Index.RecordPlacement(&req.Prompt, worker.ID, now)
	}
	health.RequestStarted(req.Bulk, grant.FreshTokens, now)
	if !sel.engine {
		return grant
	}
	grant.prefillTime = clock.Milliseconds(float64(max(health.PendingTokens(), 0))/s.Index.PrefillRate()) + health.PeerPrefillLeft(now)
	if prefillMs := float64(grant.FreshTokens) / s.Index.PrefillRate(); prefillMs > constants.LongPrefillMs && s.onPrefill != nil {
		s.onPrefill(worker.ID, prefillMs)
	}
	return grant
}

// capacityFor returns the number of requests at a worker at which the worker counts as full for this
// request.
func (s *Scheduler) capacityFor(req *Request, worker messages.Worker, now clock.Instant) int {
	if !req.Bulk {
		return worker.Capacity + constants.QueueAheadMax
	}
	if s.underPressure(req.Service, req.Priority, now) && s.bulkRunning(req.Service) >= s.bulkFloor(req.Service) {
		// Live requests are waiting for capacity, so items take no new slots.
		return 0
	}
	return int(constants.BatchCapacityShare * float64(worker.Capacity))
}

// controllerInContact reports whether a message from a controller arrived within
// constants.SuspectAfter.
func (s *Scheduler) controllerInContact(now clock.Instant) bool {
	return s.controllerContactAt > 0 && now.Sub(s.controllerContactAt) < constants.SuspectAfter
}

func isExcluded(req *Request, worker string) bool {
	if req.AllowedWorkers != nil && !req.AllowedWorkers[worker] {
		return true
	}
	for _, excluded := range req.Excluded {
		if excluded == worker {
			return true
		}
	}
	return false
}

// Allowed reports whether a request may still be sent to the worker: a drain acknowledged since the
// grant forbids it. Allowed takes the lock itself.
func (s *Scheduler) Allowed(worker string, now clock.Instant) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.Registry.Status(worker, now, false) != workers.StatusUnavailable
}
