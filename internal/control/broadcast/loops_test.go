package broadcast_test

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// hear takes entries, and pulls a configuration that somebody was seen to have.
func (n *node) hear(entries []messages.Entry) {
	n.view.Heard(entries, n.fleet.Now)
	n.sawEntries(entries)
}

func (n *node) sawEntries(entries []messages.Entry) {
	var newest messages.Entry
	for _, entry := range entries {
		if entry.Generation > newest.Generation {
			newest = entry
		}
	}
	n.pull(newest.Generation, newest.Address)
}

// pull asks one process, then the controllers, until this one follows a generation.
func (n *node) pull(generation int64, first string) {
	if generation <= n.config || n.pulling {
		return
	}
	n.pulling = true
	var addresses []string
	if first != "" {
		addresses = []string{first}
	}
	for _, entry := range n.view.Controllers(n.fleet.Now) {
		addresses = append(addresses, entry.Address)
	}
	n.pullNext(generation, addresses)
}

func (n *node) pullNext(generation int64, addresses []string) {
	if len(addresses) == 0 || n.config >= generation {
		n.pulling = false
		return
	}
	n.call(addresses[0], &messages.ConfigPull{Known: n.config}, constants.CallTime, func(answer transport.Writable, failed bool) {
		if failed {
			n.view.Failed(addresses[0], n.fleet.Now)
		} else {
			n.take(answer.(*messages.ConfigPush).Generation)
		}
		n.pullNext(generation, addresses[1:])
	})
}

// period is the periodic report: a controller's with controllers, anybody else's with a controller.
func (n *node) period() {
	if n.own.Role == membership.RoleController {
		n.fleet.After(constants.RosterPeriod, n.period)
		if !n.down {
			n.beatOthers()
		}
		return
	}
	n.fleet.After(constants.ShufflePeriod, n.period)
	if !n.down {
		n.report(n.view.Controllers(n.fleet.Now), 3, false)
	}
}

func (n *node) report(controllers []messages.Entry, tries int, brief bool) {
	if len(controllers) == 0 || tries == 0 {
		if partner := n.view.Partner(n.fleet.Now); partner != "" && !brief {
			n.control.first = ""
			n.call(partner, &messages.Shuffle{Entries: n.view.Offer(n.fleet.Now)}, constants.CallTime, func(answer transport.Writable, failed bool) {
				if !failed {
					n.hear(answer.(*messages.Shuffle).Entries)
				}
			})
		}
		return
	}
	question, address := n.view.Question(), controllers[0].Address
	if brief {
		question = n.view.BriefQuestion()
	}
	n.call(address, question, constants.ReportTime, func(answer transport.Writable, failed bool) {
		if failed {
			n.view.Failed(address, n.fleet.Now)
			n.report(controllers[1:], tries-1, brief)
			return
		}
		back := answer.(*messages.Shuffle)
		if back.Detached {
			n.view.Failed(address, n.fleet.Now)
			n.report(controllers[1:], tries, brief)
			return
		}
		if !brief {
			n.control.first = address
		}
		n.view.Answered(question, back, n.fleet.Now)
		n.sawEntries(back.Entries)
		read := n.read(address)
		if since, ask := behind(&read.workerList, back.Workers, n.registry.Digest(n.own.Life)); ask {
			n.pullWorkers(address, since)
		}
		if back.Judging {
			n.registry.Judged(back.Overdue, n.fleet.Now)
		}
	})
}

func (n *node) read(key string) *reads {
	if n.reads[key] == nil {
		n.reads[key] = &reads{}
	}
	return n.reads[key]
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

func (n *node) pullWorkers(address string, since uint64) {
	n.call(address, &messages.RosterPull{Since: since}, constants.CallTime, func(answer transport.Writable, failed bool) {
		if !failed {
			back := answer.(*messages.RosterPush)
			n.merge(back.Workers)
			n.read(address).workerList = back.Table
		}
	})
}

func (n *node) beatFor(key string) *messages.ControllerBeat {
	since := n.read(key).told
	beat := &messages.ControllerBeat{From: n.view.Own(), Workers: n.registry.Digest(n.own.Life), Processes: n.view.Digest(),
		Beaten: n.registry.BeatenSince(since), Follow: n.view.Own().Generation}
	beat.Met, beat.Behind = n.view.MetSince(since)
	return beat
}

func (n *node) beatOthers() {
	now := n.fleet.Now
	for _, entry := range n.view.All(membership.RoleController, now) {
		key := membership.Key(entry)
		if key < membership.Key(n.own) && entry.AgeMs < 2*constants.RosterPeriod.Milliseconds() {
			continue
		}
		n.call(entry.Address, n.beatFor(key), constants.CallTime, func(answer transport.Writable, failed bool) {
			if !failed {
				n.heardBeat(answer.(*messages.ControllerBeat), now)
			}
		})
	}
}

func (n *node) heardBeat(beat *messages.ControllerBeat, told clock.Moment) {
	now, address := n.fleet.Now, beat.From.Address
	n.hear([]messages.Entry{beat.From})
	read := n.read(membership.Key(beat.From))
	read.told = told
	n.registry.Vouched(beat.Beaten, now)
	n.view.Vouched(beat, now)
	if since, ask := behind(&read.workerList, beat.Workers, n.registry.Digest(n.own.Life)); ask {
		n.pullWorkers(address, since)
	}
	if since, ask := behind(&read.processes, beat.Processes, n.view.Digest()); ask {
		n.call(address, &messages.DirectoryPull{Since: since}, constants.CallTime, func(answer transport.Writable, failed bool) {
			if !failed {
				back := answer.(*messages.Shuffle)
				n.hear(back.Entries)
				read.processes = back.Table
			}
		})
	}
}
