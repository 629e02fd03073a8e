package gauge

import (
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/watch"
)

// birth is what is remembered of an address: the life that answers there now, and how
// many before it died without a word.
type birth struct {
	worker, service string
	died            int
	at              watch.Moment
}

// Born notes a new life at an address. One that follows lives which died without
// saying that they leave is on trial, and from the second such death on held back for
// a growing time: it may be going down and up by turns.
func (gauge *Gauge) Born(worker, service, address string, orderly bool, now watch.Moment) (span watch.Span) {
	trust := gauge.Trust(worker, service)
	known, found := gauge.trusts.births[address]
	if found && known.worker == worker {
		return 0
	}
	next := birth{worker: worker, service: service, at: now}
	// An address may be given to another service: its past is another's. Lives heard of
	// in one word, as when a process starts, tell nothing of who died.
	if found && known.service == service && !orderly && now > known.at && now.Since(known.at) < almanac.FlapWindow {
		next.died = known.died + 1
	}
	gauge.trusts.births[address] = next
	if next.died < almanac.FlapDeaths {
		return 0
	}
	trust.level = min(next.died-almanac.FlapDeaths, almanac.EjectLevels)
	trust.failedAt = now
	return gauge.eject(worker, trust, now)
}

// Lives names the life that answers at an address, if one is known.
func (gauge *Gauge) Lives(address string) string { return gauge.trusts.births[address].worker }

// Bury drops what is known of a worker's outcomes; its address stays known for a while.
func (gauge *Gauge) Bury(worker string) {
	delete(gauge.trusts.of, worker)
	delete(gauge.trusts.apart, worker)
}

// SweepTrust forgets addresses whose last birth is long past.
func (gauge *Gauge) SweepTrust(now watch.Moment) {
	for address, known := range gauge.trusts.births {
		if now.Since(known.at) > almanac.ForgetAfter && gauge.trusts.of[known.worker] == nil {
			delete(gauge.trusts.births, address)
		}
	}
	for worker, trust := range gauge.trusts.apart {
		if now >= trust.trialEnd {
			trust.trial = false
			delete(gauge.trusts.apart, worker)
		}
	}
}

// SomeApart tells whether any worker is held or on trial.
func (gauge *Gauge) SomeApart() bool { return len(gauge.trusts.apart) > 0 }

// Apart gives the workers that get no ordinary request now, of those named. Never more
// than EjectShare of them: of too many, those that fail most. idle tells whether we
// have nothing running at a worker; repeatable, whether the request may be a trial.
func (gauge *Gauge) Apart(workers []string, repeatable bool, idle func(worker string) bool, now watch.Moment) map[string]bool {
	type one struct {
		worker string
		rate   float64
	}
	var held []one
	for _, worker := range workers {
		trust := gauge.trusts.apart[worker]
		if trust == nil {
			continue
		}
		if trust.Held(now) || (trust.Trial(now) && !(repeatable && idle(worker))) {
			held = append(held, one{worker, trust.Rate(0, now)})
		}
	}
	most := int(almanac.EjectShare * float64(len(workers)))
	if most == 0 && len(workers) > 1 {
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
