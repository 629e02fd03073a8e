package prefixindex

import (
	"bytes"
	"math"
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// advertisedChange is the least change in what neighbours believe that is worth sending (ours).
const advertisedChange = 0.05

// ageRounding is by how much the same evidence may seem older on another way: each
// hop rounds ages up.
const ageRounding = 8 * messages.AgeUnitMs * 1_000_000

// advertisement is a residency that may be sent, with what it would change.
type advertisement struct {
	leaf       *Leaf
	worker     string
	chance     float64
	change     float64
	reportedAt clock.Instant
	evidenceAt clock.Instant
	own        bool
}

// Advertisements gives what changed most since it was last sent, of the long shared
// prefixes: our own evidence first by how far it is from what neighbours still
// believe of it, then what was received and not yet forwarded, each once and with its age.
func (i *Index) Advertisements(now clock.Instant, limit, least int) []messages.Residency {
	var entries []advertisement
	i.tree.Each(func(leaf *Leaf) {
		if !leaf.shared || leaf.tokens < least || now.Sub(leaf.used) >= 30*constants.GossipPeriod {
			return
		}
		for worker, entry := range leaf.own {
			turn := i.turnoverOf(worker)
			if entry.incarnation != turn.incarnation {
				continue
			}
			chance := entry.confidence * retained(turn.total()-entry.turnoverAt, turn.cache)
			// Whoever received it forgets it at the age limit.
			assumed := entry.advertised * max(0, 1-float64(now.Sub(entry.advertisedAt))/float64(constants.GossipStale))
			if change := math.Abs(chance - assumed); change >= advertisedChange {
				entries = append(entries, advertisement{leaf, worker, chance, change, now, entry.at, true})
			}
		}
		for worker, entry := range leaf.peers {
			age := now.Sub(entry.reportedAt)
			if entry.forwarded || entry.incarnation != i.turnoverOf(worker).incarnation || age >= constants.GossipStale {
				continue
			}
			if own, known := leaf.own[worker]; known && own.at >= entry.evidenceAt {
				continue
			}
			entries = append(entries, advertisement{leaf, worker, entry.chance, entry.chance * (1 - float64(age)/float64(constants.GossipStale)), entry.reportedAt, entry.evidenceAt, false})
		}
	})
	sort.Slice(entries, func(left, right int) bool { return entries[left].before(&entries[right]) })
	var advertised []messages.Residency
	for _, entry := range entries[:min(limit, len(entries))] {
		if entry.own {
			evidence := entry.leaf.own[entry.worker]
			evidence.advertised, evidence.advertisedAt = entry.chance, now
			entry.leaf.own[entry.worker] = evidence
		} else {
			evidence := entry.leaf.peers[entry.worker]
			evidence.forwarded = true
			entry.leaf.peers[entry.worker] = evidence
		}
		advertised = append(advertised, messages.Residency{Path: entry.leaf.key, Tokens: entry.leaf.tokens, Worker: entry.worker,
			Probability: float32(entry.chance), AgeMs: now.Sub(entry.evidenceAt).Milliseconds(), SampleAgeMs: now.Sub(entry.reportedAt).Milliseconds()})
	}
	return advertised
}

// before orders advertisements; ties are broken by name, so that no order depends on chance.
func (w *advertisement) before(other *advertisement) bool {
	switch {
	case w.change != other.change:
		return w.change > other.change
	case w.evidenceAt != other.evidenceAt:
		return w.evidenceAt > other.evidenceAt
	case w.worker != other.worker:
		return w.worker < other.worker
	}
	return bytes.Compare(w.leaf.key, other.leaf.key) < 0
}

// MergeAdvertisements takes a peer's advertisements. The age limit is that of the sample, whichever way it came.
func (i *Index) MergeAdvertisements(advertised []messages.Residency, now clock.Instant) {
	for _, peer := range advertised {
		reportedAt := now - clock.Instant(peer.SampleAgeMs)*1_000_000
		if len(peer.Path) == 0 || len(peer.Path)%8 != 0 || now.Sub(reportedAt) >= constants.GossipStale {
			continue
		}
		lastEvidence := now - clock.Instant(peer.AgeMs)*1_000_000
		leaf := i.tree.Leaf(peer.Path)
		leaf.tokens = max(leaf.tokens, peer.Tokens)
		leaf.used = max(leaf.used, lastEvidence)
		leaf.shared = true
		existing, known := leaf.peers[peer.Worker]
		if known && (existing.evidenceAt > lastEvidence.Add(ageRounding) || (existing.evidenceAt >= lastEvidence && existing.reportedAt >= reportedAt)) {
			continue
		}
		if leaf.peers == nil {
			leaf.peers = map[string]peerEvidence{}
		}
		leaf.peers[peer.Worker] = peerEvidence{chance: float64(peer.Probability), reportedAt: reportedAt, evidenceAt: lastEvidence, incarnation: i.turnoverOf(peer.Worker).incarnation}
	}
	if i.tree.Size() > constants.IndexNodes {
		i.shrink()
	}
}
