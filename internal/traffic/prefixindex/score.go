package prefixindex

import "lemonarch/internal/platform/clock"

// Candidate is a worker that may take the request, with what its health say.
type Candidate struct {
	Worker string
	// WaitMs is the expected wait from its load; RiskMs what its troubles cost.
	WaitMs float64
	RiskMs float64
}

// Choice is a nomination.
type Choice struct {
	Place int
	Score float64
	// Held is the part of the prompt, in tokens, expected to be there.
	Held float64
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
			for place := range candidates {
				chance := i.residency(leaf, candidates[place].Worker, now)
				if _, known := leaf.stays[candidates[place].Worker]; !known && chance == 0 {
					continue
				}
				tokens := float64(leaf.tokens)
				matches[place].full = max(matches[place].full, tokens)
				// The longest match that pays most by its chance.
				matches[place].weighted = max(matches[place].weighted, tokens*chance)
			}
		})
	}
	first, second, worth := i.homes(prompt, candidates)
	best, believing := -1, -1
	bestScore, believingScore := 0.0, 0.0
	for place := range candidates {
		candidate := &candidates[place]
		load := -candidate.WaitMs - candidate.RiskMs
		switch place {
		case first:
			load += firstHome * worth
		case second:
			load += secondHome * worth
		}
		score := matches[place].weighted/i.rate + load
		if best < 0 || score > bestScore {
			best, bestScore = place, score
		}
		if full := matches[place].full/i.rate + load; believing < 0 || full > believingScore {
			believing, believingScore = place, full
		}
	}
	if best < 0 {
		return Choice{Place: -1}
	}
	choice := Choice{Place: best, Score: bestScore, Held: matches[best].weighted}
	choice.Downgraded = believing != best && matches[believing].full > matches[believing].weighted
	if choice.Downgraded {
		i.Downgrades++
	}
	if choice.Held > 0 {
		i.Hits++
	}
	return choice
}

// homes gives each candidate's bonus for being the home of a prefix: nodes that
// know nothing of a prefix yet should come to the same workers, so each prefix has
// two homes, by a hash. A home is worth less than a warm prefix, and more than
// small differences of load.
func (i *Index) homes(prompt *Prompt, candidates []Candidate) (first, second int, worth float64) {
	first, second = -1, -1
	if len(prompt.Parts) < 2 {
		return first, second, 0
	}
	var best, next uint64
	// The last part is the request's own; the one before it is the shared prefix.
	prefix := prompt.Parts[len(prompt.Parts)-2].Name
	for place := range candidates {
		switch draw := homeDraw(candidates[place].Worker, prefix); {
		case first < 0 || draw > best:
			second, next = first, best
			first, best = place, draw
		case second < 0 || draw > next:
			second, next = place, draw
		}
	}
	return first, second, float64(prompt.Shared()) / i.rate
}

// The parts of a prefix's worth that its first and second home get (ours).
const (
	firstHome  = 0.6
	secondHome = 0.4
)

// Rate is the reading rate in tokens a ms, as streams have taught it.
func (i *Index) Rate() float64 { return i.rate }

// Prefixes is how many prefixes are known.
func (i *Index) Prefixes() int { return i.tree.Size() }
