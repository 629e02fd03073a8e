package membership

import (
	"hash/fnv"
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// rendezvousWeight returns the rendezvous hash of two processes. A process that retains the peers of
// lowest weight among all that it observes has a random but stable sample (a min-wise sample),
// which does not depend on how often a peer is observed.
func rendezvousWeight(own, other string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(own))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(other))
	// The last bytes written affect only the low bits of an FNV sum, so the sum is mixed once more.
	mixed := sum.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}

// Neighbours returns up to count live processes of a role that are not draining: one in another zone
// if there is one, and the rest in the owner's zone. More processes of other zones are included only
// if the owner's zone has too few. Those of the owner's zone come first, and within the owner's zone
// and the other zones those of the lowest weight.
func (v *View) Neighbours(role string, count int, now clock.Instant) []messages.NodeInfo {
	var sameZone, otherZones []messages.NodeInfo
	for _, entry := range v.Live(role, now) {
		if entry.Draining {
			continue
		}
		if entry.Zone == v.self.Zone {
			sameZone = append(sameZone, entry)
		} else {
			otherZones = append(otherZones, entry)
		}
	}
	v.sortByWeight(sameZone)
	v.sortByWeight(otherZones)
	if count < 1 {
		return nil
	}
	if len(otherZones) > 0 && len(sameZone) > 0 {
		sameZoneCount := max(min(len(sameZone), count-1), count-len(otherZones))
		sameZone = sameZone[:min(len(sameZone), sameZoneCount)]
	}
	found := append(sameZone, otherZones...)
	return found[:min(len(found), count)]
}

func (v *View) sortByWeight(entries []messages.NodeInfo) {
	own := Key(v.self)
	sort.Slice(entries, func(left, right int) bool {
		return rendezvousWeight(own, Key(entries[left])) < rendezvousWeight(own, Key(entries[right]))
	})
}

// Population returns the number of live processes of a role, including the owner: the number that a
// controller last reported, or the number in the view if there is none or the owner is a controller.
func (v *View) Population(role string, now clock.Instant) int {
	if reported := v.counts[role]; reported > 0 && v.self.Role != RoleController {
		return reported
	}
	count, reference := 0, v.reference(now)
	for _, known := range v.peers {
		if known.info.Role == role && reference.Sub(known.lastContact) < constants.SuspectAfter {
			count++
		}
	}
	if v.self.Role == role {
		count++
	}
	return count
}
