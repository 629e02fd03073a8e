package loadgossip

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Where views are partial, rings drawn from them leave some process without anybody
// that tells it. Such a one asks those whom it tells to tell it too.

// ties is who tells this process, and whom it tells because they asked.
type ties struct {
	begun clock.Moment
	told  map[string]clock.Moment
	asked map[string]tie
}

type tie struct {
	address string
	at      clock.Moment
}

// heard notes a packet.
func (ties *ties) heard(packet *messages.Gossip, now clock.Moment) {
	if ties.told == nil {
		ties.told, ties.asked = map[string]clock.Moment{}, map[string]tie{}
	}
	ties.told[packet.From] = now
	for from, at := range ties.told {
		if now.Since(at) >= constants.LonelyAfter {
			delete(ties.told, from)
		}
	}
	for from, one := range ties.asked {
		if now.Since(one.at) >= constants.TieTime {
			delete(ties.asked, from)
		}
	}
	if _, known := ties.asked[packet.From]; packet.Want != "" && (known || len(ties.asked) < constants.TieLimit) {
		ties.asked[packet.From] = tie{packet.Want, now}
	}
}

// lonely tells whether too few tell this process.
func (ties *ties) lonely(now clock.Moment) bool {
	if ties.begun == 0 {
		ties.begun = now
	}
	if now.Since(ties.begun) < constants.LonelyAfter {
		// They have had no time to speak.
		return false
	}
	count := 0
	for _, at := range ties.told {
		if now.Since(at) < constants.LonelyAfter {
			count++
		}
	}
	return count < constants.GossipFanout-1
}

// adopted gives those who asked, beyond the ones that are told anyway.
func (ties *ties) adopted(told []messages.Entry, now clock.Moment) []messages.Entry {
	var found []messages.Entry
	for _, one := range ties.asked {
		known := now.Since(one.at) >= constants.TieTime
		for _, entry := range told {
			known = known || entry.Address == one.address
		}
		if !known {
			found = append(found, messages.Entry{Address: one.address})
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Address < found[right].Address })
	return found
}
