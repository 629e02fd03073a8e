package bellows

import (
	"math/bits"
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Bound is how many processes of one role a bounded view holds in a fleet that has so
// many: twice the logarithm and a constant, with which a random graph holds together.
func Bound(population int) int {
	return almanac.ViewBase + 2*bits.Len(uint(max(population, 1)-1))
}

// whole tells whether a process keeps all of a role: foremen keep everybody, everybody
// keeps the foremen, and lockers keep lockers, since duties move between them.
func whole(owner, role string) bool {
	return owner == RoleForeman || role == RoleForeman || (owner == RoleLocker && role == RoleLocker)
}

// pick draws the part of a role's processes that an owner keeps: the lightest, two in
// each other hall at least, and those of its own hall before the rest. Whoever draws
// from the same list draws the same.
func pick(owner pattern.Entry, entries []pattern.Entry, limit int) []pattern.Entry {
	if len(entries) <= limit {
		return entries
	}
	// Weighed once each, and sorted by place: entries are long, and their keys are made
	// anew each time.
	type weighed struct {
		weight uint64
		place  int
	}
	own, order := Key(owner), make([]weighed, len(entries))
	for place, entry := range entries {
		order[place] = weighed{weigh(own, Key(entry)), place}
	}
	sort.Slice(order, func(left, right int) bool { return order[left].weight < order[right].weight })
	far := map[string]int{}
	rank := func(entry *pattern.Entry) int {
		if entry.Hall == owner.Hall {
			return 1
		}
		far[entry.Hall]++
		if far[entry.Hall] <= almanac.FarLinks {
			return 0
		}
		return 2
	}
	var ranked [3][]pattern.Entry
	for _, one := range order {
		entry := &entries[one.place]
		place := rank(entry)
		ranked[place] = append(ranked[place], *entry)
	}
	all := append(append(ranked[0], ranked[1]...), ranked[2]...)
	return all[:limit]
}

// trim forgets who was silent for long, and keeps the view within its bound: the
// silent go first, then those that pick would not draw.
func (view *View) trim(now watch.Moment) {
	reference := view.reference(now)
	if now.Since(view.trimmed) >= almanac.ShufflePeriod {
		view.trimmed = now
		for key, known := range view.entries {
			if reference.Since(known.heard) > almanac.ForgetAfter {
				view.drop(key)
			}
		}
	}
	for _, role := range []string{RoleForge, RoleLocker} {
		if whole(view.own.Role, role) {
			continue
		}
		limit := Bound(view.Population(role, now))
		var live, silent []pattern.Entry
		for _, key := range view.keys() {
			known := view.entries[key]
			switch {
			case known.entry.Role != role:
			case known.entry.Leaving || reference.Since(known.heard) >= almanac.SilentAfter:
				silent = append(silent, known.entry)
			default:
				live = append(live, known.entry)
			}
		}
		if len(live)+len(silent) <= limit {
			continue
		}
		kept := map[string]bool{}
		chosen := pick(view.own, live, limit)
		for _, entry := range append(chosen, pick(view.own, silent, limit-len(chosen))...) {
			kept[Key(entry)] = true
		}
		for _, entry := range append(live, silent...) {
			if !kept[Key(entry)] {
				view.drop(Key(entry))
			}
		}
	}
}
