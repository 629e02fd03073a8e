package loadgossip

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Each process builds the rings from a partial view, so some processes may have no or too few peers
// that notify them. Such a process requests in its packets that the receivers notify it as well.

// replyPeers records the peers that notify this process (senders, with the time of the last packet),
// and the peers that this process notifies because they requested it (requesters). startedAt is the
// time of the first call of hasFewSenders.
type replyPeers struct {
	startedAt  clock.Instant
	senders    map[string]clock.Instant
	requesters map[string]replyPeer
}

type replyPeer struct {
	address string
	at      clock.Instant
}

// observe records a received packet, and discards expired senders and requesters.
func (r *replyPeers) observe(packet *messages.Gossip, now clock.Instant) {
	if r.senders == nil {
		r.senders, r.requesters = map[string]clock.Instant{}, map[string]replyPeer{}
	}
	r.senders[packet.From] = now
	for from, at := range r.senders {
		if now.Sub(at) >= constants.GossipSenderTimeout {
			delete(r.senders, from)
		}
	}
	for from, requester := range r.requesters {
		if now.Sub(requester.at) >= constants.ReplyPeerDuration {
			delete(r.requesters, from)
		}
	}
	if _, known := r.requesters[packet.From]; packet.ReplyTo != "" && (known || len(r.requesters) < constants.ReplyPeersMax) {
		r.requesters[packet.From] = replyPeer{packet.ReplyTo, now}
	}
}

// hasFewSenders reports whether fewer than constants.GossipFanout-1 peers notify this process.
func (r *replyPeers) hasFewSenders(now clock.Instant) bool {
	if r.startedAt == 0 {
		r.startedAt = now
	}
	if now.Sub(r.startedAt) < constants.GossipSenderTimeout {
		// The peers have not yet had time to send a packet.
		return false
	}
	count := 0
	for _, at := range r.senders {
		if now.Sub(at) < constants.GossipSenderTimeout {
			count++
		}
	}
	return count < constants.GossipFanout-1
}

// missingFrom returns the peers that requested to be notified and are not among the recipients.
func (r *replyPeers) missingFrom(recipients []messages.NodeInfo, now clock.Instant) []messages.NodeInfo {
	var missing []messages.NodeInfo
	for _, requester := range r.requesters {
		skip := now.Sub(requester.at) >= constants.ReplyPeerDuration
		for _, recipient := range recipients {
			skip = skip || recipient.Address == requester.address
		}
		if !skip {
			missing = append(missing, messages.NodeInfo{Address: requester.address})
		}
	}
	sort.Slice(missing, func(left, right int) bool { return missing[left].Address < missing[right].Address })
	return missing
}
