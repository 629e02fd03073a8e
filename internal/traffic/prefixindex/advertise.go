package prefixindex

import (
	"bytes"
	"math"
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// advertisedChange is the smallest change, against the probability that neighbours currently
// assume, that is sent.
const advertisedChange = 0.05

// ageRounding is the tolerance in ns for comparing the times of evidence: the same evidence may
// appear older when it is received over another path, because each hop rounds ages up.
const ageRounding = 8 * messages.AgeUnitMs * 1_000_000

// advertisement is a residency that may be sent. change is the difference between its
// probability and the one that neighbours currently assume.
type advertisement struct {
	leaf        *Leaf
	worker      string
	probability float64
	change      float64
	reportedAt  clock.Instant
	evidenceAt  clock.Instant
	own         bool
}

// Advertisements returns the residencies to send, at most limit of them, for shared prefixes of
// at least minTokens tokens that were used in the last 30 gossip periods. Those that changed most
// since they were last sent are returned first. For own evidence, the change is the difference from
// the probability that neighbours still assume. Evidence received from peers is forwarded once, with
// its age.
func (i *Index) Advertisements(now clock.Instant, limit, minTokens int) []messages.Residency {
	var candidates []advertisement
	i.tree.Each(func(leaf *Leaf) {
		if !leaf.shared || leaf.tokens < minTokens || now.Sub(leaf.lastUsed) >= 30*constants.GossipPeriod {
			return
		}
		for worker, evidence := range leaf.own {
			cacheTurnover := i.turnoverOf(worker)
			if evidence.incarnation != cacheTurnover.incarnation {
				continue
			}
			probability := evidence.confidence * retained(cacheTurnover.total()-evidence.turnoverAt, cacheTurnover.capacity)
			// Receivers discard the last advertisement at the age limit. The assumed probability
			// falls linearly to 0 until then.
			assumed := evidence.advertised * max(0, 1-float64(now.Sub(evidence.advertisedAt))/float64(constants.GossipStale))
			if change := math.Abs(probability - assumed); change >= advertisedChange {
				candidates = append(candidates, advertisement{leaf, worker, probability, change, now, evidence.placedAt, true})
			}
		}
		for worker, report := range leaf.peers {
			age := now.Sub(report.reportedAt)
			if report.forwarded || report.incarnation != i.turnoverOf(worker).incarnation || age >= constants.GossipStale {
				continue
			}
			if own, known := leaf.own[worker]; known && own.placedAt >= report.evidenceAt {
				continue
			}
			candidates = append(candidates, advertisement{leaf, worker, report.probability, report.probability * (1 - float64(age)/float64(constants.GossipStale)), report.reportedAt, report.evidenceAt, false})
		}
	})
	sort.Slice(candidates, func(left, right int) bool { return candidates[left].before(&candidates[right]) })
	var advertised []messages.Residency
	for _, selected := range candidates[:min(limit, len(candidates))] {
		if selected.own {
			evidence := selected.leaf.own[selected.worker]
			evidence.advertised, evidence.advertisedAt = selected.probability, now
			selected.leaf.own[selected.worker] = evidence
		} else {
			evidence := selected.leaf.peers[selected.worker]
			evidence.forwarded = true
			selected.leaf.peers[selected.worker] = evidence
		}
		advertised = append(advertised, messages.Residency{Path: selected.leaf.key, Tokens: selected.leaf.tokens, Worker: selected.worker,
			Probability: float32(selected.probability), AgeMs: now.Sub(selected.evidenceAt).Milliseconds(), SampleAgeMs: now.Sub(selected.reportedAt).Milliseconds()})
	}
	return advertised
}

// before reports whether an advertisement is sent before another. Ties are broken by the worker's
// name and the key, so that the order is deterministic.
func (a *advertisement) before(other *advertisement) bool {
	switch {
	case a.change != other.change:
		return a.change > other.change
	case a.evidenceAt != other.evidenceAt:
		return a.evidenceAt > other.evidenceAt
	case a.worker != other.worker:
		return a.worker < other.worker
	}
	return bytes.Compare(a.leaf.key, other.leaf.key) < 0
}

// MergeAdvertisements merges advertisements received from a peer. The age limit applies to the
// age of the original sample, whichever path it was received over.
func (i *Index) MergeAdvertisements(advertised []messages.Residency, now clock.Instant) {
	for _, residency := range advertised {
		reportedAt := now - clock.Instant(residency.SampleAgeMs)*1_000_000
		if len(residency.Path) == 0 || len(residency.Path)%8 != 0 || now.Sub(reportedAt) >= constants.GossipStale {
			continue
		}
		lastEvidence := now - clock.Instant(residency.AgeMs)*1_000_000
		leaf := i.tree.Leaf(residency.Path)
		leaf.tokens = max(leaf.tokens, residency.Tokens)
		leaf.lastUsed = max(leaf.lastUsed, lastEvidence)
		leaf.shared = true
		existing, known := leaf.peers[residency.Worker]
		if known && (existing.evidenceAt > lastEvidence.Add(ageRounding) || (existing.evidenceAt >= lastEvidence && existing.reportedAt >= reportedAt)) {
			continue
		}
		if leaf.peers == nil {
			leaf.peers = map[string]peerEvidence{}
		}
		leaf.peers[residency.Worker] = peerEvidence{probability: float64(residency.Probability), reportedAt: reportedAt, evidenceAt: lastEvidence, incarnation: i.turnoverOf(residency.Worker).incarnation}
	}
	if i.tree.Size() > constants.IndexLeavesMax {
		i.shrink()
	}
}
