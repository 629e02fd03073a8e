package admission

import (
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/prefixindex"
)

// place nominates a worker that has room, within reach or else among all.
func (scheduler *Scheduler) place(ask *Ask, now clock.Moment) Answer {
	all := scheduler.Registry.Named(ask.Service)
	some, more := scheduler.reach(ask, all, now)
	answer := scheduler.placeAmong(ask, some, now)
	if more && answer.Verdict != VerdictGranted {
		answer = scheduler.placeAmong(ask, all, now)
	}
	return answer
}

// placeAmong nominates one of these workers.
func (scheduler *Scheduler) placeAmong(ask *Ask, among []messages.Worker, now clock.Moment) Answer {
	listening := scheduler.hears(now)
	engine := false
	var cacheTokens int64
	if scheduler.config != nil {
		if service := scheduler.config.Service(ask.Service); service != nil && service.Engine != nil {
			engine, cacheTokens = true, service.Engine.CacheTokens
		}
	}
	neutral := scheduler.neutral(among, now)
	// The lists are used again by the next placement: all of it is under the lock.
	workerList, candidates := scheduler.scratch.workerList[:0], scheduler.scratch.candidates[:0]
	known, open := 0, 0
	apart := scheduler.apart(ask, among, now)
	// The suspects are asked only where nobody else can be.
	for _, worst := range []workers.Standing{workers.StandingGood, workers.StandingSuspect} {
		for _, worker := range among {
			standing := scheduler.Registry.Standing(worker.ID, now, listening)
			if standing == workers.StandingOut || standing > worst || excluded(ask, worker.ID) {
				continue
			}
			known++
			health := scheduler.Tracker.Of(worker.ID)
			running := health.Running(now)
			if !health.Known(now) {
				running = max(running, neutral)
			}
			suspect := scheduler.suspect(worker, standing, apart, now)
			if suspect && worst == workers.StandingGood {
				continue
			}
			open++
			if scheduler.full(ask, worker, engine, running, now) {
				continue
			}
			if ask.Bulk && engine && (health.Unread() >= constants.BulkUnread || health.PeersReading(now) > 0) {
				// Items are read one after the other, so that live prompts get between.
				continue
			}
			candidate := prefixindex.Candidate{Worker: worker.ID, WaitMs: scheduler.cost(worker.Zone)}
			if engine {
				scheduler.Index.SetCache(worker.ID, cacheTokens)
				candidate.WaitMs += float64(health.Pending())/scheduler.Index.Rate() + clock.ToMilliseconds(health.PeersReading(now)) + float64(running)*constants.StepGuess
			} else {
				// A plain worker's wait grows with how full it is and how slow it has been.
				candidate.WaitMs += health.TookMs()*(1+2*scheduler.faded(ask.Service, worker, running, neutral, now)/float64(max(worker.Capacity, 1))) + scheduler.spread()
			}
			if worker.WarmupMs > 0 {
				candidate.RiskMs += float64(worker.WarmupMs) / 10
			}
			candidate.RiskMs += scheduler.risk(ask, worker, now)
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
	scheduler.scratch.workerList, scheduler.scratch.candidates = workerList, candidates
	choice := scheduler.Index.Choose(&prompt, candidates, now)
	worker := workerList[choice.Place]
	scheduler.number++
	grant := &Grant{Worker: worker, ask: ask, begun: now, scheduler: scheduler, number: scheduler.number}
	health := scheduler.Tracker.Of(worker.ID)
	grant.alone = health.Unread() == 0
	if ask.Affine {
		grant.Fresh = scheduler.Index.Placed(&ask.Prompt, worker.ID, now)
	}
	health.Begin(ask.Bulk, grant.Fresh, now)
	if grant.engine = engine; engine {
		grant.reading = clock.Milliseconds(float64(max(health.Pending(), 0))/scheduler.Index.Rate()) + health.PeersReading(now)
	}
	if reading := float64(grant.Fresh) / scheduler.Index.Rate(); engine && reading > constants.LongReading && scheduler.tellReading != nil {
		scheduler.tellReading(worker.ID, reading)
	}
	return Answer{Verdict: VerdictGranted, Grant: grant}
}

// room is how many requests a worker may have for this ask to be placed there.
func (scheduler *Scheduler) room(ask *Ask, worker messages.Worker, now clock.Moment) int {
	if !ask.Bulk {
		return worker.Capacity + constants.RoomAhead
	}
	if scheduler.pressed(ask.Service, ask.Priority, now) && scheduler.bulkRunning(ask.Service) >= scheduler.floor(ask.Service) {
		// Live requests wait somewhere: items take no new places.
		return 0
	}
	return int(constants.BulkShare * float64(worker.Capacity))
}

// hears tells whether a controller was heard from lately.
func (scheduler *Scheduler) hears(now clock.Moment) bool {
	return scheduler.listening > 0 && now.Since(scheduler.listening) < constants.SilentAfter
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
func (scheduler *Scheduler) Allowed(worker string, now clock.Moment) bool {
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	return scheduler.Registry.Standing(worker, now, false) != workers.StandingOut
}

// First notes the first event or the head of an answer.
func (grant *Grant) First(load string, now clock.Moment) {
	scheduler := grant.scheduler
	scheduler.lock.Lock()
	defer scheduler.lock.Unlock()
	health := scheduler.Tracker.Of(grant.Worker.ID)
	if load != "" {
		health.Load(load, now)
	}
	if grant.read {
		return
	}
	grant.read = true
	health.Read(grant.Fresh)
	health.Answered(now.Since(grant.begun))
	scheduler.pace(grant.Worker.Backend).first.Learn(clock.ToMilliseconds(max(now.Since(grant.begun)-grant.reading, 0)))
	if grant.ask.Affine {
		scheduler.Index.FirstEvent(&grant.ask.Prompt, grant.Worker.ID, grant.Fresh, now.Since(grant.begun), grant.alone, now)
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
func (grant *Grant) End(result Result, now clock.Moment) {
	scheduler := grant.scheduler
	scheduler.lock.Lock()
	delete(scheduler.yields, grant)
	health := scheduler.Tracker.Of(grant.Worker.ID)
	if !grant.read {
		// No event came: what we gave it to read is not waited for any more.
		grant.read = true
		health.Read(grant.Fresh)
	}
	health.End(grant.ask.Bulk, now)
	scheduler.judge(grant, result, now)
	switch result {
	case ResultTurnedAway, ResultShed:
		// It is full whatever we believed: let others be asked for a moment.
		health.Full(grant.Worker.Capacity, now)
	case ResultGoneAway:
		scheduler.Index.Drop(grant.Worker.ID)
	case ResultServed:
		scheduler.finished(grant.ask.Service, now)
		scheduler.flowed(grant, now)
	}
	scheduler.lock.Unlock()
	scheduler.Pump(now)
}

func (scheduler *Scheduler) finished(service string, now clock.Moment) {
	pace := scheduler.rates[service]
	if pace == nil {
		pace = &rate{since: now}
		scheduler.rates[service] = pace
	}
	pace.count++
	if span := now.Since(pace.since); span > constants.GossipPeriod/2 {
		fresh := pace.count / span.Seconds()
		if pace.perS == 0 {
			pace.perS = fresh
		}
		pace.perS += 0.4 * (fresh - pace.perS)
		pace.count, pace.since = 0, now
	}
}
