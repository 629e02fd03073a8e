package health

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// birth is what is remembered of an address: the life that answers there now, and how
// many before it died without a word.
type birth struct {
	worker, service string
	died            int
	at              clock.Instant
}

// Born notes a new life at an address. One that follows lives which died without
// saying that they leave is on trial, and from the second such death on held back for
// a growing time: it may be going down and up by turns.
func (t *Tracker) Born(worker, service, address string, orderly bool, now clock.Instant) (span clock.Duration) {
	trust := t.Trust(worker, service)
	known, found := t.trusts.births[address]
	if found && known.worker == worker {
		return 0
	}
	next := birth{worker: worker, service: service, at: now}
	// An address may be given to another service: its past is another's. Lives heard of
	// in one word, as when a process starts, tell nothing of who died.
	if found && known.service == service && !orderly && now > known.at && now.Sub(known.at) < constants.FlapWindow {
		next.died = known.died + 1
	}
	t.trusts.births[address] = next
	if next.died < constants.FlapDeaths {
		return 0
	}
	trust.level = min(next.died-constants.FlapDeaths, constants.EjectLevels)
	trust.failedAt = now
	return t.eject(worker, trust, now)
}

// Lives names the life that answers at an address, if one is known.
func (t *Tracker) Lives(address string) string { return t.trusts.births[address].worker }

// Bury drops what is known of a worker's outcomes; its address stays known for a while.
func (t *Tracker) Bury(worker string) {
	delete(t.trusts.of, worker)
	delete(t.trusts.apart, worker)
}

// SweepTrust forgets addresses whose last birth is long past.
func (t *Tracker) SweepTrust(now clock.Instant) {
	for address, known := range t.trusts.births {
		if now.Sub(known.at) > constants.ForgetAfter && t.trusts.of[known.worker] == nil {
			delete(t.trusts.births, address)
		}
	}
	for worker, trust := range t.trusts.apart {
		if now >= trust.trialEnd {
			trust.trial = false
			delete(t.trusts.apart, worker)
		}
	}
}

// SomeApart tells whether any worker is held or on trial.
func (t *Tracker) SomeApart() bool { return len(t.trusts.apart) > 0 }

// Apart gives the workers that get no ordinary request now, of those named. Never more
// than EjectShare of them: of too many, those that fail most. idle tells whether we
// have nothing running at a worker; repeatable, whether the request may be a trial.
func (t *Tracker) Apart(workerList []string, repeatable bool, idle func(worker string) bool, now clock.Instant) map[string]bool {
	type one struct {
		worker string
		rate   float64
	}
	var held []one
	for _, worker := range workerList {
		trust := t.trusts.apart[worker]
		if trust == nil {
			continue
		}
		if trust.Held(now) || (trust.Trial(now) && (!repeatable || !idle(worker))) {
			held = append(held, one{worker, trust.Rate(0, now)})
		}
	}
	most := int(constants.EjectShare * float64(len(workerList)))
	if most == 0 && len(workerList) > 1 {
		most = 1
	}
	if len(held) > most {
		sort.Slice(held, func(left, right int) bool {
			if held[left].rate != held[right].rate {
				return held[left].rate > held[right].rate
			}
			return held[left].worker < held[right].worker
		})
		held = held[:most]
	}
	apart := make(map[string]bool, len(held))
	for _, each := range held {
		apart[each.worker] = true
	}
	return apart
}
