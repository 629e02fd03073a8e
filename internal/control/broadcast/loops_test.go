package broadcast_test

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// hear takes entries, and pulls a configuration that somebody was seen to have.
func (here *node) hear(entries []messages.Entry) {
	here.view.Heard(entries, here.fleet.Now)
	here.sawEntries(entries)
}

func (here *node) sawEntries(entries []messages.Entry) {
	var newest messages.Entry
	for _, entry := range entries {
		if entry.Generation > newest.Generation {
			newest = entry
		}
	}
	here.pull(newest.Generation, newest.Address)
}

// pull asks one process, then the controllers, until this one follows a generation.
func (here *node) pull(generation int64, first string) {
	if generation <= here.config || here.pulling {
		return
	}
	here.pulling = true
	var addresses []string
	if first != "" {
		addresses = []string{first}
	}
	for _, entry := range here.view.Controllers(here.fleet.Now) {
		addresses = append(addresses, entry.Address)
	}
	here.pullNext(generation, addresses)
}

func (here *node) pullNext(generation int64, addresses []string) {
	if len(addresses) == 0 || here.config >= generation {
		here.pulling = false
		return
	}
	here.call(addresses[0], &messages.ConfigPull{Known: here.config}, constants.CallTime, func(answer transport.Writable, failed bool) {
		if failed {
			here.view.Failed(addresses[0], here.fleet.Now)
		} else {
			here.take(answer.(*messages.ConfigPush).Generation)
		}
		here.pullNext(generation, addresses[1:])
	})
}

// period is the periodic report: a controller's with controllers, anybody else's with a controller.
func (here *node) period() {
	if here.own.Role == membership.RoleController {
		here.fleet.After(constants.RosterPeriod, here.period)
		if !here.down {
			here.beatOthers()
		}
		return
	}
	here.fleet.After(constants.ShufflePeriod, here.period)
	if !here.down {
		here.report(here.view.Controllers(here.fleet.Now), 3, false)
	}
}

func (here *node) report(controllers []messages.Entry, tries int, brief bool) {
	if len(controllers) == 0 || tries == 0 {
		if partner := here.view.Partner(here.fleet.Now); partner != "" && !brief {
			here.control.first = ""
			here.call(partner, &messages.Shuffle{Entries: here.view.Offer(here.fleet.Now)}, constants.CallTime, func(answer transport.Writable, failed bool) {
				if !failed {
					here.hear(answer.(*messages.Shuffle).Entries)
				}
			})
		}
		return
	}
	question, address := here.view.Question(), controllers[0].Address
	if brief {
		question = here.view.BriefQuestion()
	}
	here.call(address, question, constants.ReportTime, func(answer transport.Writable, failed bool) {
		if failed {
			here.view.Failed(address, here.fleet.Now)
			here.report(controllers[1:], tries-1, brief)
			return
		}
		back := answer.(*messages.Shuffle)
		if back.Detached {
			here.view.Failed(address, here.fleet.Now)
			here.report(controllers[1:], tries, brief)
			return
		}
		if !brief {
			here.control.first = address
		}
		here.view.Answered(question, back, here.fleet.Now)
		here.sawEntries(back.Entries)
		read := here.read(address)
		if since, ask := behind(&read.workerList, back.Workers, here.registry.Digest(here.own.Life)); ask {
			here.pullWorkers(address, since)
		}
		if back.Judging {
			here.registry.Judged(back.Overdue, here.fleet.Now)
		}
	})
}

func (here *node) read(key string) *reads {
	if here.reads[key] == nil {
		here.reads[key] = &reads{}
	}
	return here.reads[key]
}

func behind(read *messages.Digest, told, own messages.Digest) (uint64, bool) {
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
	here.call(address, &messages.RosterPull{Since: since}, constants.CallTime, func(answer transport.Writable, failed bool) {
		if !failed {
			back := answer.(*messages.RosterPush)
			here.merge(back.Workers)
			here.read(address).workerList = back.Table
		}
	})
}

func (here *node) beatFor(key string) *messages.ControllerBeat {
	since := here.read(key).told
	beat := &messages.ControllerBeat{From: here.view.Own(), Workers: here.registry.Digest(here.own.Life), Processes: here.view.Digest(),
		Beaten: here.registry.BeatenSince(since), Follow: here.view.Own().Generation}
	beat.Met, beat.Behind = here.view.MetSince(since)
	return beat
}

func (here *node) beatOthers() {
	now := here.fleet.Now
	for _, entry := range here.view.All(membership.RoleController, now) {
		key := membership.Key(entry)
		if key < membership.Key(here.own) && entry.AgeMs < 2*constants.RosterPeriod.Milliseconds() {
			continue
		}
		here.call(entry.Address, here.beatFor(key), constants.CallTime, func(answer transport.Writable, failed bool) {
			if !failed {
				here.heardBeat(answer.(*messages.ControllerBeat), now)
			}
		})
	}
}

func (here *node) heardBeat(beat *messages.ControllerBeat, told clock.Moment) {
	now, address := here.fleet.Now, beat.From.Address
	here.hear([]messages.Entry{beat.From})
	read := here.read(membership.Key(beat.From))
	read.told = told
	here.registry.Vouched(beat.Beaten, now)
	here.view.Vouched(beat, now)
	if since, ask := behind(&read.workerList, beat.Workers, here.registry.Digest(here.own.Life)); ask {
		here.pullWorkers(address, since)
	}
	if since, ask := behind(&read.processes, beat.Processes, here.view.Digest()); ask {
		here.call(address, &messages.DirectoryPull{Since: since}, constants.CallTime, func(answer transport.Writable, failed bool) {
			if !failed {
				back := answer.(*messages.Shuffle)
				here.hear(back.Entries)
				read.processes = back.Table
			}
		})
	}
}
