package prefixindex

import "lemonarch/internal/platform/clock"

// Candidate is a worker that may be given the request, with its costs in ms.
type Candidate struct {
	Worker string
	// WaitMs is the expected wait due to the worker's load, plus the cost of another zone. RiskMs is
	// the expected cost of the worker's faults and of its warm-up.
	WaitMs float64
	RiskMs float64
}

// Choice is the selected candidate. Index is its position among the candidates, or -1 if there
// were none.
type Choice struct {
	Index int
	Score float64
	// CachedTokens is the expected number of the prompt's tokens that are cached at the worker.
	CachedTokens float64
	// Downgraded is true if the residency weight changed the choice.
	Downgraded bool
}

// Choose combines prefix match, residency and load into one score, in ms of waiting
// saved, and returns the best candidate. A prompt without parts is placed by load alone.
func (i *Index) Choose(prompt *Prompt, candidates []Candidate, now clock.Instant) Choice {
	type matched struct{ full, weighted float64 }
	matches := make([]matched, len(candidates))
	if len(prompt.Parts) > 0 {
		i.tree.Walk(prompt.key(), func(_ int, leaf *Leaf) {
			for position := range candidates {
				probability := i.residency(leaf, candidates[position].Worker, now)
				if _, known := leaf.own[candidates[position].Worker]; !known && probability == 0 {
					continue
				}
				tokens := float64(leaf.tokens)
				matches[position].full = max(matches[position].full, tokens)
				// The match with the most expected cached tokens, which need not be the longest.
				matches[position].weighted = max(matches[position].weighted, tokens*probability)
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

// homes returns the positions of the candidates that are the first and second home of the
// prompt's shared prefix (-1 if there is none), and the prefill time in ms that the prefix saves if
// it is cached. Nodes without any evidence about a prefix should select the same workers, so each
// prefix has two homes, selected by a hash. The bonus of a home is smaller than that of a cached prefix,
// and larger than small differences in load.
func (i *Index) homes(prompt *Prompt, candidates []Candidate) (first, second int, savedMs float64) {
	first, second = -1, -1
	if len(prompt.Parts) < 2 {
		return first, second, 0
	}
	var best, next uint64
	// The last part belongs to this request alone; the shared prefix ends at the part before it.
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
	return first, second, float64(prompt.SharedTokens()) / i.prefillRate
}

// The shares of a prefix's saved prefill time that are added to the scores of its first and
// second home.
const (
	firstHome  = 0.6
	secondHome = 0.4
)

// PrefillRate returns the prefill rate in tokens per ms, as observed on streams.
func (i *Index) PrefillRate() float64 { return i.prefillRate }

// Prefixes returns the number of known prefixes.
func (i *Index) Prefixes() int { return i.tree.Size() }
