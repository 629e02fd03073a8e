package workbench

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/plumbline"
	"lemonarch/internal/roster"
	"lemonarch/internal/watch"
)

// place nominates a worker that has room, within reach or else among all.
func (bench *Workbench) place(ask *Ask, now watch.Moment) Answer {
	all := bench.Roster.Named(ask.Service)
	some, more := bench.reach(ask, all, now)
	answer := bench.placeAmong(ask, some, now)
	if more && answer.Verdict != VerdictGranted {
		answer = bench.placeAmong(ask, all, now)
	}
	return answer
}

// placeAmong nominates one of these workers.
func (bench *Workbench) placeAmong(ask *Ask, among []pattern.Worker, now watch.Moment) Answer {
	listening := bench.hears(now)
	engine := false
	var cacheTokens int64
	if bench.config != nil {
		if service := bench.config.Service(ask.Service); service != nil && service.Engine != nil {
			engine, cacheTokens = true, service.Engine.CacheTokens
		}
	}
	neutral := bench.neutral(among, now)
	// The lists are used again by the next placement: all of it is under the lock.
	workers, candidates := bench.scratch.workers[:0], bench.scratch.candidates[:0]
	known, open := 0, 0
	apart := bench.apart(ask, among, now)
	// The suspects are asked only where nobody else can be.
	for _, worst := range []roster.Standing{roster.StandingGood, roster.StandingSuspect} {
		for _, worker := range among {
			standing := bench.Roster.Standing(worker.ID, now, listening)
			if standing == roster.StandingOut || standing > worst || excluded(ask, worker.ID) {
				continue
			}
			known++
			vitals := bench.Gauge.Of(worker.ID)
			running := vitals.Running(now)
			if !vitals.Known(now) {
				running = max(running, neutral)
			}
			suspect := bench.suspect(worker, standing, apart, now)
			if suspect && worst == roster.StandingGood {
				continue
			}
			open++
			if bench.full(ask, worker, engine, running, now) {
				continue
			}
			if ask.Bulk && engine && (vitals.Unread() >= almanac.BulkUnread || vitals.PeersReading(now) > 0) {
				// Items are read one after the other, so that live prompts get between.
				continue
			}
			candidate := plumbline.Candidate{Worker: worker.ID, WaitMs: bench.cost(worker.Hall)}
			if engine {
				bench.Index.SetCache(worker.ID, cacheTokens)
				candidate.WaitMs += float64(vitals.Pending())/bench.Index.Rate() + watch.ToMilliseconds(vitals.PeersReading(now)) + float64(running)*almanac.StepGuess
			} else {
				// A plain worker's wait grows with how full it is and how slow it has been.
				candidate.WaitMs += vitals.TookMs()*(1+2*bench.faded(ask.Service, worker, running, neutral, now)/float64(max(worker.Capacity, 1))) + bench.spread()
			}
			if worker.WarmupMs > 0 {
				candidate.RiskMs += float64(worker.WarmupMs) / 10
			}
			candidate.RiskMs += bench.risk(ask, worker, now)
			if suspect {
				candidate.RiskMs += almanac.FailurePenalty
			}
			workers = append(workers, worker)
			candidates = append(candidates, candidate)
		}
		if open > 0 {
			break
		}
	}
	if known == 0 {
		return Answer{Verdict: VerdictNoWorker, Retry: almanac.GossipPeriod / 2}
	}
	if len(candidates) == 0 {
		return Answer{Verdict: VerdictNoRoom}
	}
	prompt := ask.Prompt
	if !ask.Affine {
		// Routes that are not affine use load alone.
		prompt = plumbline.Prompt{}
	}
	bench.scratch.workers, bench.scratch.candidates = workers, candidates
	choice := bench.Index.Nominate(&prompt, candidates, now)
	worker := workers[choice.Place]
	bench.number++
	grant := &Grant{Worker: worker, ask: ask, begun: now, bench: bench, number: bench.number}
	vitals := bench.Gauge.Of(worker.ID)
	grant.alone = vitals.Unread() == 0
	if ask.Affine {
		grant.Fresh = bench.Index.Placed(&ask.Prompt, worker.ID, now)
	}
	vitals.Begin(ask.Bulk, grant.Fresh, now)
	if grant.engine = engine; engine {
		grant.reading = watch.Milliseconds(float64(max(vitals.Pending(), 0))/bench.Index.Rate()) + vitals.PeersReading(now)
	}
	if reading := float64(grant.Fresh) / bench.Index.Rate(); engine && reading > almanac.LongReading && bench.tellReading != nil {
		bench.tellReading(worker.ID, reading)
	}
	return Answer{Verdict: VerdictGranted, Grant: grant}
}

// room is how many requests a worker may have for this ask to be placed there.
func (bench *Workbench) room(ask *Ask, worker pattern.Worker, now watch.Moment) int {
	if !ask.Bulk {
		return worker.Capacity + almanac.RoomAhead
	}
	if bench.pressed(ask.Service, ask.Priority, now) && bench.bulkRunning(ask.Service) >= bench.floor(ask.Service) {
		// Live requests wait somewhere: items take no new places.
		return 0
	}
	return int(almanac.BulkShare * float64(worker.Capacity))
}

// hears tells whether a foreman was heard from lately.
func (bench *Workbench) hears(now watch.Moment) bool {
	return bench.listening > 0 && now.Since(bench.listening) < almanac.SilentAfter
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
func (bench *Workbench) Allowed(worker string, now watch.Moment) bool {
	bench.lock.Lock()
	defer bench.lock.Unlock()
	return bench.Roster.Standing(worker, now, false) != roster.StandingOut
}

// First notes the first event or the head of an answer.
func (grant *Grant) First(load string, now watch.Moment) {
	bench := grant.bench
	bench.lock.Lock()
	defer bench.lock.Unlock()
	vitals := bench.Gauge.Of(grant.Worker.ID)
	if load != "" {
		vitals.Load(load, now)
	}
	if grant.read {
		return
	}
	grant.read = true
	vitals.Read(grant.Fresh)
	vitals.Answered(now.Since(grant.begun))
	bench.pace(grant.Worker.Backend).first.Learn(watch.ToMilliseconds(max(now.Since(grant.begun)-grant.reading, 0)))
	if grant.ask.Affine {
		bench.Index.FirstEvent(&grant.ask.Prompt, grant.Worker.ID, grant.Fresh, now.Since(grant.begun), grant.alone, now)
	}
}

// Outcome is how a grant ended, for the vitals.
type Outcome int

// The outcomes.
const (
	OutcomeServed Outcome = iota
	// OutcomeFailed: reset, cut, spoilt bytes.
	OutcomeFailed
	// OutcomeRefused: no connection came up; nothing was sent.
	OutcomeRefused
	// OutcomeSilent: silence for a multiple of the usual time.
	OutcomeSilent
	// OutcomeErrored: the worker's own 5xx.
	OutcomeErrored
	// OutcomeShed: turned away although its own word leaves room.
	OutcomeShed
	// OutcomeTurnedAway: the worker was full.
	OutcomeTurnedAway
	// OutcomeGoneAway: another service answers at that address.
	OutcomeGoneAway
	// OutcomeCalledOff: our client or we gave up.
	OutcomeCalledOff
)

// End gives the entry back.
func (grant *Grant) End(outcome Outcome, now watch.Moment) {
	bench := grant.bench
	bench.lock.Lock()
	delete(bench.yields, grant)
	vitals := bench.Gauge.Of(grant.Worker.ID)
	if !grant.read {
		// No event came: what we gave it to read is not waited for any more.
		grant.read = true
		vitals.Read(grant.Fresh)
	}
	vitals.End(grant.ask.Bulk, now)
	bench.judge(grant, outcome, now)
	switch outcome {
	case OutcomeTurnedAway, OutcomeShed:
		// It is full whatever we believed: let others be asked for a moment.
		vitals.Full(grant.Worker.Capacity, now)
	case OutcomeGoneAway:
		bench.Index.Drop(grant.Worker.ID)
	case OutcomeServed:
		bench.finished(grant.ask.Service, now)
		bench.flowed(grant, now)
	}
	bench.lock.Unlock()
	bench.Pump(now)
}

func (bench *Workbench) finished(service string, now watch.Moment) {
	pace := bench.rates[service]
	if pace == nil {
		pace = &rate{since: now}
		bench.rates[service] = pace
	}
	pace.count++
	if span := now.Since(pace.since); span > almanac.GossipPeriod/2 {
		fresh := pace.count / span.Seconds()
		if pace.perS == 0 {
			pace.perS = fresh
		}
		pace.perS += 0.4 * (fresh - pace.perS)
		pace.count, pace.since = 0, now
	}
}
