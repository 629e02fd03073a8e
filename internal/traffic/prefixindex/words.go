package prefixindex

import (
	"bytes"
	"math"
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// spokenChange is the least change in what neighbours believe that is worth a word (ours).
const spokenChange = 0.05

// agesRounded is by how much the same evidence may seem older on another way: each
// hop rounds ages up.
const agesRounded = 8 * messages.AgeUnitMs * 1_000_000

// word is a residency word that may be told, with what it would change.
type word struct {
	leaf   *Leaf
	worker string
	chance float64
	change float64
	said   clock.Instant
	seen   clock.Instant
	own    bool
}

// Words gives what changed most since it was last told, of the long shared
// prefixes: our own evidence first by how far it is from what neighbours still
// believe of it, then what was heard and not yet passed on, each once and with its age.
func (i *Index) Words(now clock.Instant, limit, least int) []messages.Residency {
	var found []word
	i.tree.Each(func(leaf *Leaf) {
		if !leaf.shared || leaf.tokens < least || now.Sub(leaf.used) >= 30*constants.GossipPeriod {
			return
		}
		for worker, one := range leaf.stays {
			turn := i.turn(worker)
			if one.life != turn.life {
				continue
			}
			chance := one.trust * retained(turn.total()-one.turned, turn.cache)
			// Who was told forgets it at the age limit.
			believed := one.spoken * max(0, 1-float64(now.Sub(one.spokenAt))/float64(constants.GossipStale))
			if change := math.Abs(chance - believed); change >= spokenChange {
				found = append(found, word{leaf, worker, chance, change, now, one.at, true})
			}
		}
		for worker, one := range leaf.told {
			age := now.Sub(one.at)
			if one.passed || one.life != i.turn(worker).life || age >= constants.GossipStale {
				continue
			}
			if own, known := leaf.stays[worker]; known && own.at >= one.seen {
				continue
			}
			found = append(found, word{leaf, worker, one.chance, one.chance * (1 - float64(age)/float64(constants.GossipStale)), one.at, one.seen, false})
		}
	})
	sort.Slice(found, func(left, right int) bool { return found[left].before(&found[right]) })
	var words []messages.Residency
	for _, one := range found[:min(limit, len(found))] {
		if one.own {
			kept := one.leaf.stays[one.worker]
			kept.spoken, kept.spokenAt = one.chance, now
			one.leaf.stays[one.worker] = kept
		} else {
			kept := one.leaf.told[one.worker]
			kept.passed = true
			one.leaf.told[one.worker] = kept
		}
		words = append(words, messages.Residency{Path: one.leaf.key, Tokens: one.leaf.tokens, Worker: one.worker,
			Probability: float32(one.chance), AgeMs: now.Sub(one.seen).Milliseconds(), SampleAgeMs: now.Sub(one.said).Milliseconds()})
	}
	return words
}

// before orders words; ties are broken by name, so that no order depends on chance.
func (w *word) before(other *word) bool {
	switch {
	case w.change != other.change:
		return w.change > other.change
	case w.seen != other.seen:
		return w.seen > other.seen
	case w.worker != other.worker:
		return w.worker < other.worker
	}
	return bytes.Compare(w.leaf.key, other.leaf.key) < 0
}

// Told takes a peer's words. The age limit is that of the word, wherever it came by.
func (i *Index) Told(words []messages.Residency, now clock.Instant) {
	for _, word := range words {
		said := now - clock.Instant(word.SampleAgeMs)*1_000_000
		if len(word.Path) == 0 || len(word.Path)%8 != 0 || now.Sub(said) >= constants.GossipStale {
			continue
		}
		seen := now - clock.Instant(word.AgeMs)*1_000_000
		leaf := i.tree.Leaf(word.Path)
		leaf.tokens = max(leaf.tokens, word.Tokens)
		leaf.used = max(leaf.used, seen)
		leaf.shared = true
		have, known := leaf.told[word.Worker]
		if known && (have.seen > seen.Add(agesRounded) || (have.seen >= seen && have.at >= said)) {
			continue
		}
		if leaf.told == nil {
			leaf.told = map[string]told{}
		}
		leaf.told[word.Worker] = told{chance: float64(word.Probability), at: said, seen: seen, life: i.turn(word.Worker).life}
	}
	if i.tree.Size() > constants.IndexNodes {
		i.shrink()
	}
}
