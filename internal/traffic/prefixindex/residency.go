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
	// shared: more than one request had this prefix, or it is no request's whole.
	shared bool
	used   clock.Instant
	stays  map[string]stay
	told   map[string]told
}

// stay is our own evidence: we placed this prefix at a worker.
type stay struct {
	at     clock.Instant
	turned int64
	trust  float64
	life   int
	// spoken is the chance last told to neighbours, and when.
	spoken   float64
	spokenAt clock.Instant
}

// told is a peer's word: at is when it was said, seen when its evidence was met.
type told struct {
	chance float64
	at     clock.Instant
	seen   clock.Instant
	life   int
	passed bool
}

// turnover follows how many tokens have entered a worker's cache.
type turnover struct {
	own    int64
	others float64
	life   int
	cache  int64
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
// newest evidence wins; a peer's word that is older than three gossip periods
// counts for nothing, so a paused or cut-off peer misleads nobody.
func (i *Index) residency(leaf *Leaf, worker string, now clock.Instant) float64 {
	turn := i.turns[worker]
	life := 0
	if turn != nil {
		life = turn.life
	}
	chance, at := 0.0, clock.Instant(-1)
	if own, known := leaf.stays[worker]; known && own.life == life {
		chance, at = own.trust, own.at
		if turn != nil {
			chance *= retained(turn.total()-own.turned, turn.cache)
		}
	}
	if word, known := leaf.told[worker]; known && word.life == life && now.Sub(word.at) < constants.GossipStale && word.seen > at {
		chance = word.chance
	}
	return chance
}

// Turned notes tokens that we put into a worker's cache.
func (i *Index) Turned(worker string, tokens int64) { i.turn(worker).own += tokens }

// OthersTurned adds an estimate of what all other callers have put in since.
func (i *Index) OthersTurned(worker string, tokens float64) {
	i.turn(worker).others += max(tokens, 0)
}

// OthersIn is that estimate, in tokens since the worker was first known.
func (i *Index) OthersIn(worker string) float64 { return i.turn(worker).others }

// SetCache notes the size of a worker's cache, in tokens.
func (i *Index) SetCache(worker string, tokens int64) { i.turn(worker).cache = tokens }

// Drop forgets all that was known of a worker's cache: it was started anew,
// reloaded, or drained and came back.
func (i *Index) Drop(worker string) { i.turn(worker).life++ }

// Forget takes a worker that is gone out of the books.
func (i *Index) Forget(worker string) {
	delete(i.turns, worker)
	i.tree.Each(func(leaf *Leaf) {
		delete(leaf.stays, worker)
		delete(leaf.told, worker)
	})
}

func (i *Index) turn(worker string) *turnover {
	turn := i.turns[worker]
	if turn == nil {
		turn = &turnover{}
		i.turns[worker] = turn
	}
	return turn
}
