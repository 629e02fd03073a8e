package jointer

import (
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Where views are partial, rings drawn from them leave some process without anybody
// that tells it. Such a one asks those whom it tells to tell it too.

// ties is who tells this process, and whom it tells because they asked.
type ties struct {
	begun watch.Moment
	told  map[string]watch.Moment
	asked map[string]tie
}

type tie struct {
	address string
	at      watch.Moment
}

// heard notes a packet.
func (ties *ties) heard(packet *pattern.Gossip, now watch.Moment) {
	if ties.told == nil {
		ties.told, ties.asked = map[string]watch.Moment{}, map[string]tie{}
	}
	ties.told[packet.From] = now
	for from, at := range ties.told {
		if now.Since(at) >= almanac.LonelyAfter {
			delete(ties.told, from)
		}
	}
	for from, one := range ties.asked {
		if now.Since(one.at) >= almanac.TieTime {
			delete(ties.asked, from)
		}
	}
	if _, known := ties.asked[packet.From]; packet.Want != "" && (known || len(ties.asked) < almanac.TieLimit) {
		ties.asked[packet.From] = tie{packet.Want, now}
	}
}

// lonely tells whether too few tell this process.
func (ties *ties) lonely(now watch.Moment) bool {
	if ties.begun == 0 {
		ties.begun = now
	}
	if now.Since(ties.begun) < almanac.LonelyAfter {
		// They have had no time to speak.
		return false
	}
	count := 0
	for _, at := range ties.told {
		if now.Since(at) < almanac.LonelyAfter {
			count++
		}
	}
	return count < almanac.GossipFanout-1
}

// adopted gives those who asked, beyond the ones that are told anyway.
func (ties *ties) adopted(told []pattern.Entry, now watch.Moment) []pattern.Entry {
	var found []pattern.Entry
	for _, one := range ties.asked {
		known := now.Since(one.at) >= almanac.TieTime
		for _, entry := range told {
			known = known || entry.Address == one.address
		}
		if !known {
			found = append(found, pattern.Entry{Address: one.address})
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Address < found[right].Address })
	return found
}
