package foreman

import (
	"strconv"
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/manifold"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// delivery is a word on its way down the tree.
type delivery struct {
	begun watch.Moment
	lock  sync.Mutex
	job   *manifold.Job
	done  chan struct{}
}

// directory gives every other process, the silent ones included: word to one that is
// out of reach fails fast and is made up for by the digests. Who follows a generation
// already need not get it again.
func (foreman *Foreman) directory(generation int64) []pattern.Entry {
	var found []pattern.Entry
	for _, entry := range foreman.Stand.All("") {
		has := generation > 0 && entry.Generation >= generation && entry.Role != bellows.RoleForeman
		if entry.AgeMs < 4*almanac.SilentAfter.Milliseconds() && !has {
			found = append(found, entry)
		}
	}
	return found
}

// fan is how many of a hall get a word directly: a word of a worker is short, a
// configuration is not.
func fan(word *pattern.Relay) int {
	if word.Generation > 0 {
		return 2 * almanac.BodyFan
	}
	return 0
}

// spread tells all processes down the tree. It returns once all in touch have taken
// the word, or after the span; what is then under way goes on.
func (foreman *Foreman) spread(word *pattern.Relay, span watch.Span) {
	word.From, word.Number = bellows.Key(foreman.Stand.Own), foreman.number.Add(1)
	job, sends := manifold.Fleet(foreman.Stand.Own, foreman.directory(word.Generation), fan(word), watch.Now())
	one := foreman.deliver(word, job, sends)
	timer := watch.NewTimer(span)
	defer timer.Stop()
	select {
	case <-one.done:
	case <-timer.C:
		foreman.Stand.Log.Debug("word not taken by all in time", "missing", len(one.missing()))
	}
}

func (one *delivery) missing() []uint32 {
	one.lock.Lock()
	defer one.lock.Unlock()
	return one.job.Missing()
}

// deliver makes the calls that a job asks for, until it is done or too late.
func (foreman *Foreman) deliver(word *pattern.Relay, job *manifold.Job, sends []manifold.Send) *delivery {
	one := &delivery{begun: watch.Now(), job: job, done: make(chan struct{})}
	var ended sync.Once
	var follow func(sends []manifold.Send)
	call := func(send manifold.Send) {
		missing, failure := foreman.send(word, send)
		one.lock.Lock()
		var next []manifold.Send
		if failure != nil {
			next = job.Failed(send, watch.Now())
		} else {
			next = job.Took(send, missing, watch.Now())
		}
		one.lock.Unlock()
		follow(next)
	}
	follow = func(sends []manifold.Send) {
		for _, send := range sends {
			go call(send)
		}
		one.lock.Lock()
		done := job.Done()
		one.lock.Unlock()
		if done {
			ended.Do(func() { close(one.done) })
		}
	}
	follow(sends)
	go func() {
		for watch.Now().Since(one.begun) < almanac.BulkCallTime {
			select {
			case <-one.done:
				return
			case <-watch.After(almanac.RelayPatience / 4):
			}
			one.lock.Lock()
			next := job.Tick(watch.Now())
			one.lock.Unlock()
			follow(next)
		}
	}()
	return one
}

// send makes one call of a job.
func (foreman *Foreman) send(word *pattern.Relay, send manifold.Send) ([]uint32, error) {
	wire := foreman.Stand.Wire
	switch send.Step {
	case manifold.StepRelay:
		part := *word
		part.Expect = send.Expect
		return nil, tongs.Ask(wire, send.Address, pattern.KindRelay, &part, &pattern.Nothing{}, almanac.CallTime)
	case manifold.StepWait:
		back := &pattern.RelayDone{}
		failure := tongs.Ask(wire, send.Address, pattern.KindRelayWait, &pattern.RelayWait{From: word.From, Number: word.Number}, back, almanac.CallTime)
		if failure == nil && !back.Known {
			failure = Damaged.New("relay forgot")
		}
		return back.Missing, failure
	}
	if word.Generation > 0 {
		push := &pattern.ConfigPush{Generation: word.Generation, Body: word.Body, Pass: send.Pass}
		return nil, tongs.Ask(wire, send.Address, pattern.KindConfigPush, push, &pattern.Nothing{}, almanac.CallTime)
	}
	push := &pattern.RosterPush{From: bellows.Key(foreman.Stand.Own), Workers: word.Workers}
	return nil, tongs.Ask(wire, send.Address, pattern.KindRosterPush, push, &pattern.Nothing{}, almanac.CallTime)
}

func relayKey(from string, number uint64) string { return from + "#" + strconv.FormatUint(number, 10) }

// relayed takes a word for this hall and begins to tell it.
func (foreman *Foreman) relayed(word *pattern.Relay) (tongs.Writable, error) {
	foreman.mergeWorkers(word.Workers)
	if word.Generation > foreman.Stand.Generation() {
		foreman.Stand.Take(word.Body)
	}
	expect := word.Expect[:0:0]
	has := map[uint32]bool{}
	for _, entry := range foreman.directory(0) {
		has[bellows.MarkOf(entry)] = word.Generation > 0 && entry.Generation >= word.Generation
	}
	for _, mark := range word.Expect {
		if !has[mark] {
			expect = append(expect, mark)
		}
	}
	job, sends := manifold.Hall(foreman.Stand.Own, foreman.directory(word.Generation), expect, fan(word), watch.Now())
	one := foreman.deliver(word, job, sends)
	foreman.lock.Lock()
	foreman.relays[relayKey(word.From, word.Number)] = one
	foreman.lock.Unlock()
	return &pattern.Nothing{Taken: true}, nil
}

// relayWaited says whom of the hall a relayed word has not reached.
func (foreman *Foreman) relayWaited(question *pattern.RelayWait) (tongs.Writable, error) {
	foreman.lock.Lock()
	one := foreman.relays[relayKey(question.From, question.Number)]
	foreman.lock.Unlock()
	if one == nil {
		return &pattern.RelayDone{}, nil
	}
	timer := watch.NewTimer(almanac.HallTime)
	defer timer.Stop()
	select {
	case <-one.done:
	case <-timer.C:
	}
	return &pattern.RelayDone{Known: true, Missing: one.missing()}, nil
}
