package membership

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// ageStep is the unit of the ages in an exchange, in ns.
const ageStep = 10_000_000

// Question is what the owner says in its periodic exchange with a controller: itself, and
// whose ages it wants.
func (v *View) Question() *messages.Shuffle {
	question := &messages.Shuffle{Entries: []messages.Entry{v.own}}
	for _, key := range v.keys() {
		question.Known = append(question.Known, v.entries[key].mark)
	}
	return question
}

// BriefQuestion is the owner's short report to a second controller: a sign of life, and
// a question for what is new.
func (v *View) BriefQuestion() *messages.Shuffle {
	return &messages.Shuffle{Entries: []messages.Entry{v.own}, Brief: true}
}

// Answer is a controller's: itself, the ages asked for, whom the asker should know and
// does not, and how many there are of each role.
func (v *View) Answer(question *messages.Shuffle, now clock.Moment) *messages.Shuffle {
	answer := &messages.Shuffle{Entries: []messages.Entry{v.own}}
	if question.Brief {
		return answer
	}
	has := map[uint32]bool{}
	for _, mark := range question.Known {
		has[mark] = true
		answer.Ages = append(answer.Ages, v.age(mark, now))
	}
	if len(question.Entries) == 0 {
		return answer
	}
	one := v.draw(question.Entries[0], now)
	answer.Counts = one.counts
	for _, key := range one.keys {
		known := v.entries[key]
		if known != nil && !has[known.mark] && len(answer.Entries) <= constants.ShuffleSize && now.Since(known.heard) < constants.SilentAfter {
			answer.Entries = append(answer.Entries, v.aged(known, now))
		}
	}
	return answer
}

// draw is whom a process should know, and how many there are.
type draw struct {
	clockValue uint64
	at         clock.Moment
	keys       []string
	counts     []messages.Headcount
}

// draw gives whom an asker should know. Reckoning that goes over the whole directory,
// so it is done anew only after a change or a while.
func (v *View) draw(asker messages.Entry, now clock.Moment) draw {
	if one, done := v.drawn[Key(asker)]; done && one.clockValue == v.clockValue && now.Since(one.at) < constants.DrawAfter {
		return one
	}
	one := draw{clockValue: v.clockValue, at: now}
	for _, role := range []string{RoleController, RoleStore, RoleGateway} {
		one.counts = append(one.counts, messages.Headcount{Role: role, Count: v.Population(role, now)})
		var others []messages.Entry
		for _, entry := range v.Live(role, now) {
			if Key(entry) != Key(asker) && (!entry.Leaving || role == RoleController) {
				others = append(others, entry)
			}
		}
		if !whole(asker.Role, role) {
			others = pick(asker, others, Bound(v.Population(role, now)))
		}
		for _, entry := range others {
			one.keys = append(one.keys, Key(entry))
		}
	}
	v.drawn[Key(asker)] = one
	return one
}

// age gives what is told of a process: one that is as fresh as reports come is told as
// just heard, so that only silence shows.
func (v *View) age(mark uint32, now clock.Moment) uint16 {
	key, found := v.marks[mark]
	if !found {
		if mark == MarkOf(v.own) {
			return 0
		}
		return messages.AgeUnknown
	}
	age := now.Since(v.entries[key].heard)
	if age < constants.FreshReport {
		return 0
	}
	return uint16(min(int64(age)/ageStep, messages.AgeUnknown))
}

// Answered takes a controller's answer to a question.
func (v *View) Answered(question, answer *messages.Shuffle, now clock.Moment) {
	for place, mark := range question.Known {
		if place >= len(answer.Ages) || answer.Ages[place] == messages.AgeUnknown {
			continue
		}
		if known := v.entries[v.marks[mark]]; known != nil {
			known.heard = max(known.heard, now-clock.Moment(answer.Ages[place])*ageStep)
		}
	}
	for _, one := range answer.Counts {
		v.counts[one.Role] = one.Count
	}
	v.Heard(answer.Entries, now)
}

// Controllers gives the controllers in the order in which the owner reports to them: those of
// its zone first, those that have just failed or are silent last.
func (v *View) Controllers(now clock.Moment) []messages.Entry {
	entries := v.All(RoleController, now)
	own := Key(v.own)
	rank := func(entry messages.Entry) int {
		switch {
		case !v.usable(entry, now):
			return 2
		case entry.Zone != v.own.Zone:
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

// usable tells whether a controller is worth asking: it was heard lately and did not
// just fail to answer, or answer that it is detached.
func (v *View) usable(entry messages.Entry, now clock.Moment) bool {
	failed, shunned := v.shunned[entry.Address]
	if shunned && now.Since(failed) < constants.SilentAfter {
		return false
	}
	return !entry.Leaving && entry.AgeMs < constants.SilentAfter.Milliseconds()
}

// SecondControllers gives the controllers other than the first in the order in which a
// short report tries them: the usable ones of other zones in random order, then the
// usable ones of the owner's zone, then the rest.
func (v *View) SecondControllers(first string, now clock.Moment) []messages.Entry {
	var ranked [3][]messages.Entry
	for _, entry := range v.All(RoleController, now) {
		switch {
		case entry.Address == first:
		case !v.usable(entry, now):
			ranked[2] = append(ranked[2], entry)
		case entry.Zone != v.own.Zone:
			ranked[0] = append(ranked[0], entry)
		default:
			ranked[1] = append(ranked[1], entry)
		}
	}
	var entries []messages.Entry
	for _, group := range ranked {
		v.random.Shuffle(len(group), func(left, right int) { group[left], group[right] = group[right], group[left] })
		entries = append(entries, group...)
	}
	return entries
}
