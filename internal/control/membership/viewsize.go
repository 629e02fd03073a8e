package membership

import (
	"math/bits"
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// ViewSize is how many processes of one role a bounded view holds in a fleet that has so
// many: twice the logarithm and a constant, with which a random graph holds together.
func ViewSize(population int) int {
	return constants.ViewBase + 2*bits.Len(uint(max(population, 1)-1))
}

// isCompleteFor tells whether a process keeps all of a role: controllers keep everybody, everybody
// keeps the controllers, and stores keep stores, since the leadership moves between them.
func isCompleteFor(owner, role string) bool {
	return owner == RoleController || role == RoleController || (owner == RoleStore && role == RoleStore)
}

// selectPeers draws the part of a role's processes that an owner keeps: those of the least weight, two in
// each other zone at least, and those of its own zone before the rest. Whoever draws
// from the same list draws the same.
func selectPeers(owner messages.NodeInfo, entries []messages.NodeInfo, limit int) []messages.NodeInfo {
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
	for i, entry := range entries {
		order[i] = weighed{rendezvousWeight(own, Key(entry)), i}
	}
	sort.Slice(order, func(left, right int) bool { return order[left].weight < order[right].weight })
	otherZoneCounts := map[string]int{}
	rank := func(entry *messages.NodeInfo) int {
		if entry.Zone == owner.Zone {
			return 1
		}
		otherZoneCounts[entry.Zone]++
		if otherZoneCounts[entry.Zone] <= constants.FarLinks {
			return 0
		}
		return 2
	}
	var ranked [3][]messages.NodeInfo
	for _, w := range order {
		entry := &entries[w.place]
		i := rank(entry)
		ranked[i] = append(ranked[i], *entry)
	}
	all := append(append(ranked[0], ranked[1]...), ranked[2]...)
	return all[:limit]
}

// trim forgets who was silent for long, and keeps the view within its bound: the
// silent go first, then those that selectPeers would not draw.
func (v *View) trim(now clock.Instant) {
	reference := v.reference(now)
	if now.Sub(v.trimmedAt) >= constants.ShufflePeriod {
		v.trimmedAt = now
		for key, known := range v.peers {
			if reference.Sub(known.lastContact) > constants.ForgetAfter {
				v.drop(key)
			}
		}
	}
	for _, role := range []string{RoleGateway, RoleStore} {
		if isCompleteFor(v.self.Role, role) {
			continue
		}
		limit := ViewSize(v.Population(role, now))
		var live, silent []messages.NodeInfo
		for _, key := range v.keys() {
			known := v.peers[key]
			switch {
			case known.info.Role != role:
			case known.info.Draining || reference.Sub(known.lastContact) >= constants.SuspectAfter:
				silent = append(silent, known.info)
			default:
				live = append(live, known.info)
			}
		}
		if len(live)+len(silent) <= limit {
			continue
		}
		retained := map[string]bool{}
		chosen := selectPeers(v.self, live, limit)
		for _, entry := range append(chosen, selectPeers(v.self, silent, limit-len(chosen))...) {
			retained[Key(entry)] = true
		}
		for _, entry := range append(live, silent...) {
			if !retained[Key(entry)] {
				v.drop(Key(entry))
			}
		}
	}
}
