package loadgossip

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Where views are partial, rings made from them leave some process without anybody
// that notifies it. Such a one asks those whom it notifies to notify it too.

// replyPeers is who notifies this process, and whom it notifies because they asked.
type replyPeers struct {
	startedAt  clock.Instant
	senders    map[string]clock.Instant
	requesters map[string]replyPeer
}

type replyPeer struct {
	address string
	at      clock.Instant
}

// observe notes a packet.
func (t *replyPeers) observe(packet *messages.Gossip, now clock.Instant) {
	if t.senders == nil {
		t.senders, t.requesters = map[string]clock.Instant{}, map[string]replyPeer{}
	}
	t.senders[packet.From] = now
	for from, at := range t.senders {
		if now.Sub(at) >= constants.LonelyAfter {
			delete(t.senders, from)
		}
	}
	for from, entry := range t.requesters {
		if now.Sub(entry.at) >= constants.TieTime {
			delete(t.requesters, from)
		}
	}
	if _, known := t.requesters[packet.From]; packet.ReplyTo != "" && (known || len(t.requesters) < constants.TieLimit) {
		t.requesters[packet.From] = replyPeer{packet.ReplyTo, now}
	}
}

// hasFewSenders tells whether too few notify this process.
func (t *replyPeers) hasFewSenders(now clock.Instant) bool {
	if t.startedAt == 0 {
		t.startedAt = now
	}
	if now.Sub(t.startedAt) < constants.LonelyAfter {
		// They have had no time to send anything.
		return false
	}
	count := 0
	for _, at := range t.senders {
		if now.Sub(at) < constants.LonelyAfter {
			count++
		}
	}
	return count < constants.GossipFanout-1
}

// unlisted gives those who asked, beyond the ones that are notified anyway.
func (t *replyPeers) unlisted(recipients []messages.NodeInfo, now clock.Instant) []messages.NodeInfo {
	var found []messages.NodeInfo
	for _, member := range t.requesters {
		known := now.Sub(member.at) >= constants.TieTime
		for _, entry := range recipients {
			known = known || entry.Address == member.address
		}
		if !known {
			found = append(found, messages.NodeInfo{Address: member.address})
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Address < found[right].Address })
	return found
}
