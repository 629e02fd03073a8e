package foreman

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// peer is what this foreman remembers of another one: how far its tables were read,
// and when it was last told who has beaten here.
type peer struct {
	workers, processes pattern.Digest
	told               watch.Moment
}

// tableAnswerers registers what concerns the tables of workers and processes.
func (foreman *Foreman) tableAnswerers() {
	stand := foreman.Stand
	stand.Answer(pattern.KindRosterPush, answer(func(question *pattern.RosterPush) (tongs.Writable, error) {
		foreman.mergeWorkers(question.Workers)
		stand.Touched(question.From)
		return &pattern.Nothing{Taken: true}, nil
	}))
	stand.Answer(pattern.KindRosterPull, answer(func(question *pattern.RosterPull) (tongs.Writable, error) {
		foreman.lock.Lock()
		defer foreman.lock.Unlock()
		return &pattern.RosterPush{From: bellows.Key(stand.Own), Workers: foreman.roster.Since(question.Since, watch.Now()),
			Table: foreman.roster.Digest(stand.Own.Life)}, nil
	}))
	stand.Answer(pattern.KindDirectoryPull, answer(func(question *pattern.DirectoryPull) (tongs.Writable, error) {
		back := &pattern.Shuffle{}
		stand.Viewed(func(view *bellows.View) {
			back.Entries, back.Table = view.Since(question.Since, watch.Now()), view.Digest()
		})
		return back, nil
	}))
	stand.Answer(pattern.KindForemanBeat, answer(func(question *pattern.ForemanBeat) (tongs.Writable, error) {
		// What is told here is chosen before it counts as told.
		now := watch.Now()
		back := foreman.word(bellows.Key(question.From))
		go foreman.heardBeat(question, now)
		return back, nil
	}))
	stand.Answer(pattern.KindRelay, answer(foreman.relayed))
	stand.Answer(pattern.KindRelayWait, answer(foreman.relayWaited))
	stand.OnAnswer(foreman.addWorkers)
}

func (foreman *Foreman) mergeWorkers(workers []pattern.Worker) {
	foreman.lock.Lock()
	defer foreman.lock.Unlock()
	for _, worker := range workers {
		if foreman.roster.Merge(worker, watch.Now()) {
			foreman.memory.remember(worker)
		}
	}
}

// learning tells whether this process has just started and has not had the tables of
// another foreman yet: till then it takes no calls of workers, who go to the next.
func (foreman *Foreman) learning() bool {
	alone := true
	for _, address := range foreman.Stand.Boot.SeedAddresses(almanac.PortForeman) {
		alone = alone && address == foreman.Stand.Own.Address
	}
	return !alone && !foreman.met.Load() && watch.Now().Since(foreman.begun) < almanac.RelearnTime
}

// addWorkers adds the word on workers to the answer that a process gets: a digest of
// the table, and who is silent, as far as this foreman can judge.
func (foreman *Foreman) addWorkers(answer *pattern.Shuffle) {
	if foreman.learning() {
		// It knows too few yet to say how many there are, or who is silent.
		answer.Heads = nil
		return
	}
	judging, plan := foreman.judging(), foreman.planTold().Revision
	foreman.lock.Lock()
	defer foreman.lock.Unlock()
	answer.Workers, answer.Plan = foreman.roster.Digest(foreman.Stand.Own.Life), plan
	if answer.Judging = judging; judging {
		answer.Overdue = foreman.roster.Overdue(watch.Now())
	}
}

// judging tells whether silence here means anything: workers beat at any foreman, so one
// that hears no other must not take them for silent.
func (foreman *Foreman) judging() bool {
	return len(foreman.Stand.Live(bellows.RoleForeman)) > 0 || len(foreman.Stand.All(bellows.RoleForeman)) == 0
}

// word is what another foreman is told: digests, and who was heard here directly.
func (foreman *Foreman) word(key string) *pattern.ForemanBeat {
	foreman.lock.Lock()
	since := watch.Moment(0)
	if one := foreman.peers[key]; one != nil {
		since = one.told
	}
	word := &pattern.ForemanBeat{Workers: foreman.roster.Digest(foreman.Stand.Own.Life), Beaten: foreman.roster.BeatenSince(since)}
	word.Plan = foreman.planTold().Revision
	foreman.lock.Unlock()
	foreman.Stand.Viewed(func(view *bellows.View) {
		word.From, word.Processes, word.Met = view.Own(), view.Digest(), view.MetSince(since)
	})
	return word
}

// beatOthers exchanges a word with every other foreman: there are few. Of two, the one
// with the lesser name begins, unless it has been silent for long.
func (foreman *Foreman) beatOthers() {
	stand, now := foreman.Stand, watch.Now()
	foreman.lock.Lock()
	foreman.roster.Forget(now.Plus(-almanac.ForgetAfter))
	for key, one := range foreman.relays {
		if now.Since(one.begun) > almanac.BulkCallTime {
			delete(foreman.relays, key)
		}
	}
	foreman.lock.Unlock()
	addresses := map[string]string{}
	for _, address := range stand.Boot.SeedAddresses(almanac.PortForeman) {
		addresses[address] = ""
	}
	for _, entry := range stand.All(bellows.RoleForeman) {
		key := bellows.Key(entry)
		if key < bellows.Key(stand.Own) && entry.AgeMs < 2*almanac.RosterPeriod.Milliseconds() {
			delete(addresses, entry.Address)
			continue
		}
		addresses[entry.Address] = key
	}
	delete(addresses, stand.Own.Address)
	for address, key := range addresses {
		go func() {
			back := &pattern.ForemanBeat{}
			if tongs.Ask(stand.Wire, address, pattern.KindForemanBeat, foreman.word(key), back, almanac.CallTime) == nil {
				foreman.heardBeat(back, now)
			}
		}()
	}
}

// heardBeat takes another foreman's word, and pulls what its tables have beyond ours.
// told is when that foreman was given our own word.
func (foreman *Foreman) heardBeat(beat *pattern.ForemanBeat, told watch.Moment) {
	stand, now, key := foreman.Stand, watch.Now(), bellows.Key(beat.From)
	stand.Hear([]pattern.Entry{beat.From})
	go foreman.sawPlan(beat.Plan, beat.From.Address)
	foreman.lock.Lock()
	one := foreman.peers[key]
	if one == nil {
		one = &peer{}
		foreman.peers[key] = one
	}
	one.told = told
	foreman.roster.Vouched(beat.Beaten, now)
	workers := foreman.roster.Digest(stand.Own.Life)
	sinceWorkers, askWorkers := behind(&one.workers, beat.Workers, workers)
	foreman.lock.Unlock()
	var processes pattern.Digest
	stand.Viewed(func(view *bellows.View) {
		view.Vouched(beat.Met, now)
		processes = view.Digest()
	})
	foreman.lock.Lock()
	sinceProcesses, askProcesses := behind(&one.processes, beat.Processes, processes)
	foreman.lock.Unlock()
	if askWorkers {
		back := &pattern.RosterPush{}
		if tongs.Ask(stand.Wire, beat.From.Address, pattern.KindRosterPull, &pattern.RosterPull{Since: sinceWorkers}, back, almanac.CallTime) == nil {
			foreman.mergeWorkers(back.Workers)
			foreman.lock.Lock()
			one.workers = back.Table
			foreman.lock.Unlock()
		}
	}
	if askProcesses {
		back := &pattern.Shuffle{}
		if tongs.Ask(stand.Wire, beat.From.Address, pattern.KindDirectoryPull, &pattern.DirectoryPull{Since: sinceProcesses}, back, almanac.CallTime) == nil {
			stand.Hear(back.Entries)
			foreman.lock.Lock()
			one.processes = back.Table
			foreman.lock.Unlock()
		}
	}
	foreman.met.Store(true)
}

// behind tells whether another's table may hold something beyond ours, and from which
// clock on to ask. read is how far that table was read.
func behind(read *pattern.Digest, told, own pattern.Digest) (since uint64, ask bool) {
	if told.Sum == own.Sum {
		*read = told
		return 0, false
	}
	if read.Life != told.Life {
		return 0, true
	}
	return read.Clock, told.Clock > read.Clock
}
