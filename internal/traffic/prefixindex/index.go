package prefixindex

import (
	"encoding/binary"
	"hash/fnv"
	"sort"
	"strconv"
	"strings"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// Part is one part of a prompt. Name is a hash of the model and the part's name.
type Part struct {
	Name   uint64
	Tokens int
}

// Prompt describes the prompt of a request as stated in the request's headers: its parts, its
// length in tokens, and the maximum number of output tokens (OutTokens).
type Prompt struct {
	Parts     []Part
	Tokens    int
	OutTokens int
}

// Index is one node's own view of which prefixes are cached at which worker.
type Index struct {
	tree      Tree
	turnovers map[string]*turnover
	// Placements counts the recorded placements. Downgrades counts the choices that the residency
	// weight changed, and Hits those of a worker that is expected to have cached a part of the prompt.
	Placements int64
	Downgrades int64
	Hits       int64
	// prefillRate is the observed prefill rate in tokens per ms. firstEventMs is the observed
	// time in ms from the end of the prefill to the first event.
	prefillRate  float64
	firstEventMs float64
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{turnovers: map[string]*turnover{}, prefillRate: constants.PrefillRateGuess, firstEventMs: constants.FirstEventMsGuess}
}

// ParsePrompt parses the headers that describe a prompt. Only the first constants.PromptPartsMax
// parts are used: each part is indexed under the complete prefix up to it, so the memory for a
// prompt grows with the square of the number of its parts.
func ParsePrompt(model, counts, prefix string) Prompt {
	prompt := Prompt{}
	fields := strings.Split(counts, ",")
	prompt.Tokens, _ = strconv.Atoi(strings.TrimSpace(fields[0]))
	if len(fields) > 1 {
		prompt.OutTokens, _ = strconv.Atoi(strings.TrimSpace(fields[1]))
	}
	if prefix == "" {
		return prompt
	}
	for more := true; more && len(prompt.Parts) < constants.PromptPartsMax; {
		var field string
		field, prefix, more = strings.Cut(prefix, ",")
		name, count, _ := strings.Cut(strings.TrimSpace(field), ":")
		tokens, _ := strconv.Atoi(count)
		// Prefixes cached for one model are of no use to another, so the hash includes the model.
		sum := fnv.New64a()
		sum.Write([]byte(model))
		sum.Write([]byte{0})
		sum.Write([]byte(name))
		prompt.Parts = append(prompt.Parts, Part{Name: sum.Sum64(), Tokens: tokens})
	}
	return prompt
}

func (p *Prompt) key() []byte {
	key := make([]byte, 0, 8*len(p.Parts))
	for _, part := range p.Parts {
		key = binary.BigEndian.AppendUint64(key, part.Name)
	}
	return key
}

// RecordPlacement records that a prompt is sent to a worker. It returns the estimated number of
// tokens that the worker has to prefill because they are not cached there.
func (i *Index) RecordPlacement(prompt *Prompt, worker string, now clock.Instant) int {
	i.Placements++
	key := prompt.key()
	cached := 0.0
	tokens := 0
	cacheTurnover := i.turnoverOf(worker)
	for position := range prompt.Parts {
		tokens += prompt.Parts[position].Tokens
		leaf := i.tree.Leaf(key[:8*(position+1)])
		// The last part belongs to this request only, until another request has the same part.
		leaf.shared = leaf.shared || position < len(prompt.Parts)-1 || leaf.lastUsed > 0
		leaf.tokens, leaf.lastUsed = tokens, now
		probability := i.residency(leaf, worker, now)
		cached = max(cached, probability*float64(tokens))
	}
	fresh := max(prompt.Tokens, tokens) - int(cached)
	cacheTurnover.own += int64(fresh + prompt.OutTokens/2)
	for position := range prompt.Parts {
		leaf := i.tree.Leaf(key[:8*(position+1)])
		if leaf.own == nil {
			leaf.own = map[string]ownEvidence{}
		}
		leaf.own[worker] = ownEvidence{placedAt: now, turnoverAt: cacheTurnover.total(), confidence: 1, incarnation: cacheTurnover.incarnation}
	}
	if i.tree.Size() > constants.IndexLeavesMax {
		i.shrink()
	}
	return fresh
}

// RecordFirstEvent updates the estimates from the delay of a request's first event. A first
// event that arrives as late as after a full prefill shows that the prefix was not cached, and
// lowers the confidence in it. fresh is the number of tokens that RecordPlacement returned, and waited
// the time from the placement to the first event. alone is true if no other prefill of this node was
// pending at the worker when the request was placed.
func (i *Index) RecordFirstEvent(prompt *Prompt, worker string, fresh int, waited clock.Duration, alone bool, now clock.Instant) {
	saved := max(prompt.Tokens, 1) - fresh
	fullPrefillMs := float64(prompt.Tokens) / i.prefillRate
	freshPrefillMs := float64(fresh) / i.prefillRate
	// The time to the first event is the prefill plus the generation of the event's tokens.
	observedPrefillMs := clock.ToMilliseconds(waited) - i.firstEventMs
	// Small prompts and busy workers show nothing: the wait hides the prefill time.
	const significantTokens, missShare, fewTokens = 2000, 0.8, 300
	if saved < significantTokens {
		switch {
		case alone && fresh > significantTokens && observedPrefillMs > 0:
			i.prefillRate += 0.05 * (min(max(float64(fresh)/observedPrefillMs, 20), 2000) - i.prefillRate)
		case alone && fresh < fewTokens:
			i.firstEventMs += 0.02 * (min(clock.ToMilliseconds(waited), 4*constants.FirstEventMsGuess) - i.firstEventMs)
		}
		return
	}
	if observedPrefillMs > freshPrefillMs+missShare*(fullPrefillMs-freshPrefillMs) && alone {
		key := prompt.key()
		i.tree.Walk(key, func(_ int, leaf *Leaf) {
			if evidence, known := leaf.own[worker]; known {
				// The prefix is cached now, since it was just prefilled. But the estimate of
				// how long it stays cached was too high, and peers should receive the lower one.
				evidence.confidence = max(evidence.confidence*0.7, 0.3)
				leaf.own[worker] = evidence
			}
		})
	}
}

// shrink removes the least recently used eighth of the leaves, or more if the index would
// otherwise still exceed constants.IndexLeavesMax.
func (i *Index) shrink() {
	var leaves []*Leaf
	i.tree.Each(func(leaf *Leaf) { leaves = append(leaves, leaf) })
	sort.Slice(leaves, func(left, right int) bool { return leaves[left].lastUsed < leaves[right].lastUsed })
	for _, leaf := range leaves[:max(len(leaves)/8, len(leaves)-constants.IndexLeavesMax)] {
		i.tree.Remove(leaf.key)
	}
}
