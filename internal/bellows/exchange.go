package bellows

import (
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// ageStep is the unit of the ages in an exchange, in ns.
const ageStep = 10_000_000

// Question is what the owner says in its periodic exchange with a foreman: itself, and
// whose ages it wants.
func (view *View) Question() *pattern.Shuffle {
	question := &pattern.Shuffle{Entries: []pattern.Entry{view.own}}
	for _, key := range view.keys() {
		question.Known = append(question.Known, view.entries[key].mark)
	}
	return question
}

// Answer is a foreman's: itself, the ages asked for, whom the asker should know and
// does not, and how many there are of each role.
func (view *View) Answer(question *pattern.Shuffle, now watch.Moment) *pattern.Shuffle {
	answer := &pattern.Shuffle{Entries: []pattern.Entry{view.own}}
	has := map[uint32]bool{}
	for _, mark := range question.Known {
		has[mark] = true
		answer.Ages = append(answer.Ages, view.age(mark, now))
	}
	if len(question.Entries) == 0 {
		return answer
	}
	one := view.draw(question.Entries[0], now)
	answer.Heads = one.heads
	for _, key := range one.keys {
		known := view.entries[key]
		if known != nil && !has[known.mark] && len(answer.Entries) <= almanac.ShuffleSize && now.Since(known.heard) < almanac.SilentAfter {
			answer.Entries = append(answer.Entries, view.aged(known, now))
		}
	}
	return answer
}

// draw is whom a process should know, and how many there are.
type draw struct {
	clock uint64
	at    watch.Moment
	keys  []string
	heads []pattern.Headcount
}

// draw gives whom an asker should know. Reckoning that goes over the whole directory,
// so it is done anew only after a change or a while.
func (view *View) draw(asker pattern.Entry, now watch.Moment) draw {
	if one, done := view.drawn[Key(asker)]; done && one.clock == view.clock && now.Since(one.at) < almanac.DrawAfter {
		return one
	}
	one := draw{clock: view.clock, at: now}
	for _, role := range []string{RoleForeman, RoleLocker, RoleForge} {
		one.heads = append(one.heads, pattern.Headcount{Role: role, Count: view.Population(role, now)})
		var others []pattern.Entry
		for _, entry := range view.Live(role, now) {
			if Key(entry) != Key(asker) && (!entry.Leaving || role == RoleForeman) {
				others = append(others, entry)
			}
		}
		if !whole(asker.Role, role) {
			others = pick(asker, others, Bound(view.Population(role, now)))
		}
		for _, entry := range others {
			one.keys = append(one.keys, Key(entry))
		}
	}
	view.drawn[Key(asker)] = one
	return one
}

// age gives what is told of a process: one that is as fresh as reports come is told as
// just heard, so that only silence shows.
func (view *View) age(mark uint32, now watch.Moment) uint16 {
	key, found := view.marks[mark]
	if !found {
		if mark == MarkOf(view.own) {
			return 0
		}
		return pattern.AgeUnknown
	}
	age := now.Since(view.entries[key].heard)
	if age < almanac.FreshReport {
		return 0
	}
	return uint16(min(int64(age)/ageStep, pattern.AgeUnknown))
}

// Answered takes a foreman's answer to a question.
func (view *View) Answered(question, answer *pattern.Shuffle, now watch.Moment) {
	for place, mark := range question.Known {
		if place >= len(answer.Ages) || answer.Ages[place] == pattern.AgeUnknown {
			continue
		}
		if known := view.entries[view.marks[mark]]; known != nil {
			known.heard = max(known.heard, now-watch.Moment(answer.Ages[place])*ageStep)
		}
	}
	for _, one := range answer.Heads {
		view.heads[one.Role] = one.Count
	}
	view.Heard(answer.Entries, now)
}

// Foremen gives the foremen in the order in which the owner reports to them: those of
// its hall first, those that have just failed or are silent last.
func (view *View) Foremen(now watch.Moment) []pattern.Entry {
	entries := view.All(RoleForeman, now)
	own := Key(view.own)
	rank := func(entry pattern.Entry) int {
		failed, shunned := view.shunned[entry.Address]
		switch {
		case entry.Leaving || (shunned && now.Since(failed) < almanac.SilentAfter) || entry.AgeMs >= almanac.SilentAfter.Milliseconds():
			return 2
		case entry.Hall != view.own.Hall:
			return 1
		}
		return 0
	}
	sort.SliceStable(entries, func(left, right int) bool {
		one, other := rank(entries[left]), rank(entries[right])
		return one < other || (one == other && weigh(own, Key(entries[left])) < weigh(own, Key(entries[right])))
	})
	return entries
}
