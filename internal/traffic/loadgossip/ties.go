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
	begun clock.Instant
	told  map[string]clock.Instant
	asked map[string]tie
}

type tie struct {
	address string
	at      clock.Instant
}

// heard notes a packet.
func (t *ties) heard(packet *messages.Gossip, now clock.Instant) {
	if t.told == nil {
		t.told, t.asked = map[string]clock.Instant{}, map[string]tie{}
	}
	t.told[packet.From] = now
	for from, at := range t.told {
		if now.Sub(at) >= constants.LonelyAfter {
			delete(t.told, from)
		}
	}
	for from, one := range t.asked {
		if now.Sub(one.at) >= constants.TieTime {
			delete(t.asked, from)
		}
	}
	if _, known := t.asked[packet.From]; packet.ReplyTo != "" && (known || len(t.asked) < constants.TieLimit) {
		t.asked[packet.From] = tie{packet.ReplyTo, now}
	}
}

// lonely tells whether too few tell this process.
func (t *ties) lonely(now clock.Instant) bool {
	if t.begun == 0 {
		t.begun = now
	}
	if now.Sub(t.begun) < constants.LonelyAfter {
		// They have had no time to speak.
		return false
	}
	count := 0
	for _, at := range t.told {
		if now.Sub(at) < constants.LonelyAfter {
			count++
		}
	}
	return count < constants.GossipFanout-1
}

// adopted gives those who asked, beyond the ones that are told anyway.
func (t *ties) adopted(told []messages.NodeInfo, now clock.Instant) []messages.NodeInfo {
	var found []messages.NodeInfo
	for _, one := range t.asked {
		known := now.Sub(one.at) >= constants.TieTime
		for _, entry := range told {
			known = known || entry.Address == one.address
		}
		if !known {
			found = append(found, messages.NodeInfo{Address: one.address})
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Address < found[right].Address })
	return found
}
