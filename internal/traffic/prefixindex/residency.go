// Package prefixindex is the residency-weighted prefix index that decides where a
// request is placed: a tree of prompt parts, an estimate of what workers still
// hold, and one score. A step function without I/O.
package prefixindex

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Leaf is what is known of one prefix.
type Leaf struct {
	key    []byte
	tokens int
	// shared: more than one request had this prefix, or it is no request's complete prompt.
	shared bool
	used   clock.Instant
	own    map[string]ownEvidence
	peers  map[string]peerEvidence
}

// ownEvidence says that this node placed this prefix at a worker.
type ownEvidence struct {
	at          clock.Instant
	turnoverAt  int64
	confidence  float64
	incarnation int
	// advertised is the chance last sent to neighbours, and when.
	advertised   float64
	advertisedAt clock.Instant
}

// peerEvidence is a peer's report: reportedAt is when it was made, evidenceAt when its evidence was met.
type peerEvidence struct {
	chance      float64
	reportedAt  clock.Instant
	evidenceAt  clock.Instant
	incarnation int
	forwarded   bool
}

// turnover follows how many tokens have entered a worker's cache.
type turnover struct {
	own         int64
	others      float64
	incarnation int
	cache       int64
}

func (t *turnover) total() int64 { return t.own + int64(t.others) }

// retained estimates, from what has entered the cache since, the chance that a
// prefix is still there. A cache lets go of what was unused for longest; running
// requests take part of it, so the last fifth is never counted on.
func retained(entered, cache int64) float64 {
	if cache <= 0 {
		// Without an engine's figures nothing is known to be evicted.
		return 1
	}
	share := float64(entered) / float64(cache)
	const full, empty = 0.5, 0.9
	switch {
	case share <= full:
		return 1
	case share >= empty:
		return 0
	}
	return (empty - share) / (empty - full)
}

// residency is the chance that a worker still holds the leaf's prefix. The
// newest evidence wins; a peer's report that is older than three gossip periods
// counts for nothing, so a paused or cut-off peer misleads nobody.
func (i *Index) residency(leaf *Leaf, worker string, now clock.Instant) float64 {
	turn := i.turnovers[worker]
	incarnation := 0
	if turn != nil {
		incarnation = turn.incarnation
	}
	chance, at := 0.0, clock.Instant(-1)
	if own, known := leaf.own[worker]; known && own.incarnation == incarnation {
		chance, at = own.confidence, own.at
		if turn != nil {
			chance *= retained(turn.total()-own.turnoverAt, turn.cache)
		}
	}
	if peer, known := leaf.peers[worker]; known && peer.incarnation == incarnation && now.Sub(peer.reportedAt) < constants.GossipStale && peer.evidenceAt > at {
		chance = peer.chance
	}
	return chance
}

// AddTurnover notes tokens that this node put into a worker's cache.
func (i *Index) AddTurnover(worker string, tokens int64) { i.turnoverOf(worker).own += tokens }

// AddOthersTurnover adds an estimate of what all other callers have put in since.
func (i *Index) AddOthersTurnover(worker string, tokens float64) {
	i.turnoverOf(worker).others += max(tokens, 0)
}

// OthersTurnover is that estimate, in tokens since the worker was first known.
func (i *Index) OthersTurnover(worker string) float64 { return i.turnoverOf(worker).others }

// SetCache notes the size of a worker's cache, in tokens.
func (i *Index) SetCache(worker string, tokens int64) { i.turnoverOf(worker).cache = tokens }

// InvalidateCache forgets all that was known of a worker's cache: it was started anew,
// reloaded, or drained and came back.
func (i *Index) InvalidateCache(worker string) { i.turnoverOf(worker).incarnation++ }

// Forget forgets a worker that has departed.
func (i *Index) Forget(worker string) {
	delete(i.turnovers, worker)
	i.tree.Each(func(leaf *Leaf) {
		delete(leaf.own, worker)
		delete(leaf.peers, worker)
	})
}

func (i *Index) turnoverOf(worker string) *turnover {
	turn := i.turnovers[worker]
	if turn == nil {
		turn = &turnover{}
		i.turnovers[worker] = turn
	}
	return turn
}
