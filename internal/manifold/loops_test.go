package manifold_test

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/manifold"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// hear takes entries, and pulls a configuration that somebody was seen to have.
func (here *node) hear(entries []pattern.Entry) {
	here.view.Heard(entries, here.fleet.Now)
	here.pull(entries)
}

func (here *node) pull(entries []pattern.Entry) {
	newest := int64(0)
	for _, entry := range entries {
		newest = max(newest, entry.Generation)
	}
	if newest <= here.config || here.pulling {
		return
	}
	here.pulling = true
	address := here.view.Foremen(here.fleet.Now)[0].Address
	here.call(address, &pattern.ConfigPull{Known: here.config}, almanac.CallTime, func(answer tongs.Writable, failed bool) {
		here.pulling = false
		if failed {
			here.view.Failed(address, here.fleet.Now)
			here.pull(entries)
			return
		}
		here.take(answer.(*pattern.ConfigPush).Generation)
	})
}

// period is the periodic word: a foreman's with foremen, anybody else's with a foreman.
func (here *node) period() {
	if here.own.Role == bellows.RoleForeman {
		here.fleet.After(almanac.RosterPeriod, here.period)
		if !here.down {
			here.beatOthers()
		}
		return
	}
	here.fleet.After(almanac.ShufflePeriod, here.period)
	if !here.down {
		here.report(here.view.Foremen(here.fleet.Now), 3)
	}
}

func (here *node) report(foremen []pattern.Entry, tries int) {
	if len(foremen) == 0 || tries == 0 {
		if partner := here.view.Partner(here.fleet.Now); partner != "" {
			here.call(partner, &pattern.Shuffle{Entries: here.view.Offer(here.fleet.Now)}, almanac.CallTime, func(answer tongs.Writable, failed bool) {
				if !failed {
					here.hear(answer.(*pattern.Shuffle).Entries)
				}
			})
		}
		return
	}
	question, address := here.view.Question(), foremen[0].Address
	here.call(address, question, almanac.ReportTime, func(answer tongs.Writable, failed bool) {
		if failed {
			here.view.Failed(address, here.fleet.Now)
			here.report(foremen[1:], tries-1)
			return
		}
		back := answer.(*pattern.Shuffle)
		here.view.Answered(question, back, here.fleet.Now)
		here.pull(back.Entries)
		read := here.read(address)
		if since, ask := behind(&read.workers, back.Workers, here.roster.Digest(here.own.Life)); ask {
			here.pullWorkers(address, since)
		}
		if back.Judging {
			here.roster.Judged(back.Overdue, here.fleet.Now)
		}
	})
}

func (here *node) read(key string) *reads {
	if here.reads[key] == nil {
		here.reads[key] = &reads{}
	}
	return here.reads[key]
}

func behind(read *pattern.Digest, told, own pattern.Digest) (uint64, bool) {
	if told.Sum == own.Sum {
		*read = told
		return 0, false
	}
	if read.Life != told.Life {
		return 0, true
	}
	return read.Clock, told.Clock > read.Clock
}

func (here *node) pullWorkers(address string, since uint64) {
	here.call(address, &pattern.RosterPull{Since: since}, almanac.CallTime, func(answer tongs.Writable, failed bool) {
		if !failed {
			back := answer.(*pattern.RosterPush)
			here.merge(back.Workers)
			here.read(address).workers = back.Table
		}
	})
}

func (here *node) word(key string) *pattern.ForemanBeat {
	since := here.read(key).told
	return &pattern.ForemanBeat{From: here.view.Own(), Workers: here.roster.Digest(here.own.Life), Processes: here.view.Digest(),
		Beaten: here.roster.BeatenSince(since), Met: here.view.MetSince(since)}
}

func (here *node) beatOthers() {
	now := here.fleet.Now
	for _, entry := range here.view.All(bellows.RoleForeman, now) {
		key := bellows.Key(entry)
		if key < bellows.Key(here.own) && entry.AgeMs < 2*almanac.RosterPeriod.Milliseconds() {
			continue
		}
		here.call(entry.Address, here.word(key), almanac.CallTime, func(answer tongs.Writable, failed bool) {
			if !failed {
				here.heardBeat(answer.(*pattern.ForemanBeat), now)
			}
		})
	}
}

func (here *node) heardBeat(word *pattern.ForemanBeat, told watch.Moment) {
	now, address := here.fleet.Now, word.From.Address
	here.hear([]pattern.Entry{word.From})
	read := here.read(bellows.Key(word.From))
	read.told = told
	here.roster.Vouched(word.Beaten, now)
	here.view.Vouched(word.Met, now)
	if since, ask := behind(&read.workers, word.Workers, here.roster.Digest(here.own.Life)); ask {
		here.pullWorkers(address, since)
	}
	if since, ask := behind(&read.processes, word.Processes, here.view.Digest()); ask {
		here.call(address, &pattern.DirectoryPull{Since: since}, almanac.CallTime, func(answer tongs.Writable, failed bool) {
			if !failed {
				back := answer.(*pattern.Shuffle)
				here.hear(back.Entries)
				read.processes = back.Table
			}
		})
	}
}

// drive makes the calls of a job, and ticks it while it lasts.
func (here *node) drive(word *pattern.Relay, job *manifold.Job, sends []manifold.Send, begun watch.Moment) {
	for _, send := range sends {
		here.carry(word, job, send, begun)
	}
	here.fleet.After(almanac.RelayPatience/4, func() {
		if !job.Done() && !here.down && here.fleet.Now.Since(begun) < almanac.BulkCallTime {
			here.drive(word, job, job.Tick(here.fleet.Now), begun)
		}
	})
}

func (here *node) carry(word *pattern.Relay, job *manifold.Job, send manifold.Send, begun watch.Moment) {
	var message tongs.Writable
	switch {
	case send.Step == manifold.StepRelay:
		part := *word
		part.Expect = send.Expect
		message = &part
	case send.Step == manifold.StepWait:
		message = &pattern.RelayWait{From: word.From, Number: word.Number}
	case word.Generation > 0:
		message = &pattern.ConfigPush{Generation: word.Generation, Body: word.Body, Pass: send.Pass}
	default:
		message = &pattern.RosterPush{Workers: word.Workers}
	}
	here.call(send.Address, message, almanac.CallTime, func(answer tongs.Writable, failed bool) {
		var next []manifold.Send
		done, waited := answer.(*pattern.RelayDone)
		switch {
		case failed || (waited && !done.Known):
			next = job.Failed(send, here.fleet.Now)
		case waited:
			next = job.Took(send, done.Missing, here.fleet.Now)
		default:
			next = job.Took(send, nil, here.fleet.Now)
		}
		for _, one := range next {
			here.carry(word, job, one, begun)
		}
	})
}

// spread tells the fleet; acknowledged runs once all in touch took it, or at the bound.
func (here *node) spread(word *pattern.Relay, bound watch.Span, acknowledged func()) {
	here.fleet.number++
	word.From, word.Number = bellows.Key(here.own), here.fleet.number
	begun := here.fleet.Now
	job, sends := manifold.Fleet(here.own, here.view.All("", begun), fan(word), begun)
	here.drive(word, job, sends, begun)
	var look func()
	look = func() {
		if job.Done() || here.fleet.Now.Since(begun) >= bound {
			acknowledged()
			return
		}
		here.fleet.After(1_000_000, look)
	}
	look()
}
