package foreman

import (
	"net/http"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/errand"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

func errandStop(server *http.Server) {
	stopping, done := errand.Timed(errand.Background(), almanac.BulkCallTime)
	defer done()
	_ = server.Shutdown(stopping)
}

// LearnSets takes the sets of a value that came without its body.
func (register *Register) LearnSets(value pattern.Register) {
	register.lock.Lock()
	defer register.lock.Unlock()
	if len(value.Acceptors) == 0 {
		return
	}
	if len(register.known.Acceptors) == 0 || value.SetEpoch > register.known.SetEpoch {
		register.known = value
	}
}

// others gives every process but this one, the silent ones included: a push to
// one that is out of reach fails fast and is made up for later.
func (foreman *Foreman) others() []pattern.Entry {
	var found []pattern.Entry
	for _, entry := range foreman.Stand.All("") {
		if entry.AgeMs < 4*almanac.SilentAfter.Milliseconds() {
			found = append(found, entry)
		}
	}
	return found
}

// chosen puts a value in force here and, where push is set, tells everybody
// before the caller acknowledges it.
func (foreman *Foreman) chosen(value pattern.Register, push bool) {
	if value.Current.Generation == 0 {
		return
	}
	newer := value.Current.Generation > foreman.Stand.Generation()
	foreman.Stand.Take(value.Body)
	if push || newer {
		message := &pattern.ConfigPush{Generation: value.Current.Generation, Body: value.Body}
		if !push {
			go foreman.Stand.Spread(foreman.others(), pattern.KindConfigPush, message, almanac.CallTime, nil)
			return
		}
		foreman.Stand.Spread(foreman.others(), pattern.KindConfigPush, message, almanac.PushTime, nil)
	}
}

// accepted is told when our acceptor took a value. Its proposer may die right
// after it has acknowledged it, so we look for ourselves a little later.
func (foreman *Foreman) accepted(generation int64) {
	if generation <= foreman.Stand.Generation() {
		return
	}
	go func() {
		watch.Sleep(almanac.PushTime)
		for round := 0; round < 5 && foreman.Stand.Generation() < generation; round++ {
			if value, failure := foreman.Register.Read(); failure == nil {
				foreman.chosen(value, false)
				return
			}
			watch.Sleep(almanac.PushTime)
		}
	}()
}

// tellWorkers pushes word of workers to all and waits a bounded time, so that a
// drain binds everywhere before it is acknowledged.
func (foreman *Foreman) tellWorkers(workers []pattern.Worker, span watch.Span) {
	message := &pattern.RosterPush{From: bellows.Key(foreman.Stand.Own), Workers: workers}
	foreman.Stand.Spread(foreman.others(), pattern.KindRosterPush, message, span, func(entry pattern.Entry) {
		// Who missed it gets everything with the next word.
		foreman.lock.Lock()
		foreman.behind[bellows.Key(entry)] = true
		foreman.lock.Unlock()
	})
}

// tellRoster is the periodic word: who has beaten here since the last one, and
// everything to those that are new or missed something.
func (foreman *Foreman) tellRoster() {
	now := watch.Now()
	others := foreman.others()
	foreman.lock.Lock()
	foreman.roster.Forget(now)
	all := foreman.roster.All(now)
	var lately []pattern.Worker
	for _, worker := range all {
		if foreman.beaten[worker.ID] {
			lately = append(lately, worker)
		}
	}
	foreman.beaten = map[string]bool{}
	var whole, part []pattern.Entry
	for _, entry := range others {
		key := bellows.Key(entry)
		if foreman.behind[key] || foreman.met[key] != entry.Life {
			whole = append(whole, entry)
			delete(foreman.behind, key)
			foreman.met[key] = entry.Life
		} else {
			part = append(part, entry)
		}
	}
	foreman.lock.Unlock()
	missed := func(entry pattern.Entry) {
		foreman.lock.Lock()
		foreman.behind[bellows.Key(entry)] = true
		foreman.lock.Unlock()
	}
	own := bellows.Key(foreman.Stand.Own)
	go foreman.Stand.Spread(whole, pattern.KindRosterPush, &pattern.RosterPush{From: own, Workers: all}, almanac.CallTime, missed)
	foreman.Stand.Spread(part, pattern.KindRosterPush, &pattern.RosterPush{From: own, Workers: lately}, almanac.CallTime, missed)
}
