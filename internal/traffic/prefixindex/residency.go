// Package prefixindex implements the residency-weighted prefix index that decides where a
// request is placed: a tree of prompt parts, an estimate of which prefixes are still cached at
// which workers, and one score per worker. It does no I/O; the current time is passed in by the caller,
// who must also serialize access.
package prefixindex

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Leaf is the record of one prefix.
type Leaf struct {
	key    []byte
	tokens int
	// shared is true if more than one request had this prefix, or if it is not the complete
	// prompt of any request.
	shared   bool
	lastUsed clock.Instant
	own      map[string]ownEvidence
	peers    map[string]peerEvidence
}

// ownEvidence records that this node sent a request with this prefix to a worker. turnoverAt and
// incarnation are the worker's total turnover and cache incarnation at that time. confidence is the
// probability that the prefix was cached after the request.
type ownEvidence struct {
	placedAt    clock.Instant
	turnoverAt  int64
	confidence  float64
	incarnation int
	// advertised is the probability last sent to neighbours, and advertisedAt when it was sent.
	advertised   float64
	advertisedAt clock.Instant
}

// peerEvidence is a report by a peer: reportedAt is when the peer computed it, evidenceAt is the
// time of the placement that it is based on.
type peerEvidence struct {
	probability float64
	reportedAt  clock.Instant
	evidenceAt  clock.Instant
	incarnation int
	forwarded   bool
}

// turnover counts the tokens that have entered a worker's cache: own those of requests placed by
// this node, others the estimate for all other callers. capacity is the size of the cache in
// tokens, 0 if it is not known. incarnation is incremented when the cache has been lost.
type turnover struct {
	own         int64
	others      float64
	incarnation int
	capacity    int64
}

func (t *turnover) total() int64 { return t.own + int64(t.others) }

// retained estimates the probability that a prefix is still cached, from the tokens that have
// entered the cache since. A cache evicts the least recently used prefixes first. Running requests
// occupy part of it, so the last tenth is never counted on.
func retained(entered, capacity int64) float64 {
	if capacity <= 0 {
		// The capacity of the cache is not known, so there is no sign of eviction.
		return 1
	}
	share := float64(entered) / float64(capacity)
	const full, empty = 0.5, 0.9
	switch {
	case share <= full:
		return 1
	case share >= empty:
		return 0
	}
	return (empty - share) / (empty - full)
}

// residency returns the probability that the leaf's prefix is still cached at a worker. The
// newest evidence is used. A peer's report that is older than three gossip periods is ignored, so
// that a paused or partitioned peer causes no wrong placements.
func (i *Index) residency(leaf *Leaf, worker string, now clock.Instant) float64 {
	cacheTurnover := i.turnovers[worker]
	incarnation := 0
	if cacheTurnover != nil {
		incarnation = cacheTurnover.incarnation
	}
	probability, at := 0.0, clock.Instant(-1)
	if own, known := leaf.own[worker]; known && own.incarnation == incarnation {
		probability, at = own.confidence, own.placedAt
		if cacheTurnover != nil {
			probability *= retained(cacheTurnover.total()-own.turnoverAt, cacheTurnover.capacity)
		}
	}
	if peer, known := leaf.peers[worker]; known && peer.incarnation == incarnation && now.Sub(peer.reportedAt) < constants.GossipStale && peer.evidenceAt > at {
		probability = peer.probability
	}
	return probability
}

// AddTurnover adds tokens that entered a worker's cache through requests of this node.
func (i *Index) AddTurnover(worker string, tokens int64) { i.turnoverOf(worker).own += tokens }

// AddOthersTurnover adds an estimate of the tokens that entered a worker's cache through the
// requests of all other callers since the last call. Negative estimates are ignored.
func (i *Index) AddOthersTurnover(worker string, tokens float64) {
	i.turnoverOf(worker).others += max(tokens, 0)
}

// OthersTurnover returns the sum of those estimates, in tokens since the worker was first known.
func (i *Index) OthersTurnover(worker string) float64 { return i.turnoverOf(worker).others }

// SetCache sets the capacity of a worker's cache, in tokens.
func (i *Index) SetCache(worker string, tokens int64) { i.turnoverOf(worker).capacity = tokens }

// InvalidateCache discards all evidence about a worker's cache, because the worker was restarted
// or reloaded, or returned after a drain.
func (i *Index) InvalidateCache(worker string) { i.turnoverOf(worker).incarnation++ }

// Forget removes all records of a worker that has departed.
func (i *Index) Forget(worker string) {
	delete(i.turnovers, worker)
	i.tree.Each(func(leaf *Leaf) {
		delete(leaf.own, worker)
		delete(leaf.peers, worker)
	})
}

func (i *Index) turnoverOf(worker string) *turnover {
	cacheTurnover := i.turnovers[worker]
	if cacheTurnover == nil {
		cacheTurnover = &turnover{}
		i.turnovers[worker] = cacheTurnover
	}
	return cacheTurnover
}
