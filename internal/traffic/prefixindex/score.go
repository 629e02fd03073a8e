package prefixindex

import "lemonarch/internal/platform/clock"

// Candidate is a worker that may take the request, with what its health say.
type Candidate struct {
	Worker string
	// WaitMs is the expected wait from its load; RiskMs what its faults cost.
	WaitMs float64
	RiskMs float64
}

// Choice is a nomination.
type Choice struct {
	Index int
	Score float64
	// CachedTokens is the part of the prompt, in tokens, expected to be there.
	CachedTokens float64
	// Downgraded tells that the residency weight changed the choice.
	Downgraded bool
}

// Choose folds match, residency and load into one score, in ms of waiting
// saved, and gives the best candidate. A prompt without parts is placed by load.
func (i *Index) Choose(prompt *Prompt, candidates []Candidate, now clock.Instant) Choice {
	type matched struct{ full, weighted float64 }
	matches := make([]matched, len(candidates))
	if len(prompt.Parts) > 0 {
		i.tree.Walk(prompt.key(), func(_ int, leaf *Leaf) {
			for position := range candidates {
				chance := i.residency(leaf, candidates[position].Worker, now)
				if _, known := leaf.own[candidates[position].Worker]; !known && chance == 0 {
					continue
				}
				tokens := float64(leaf.tokens)
				matches[position].full = max(matches[position].full, tokens)
				// The longest match that pays most by its chance.
				matches[position].weighted = max(matches[position].weighted, tokens*chance)
			}
		})
	}
	first, second, savedMs := i.homes(prompt, candidates)
	best, optimistic := -1, -1
	bestScore, optimisticScore := 0.0, 0.0
	for position := range candidates {
		candidate := &candidates[position]
		load := -candidate.WaitMs - candidate.RiskMs
		switch position {
		case first:
			load += firstHome * savedMs
		case second:
			load += secondHome * savedMs
		}
		score := matches[position].weighted/i.prefillRate + load
		if best < 0 || score > bestScore {
			best, bestScore = position, score
		}
		if full := matches[position].full/i.prefillRate + load; optimistic < 0 || full > optimisticScore {
			optimistic, optimisticScore = position, full
		}
	}
	if best < 0 {
		return Choice{Index: -1}
	}
	choice := Choice{Index: best, Score: bestScore, CachedTokens: matches[best].weighted}
	choice.Downgraded = optimistic != best && matches[optimistic].full > matches[optimistic].weighted
	if choice.Downgraded {
		i.Downgrades++
	}
	if choice.CachedTokens > 0 {
		i.Hits++
	}
	return choice
}

// homes gives each candidate's bonus for being the home of a prefix: nodes that
// know nothing of a prefix yet should come to the same workers, so each prefix has
// two homes, by a hash. A home is worth less than a warm prefix, and more than
// small differences of load.
func (i *Index) homes(prompt *Prompt, candidates []Candidate) (first, second int, savedMs float64) {
	first, second = -1, -1
	if len(prompt.Parts) < 2 {
		return first, second, 0
	}
	var best, next uint64
	// The last part is the request's own; the one before it is the shared prefix.
	prefix := prompt.Parts[len(prompt.Parts)-2].Name
	for position := range candidates {
		switch weight := homeWeight(candidates[position].Worker, prefix); {
		case first < 0 || weight > best:
			second, next = first, best
			first, best = position, weight
		case second < 0 || weight > next:
			second, next = position, weight
		}
	}
	return first, second, float64(prompt.Shared()) / i.prefillRate
}

// The parts of a prefix's worth that its first and second home get (ours).
const (
	firstHome  = 0.6
	secondHome = 0.4
)

// PrefillRate is the reading rate in tokens a ms, as observed on streams.
func (i *Index) PrefillRate() float64 { return i.prefillRate }

// Prefixes is how many prefixes are known.
func (i *Index) Prefixes() int { return i.tree.Size() }
