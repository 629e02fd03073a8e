package maquette

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// beginBeats starts the word between foremen.
func (workers *workers) beginBeats(node *Node, own *table) {
	members := workers.fleet.members
	node.answerers[pattern.KindForemanBeat] = reads(node, CoreMembership, func(beat *pattern.ForemanBeat) tongs.Writable {
		back := workers.word(node, own, bellows.Key(beat.From))
		told := node.now()
		node.after(0, func() { node.step(CoreMembership, func() { workers.heardBeat(node, own, beat, told) }) })
		return back
	})
	node.answerers[pattern.KindDirectoryPull] = reads(node, CoreMembership, func(question *pattern.DirectoryPull) tongs.Writable {
		view := members.view(node)
		return &pattern.Shuffle{Entries: view.Since(question.Since, node.now()), Table: view.Digest()}
	})
	node.every(almanac.RosterPeriod, func() { workers.beatOthers(node, own) })
}

// word is what another foreman is told.
func (workers *workers) word(node *Node, own *table, key string) *pattern.ForemanBeat {
	since := watch.Moment(0)
	if one := own.peers[key]; one != nil {
		since = one.told
	}
	view := workers.fleet.members.view(node)
	return &pattern.ForemanBeat{From: view.Own(), Workers: own.roster.Digest(node.own.Life), Beaten: own.roster.BeatenSince(since),
		Processes: view.Digest(), Met: view.MetSince(since)}
}

func (workers *workers) beatOthers(node *Node, own *table) {
	now := node.now()
	addresses := map[string]string{}
	node.step(CoreMembership, func() {
		own.roster.Forget(now.Plus(-almanac.ForgetAfter))
		for key, one := range own.relays {
			if now.Since(one.begun) > almanac.BulkCallTime {
				delete(own.relays, key)
			}
		}
		for _, seed := range workers.fleet.seeds {
			addresses[seed] = ""
		}
		for _, entry := range workers.fleet.members.view(node).All(bellows.RoleForeman, now) {
			key := bellows.Key(entry)
			if key < bellows.Key(node.own) && entry.AgeMs < 2*almanac.RosterPeriod.Milliseconds() {
				delete(addresses, entry.Address)
				continue
			}
			addresses[entry.Address] = key
		}
		delete(addresses, node.own.Address)
	})
	for _, address := range sortedKeys(addresses) {
		var word *pattern.ForemanBeat
		node.step(CoreMembership, func() { word = workers.word(node, own, addresses[address]) })
		back := &pattern.ForemanBeat{}
		node.ask(CoreMembership, address, pattern.KindForemanBeat, word, back, almanac.CallTime, func(reached bool) {
			if reached {
				workers.heardBeat(node, own, back, now)
			}
		})
	}
}

// heardBeat takes another foreman's word, and pulls what its tables have beyond ours.
func (workers *workers) heardBeat(node *Node, own *table, beat *pattern.ForemanBeat, told watch.Moment) {
	members, now, key := workers.fleet.members, node.now(), bellows.Key(beat.From)
	members.heard(node, []pattern.Entry{beat.From})
	one := own.peers[key]
	if one == nil {
		one = &peer{}
		own.peers[key] = one
	}
	one.told = told
	own.roster.Vouched(beat.Beaten, now)
	view := members.view(node)
	view.Vouched(beat.Met, now)
	if since, ask := behind(&one.workers, beat.Workers, own.roster.Digest(node.own.Life)); ask {
		back := &pattern.RosterPush{}
		node.ask(CoreRoster, beat.From.Address, pattern.KindRosterPull, &pattern.RosterPull{Since: since}, back, almanac.CallTime, func(reached bool) {
			if reached {
				workers.merge(node, own, back.Workers)
				one.workers = back.Table
			}
		})
	}
	if since, ask := behind(&one.processes, beat.Processes, view.Digest()); ask {
		back := &pattern.Shuffle{}
		node.ask(CoreMembership, beat.From.Address, pattern.KindDirectoryPull, &pattern.DirectoryPull{Since: since}, back, almanac.CallTime, func(reached bool) {
			if reached {
				members.heard(node, back.Entries)
				one.processes = back.Table
			}
		})
	}
}
