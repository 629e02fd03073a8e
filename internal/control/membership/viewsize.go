package membership

import (
	"math/bits"
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// ViewSize returns the number of processes of one role in a bounded view, given the number of such
// processes in the fleet: twice the binary logarithm plus a constant. With that many neighbours
// per process a random graph stays connected.
func ViewSize(population int) int {
	return constants.ViewBase + 2*bits.Len(uint(max(population, 1)-1))
}

// isCompleteFor reports whether the view of an owner contains every process of a role. Controllers know
// every process, every process knows all controllers, and stores know all stores, because
// leadership moves between them.
func isCompleteFor(owner, role string) bool {
	return owner == RoleController || role == RoleController || (owner == RoleStore && role == RoleStore)
}

// selectPeers returns the processes of a role that an owner retains, at most limit: first the
// constants.OtherZonePeersMin of lowest weight in each other zone, then those of the owner's zone, then the
// rest, each by weight. Every process that selects for the same owner from the same list gets the
// same result.
func selectPeers(owner messages.NodeInfo, entries []messages.NodeInfo, limit int) []messages.NodeInfo {
	if len(entries) <= limit {
		return entries
	}
	// Each weight is computed once and indexes are sorted instead of entries, because entries are
	// large and building a key allocates.
	type weighed struct {
		weight uint64
		index  int
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
		if otherZoneCounts[entry.Zone] <= constants.OtherZonePeersMin {
			return 0
		}
		return 2
	}
	var ranked [3][]messages.NodeInfo
	for _, w := range order {
		entry := &entries[w.index]
		i := rank(entry)
		ranked[i] = append(ranked[i], *entry)
	}
	all := append(append(ranked[0], ranked[1]...), ranked[2]...)
	return all[:limit]
}

// trim removes peers that have been silent for longer than constants.ForgetAfter, and reduces the view
// to its bound: silent and draining peers are removed first, then those that selectPeers does
// not select.
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
