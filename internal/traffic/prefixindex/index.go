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

// Part is one part of a prompt.
type Part struct {
	Name   uint64
	Tokens int
}

// Prompt is what a request says of its prompt.
type Prompt struct {
	Parts  []Part
	Tokens int
	Out    int
}

// Index is one node's own view of which worker holds what.
type Index struct {
	tree         Tree
	turnovers    map[string]*turnover
	Placements   int64
	Downgrades   int64
	Hits         int64
	prefillRate  float64
	firstEventMs float64
}

// NewIndex makes an empty index.
func NewIndex() *Index {
	return &Index{turnovers: map[string]*turnover{}, prefillRate: constants.ReadRate, firstEventMs: constants.FirstGuess}
}

// ParsePrompt reads the headers that describe a prompt. Of one of very many parts the first ones
// count: an index of all the others would take memory by the square of their number.
func ParsePrompt(model, counts, prefix string) Prompt {
	prompt := Prompt{}
	fields := strings.Split(counts, ",")
	prompt.Tokens, _ = strconv.Atoi(strings.TrimSpace(fields[0]))
	if len(fields) > 1 {
		prompt.Out, _ = strconv.Atoi(strings.TrimSpace(fields[1]))
	}
	if prefix == "" {
		return prompt
	}
	for more := true; more && len(prompt.Parts) < constants.PromptPartsMax; {
		var piece string
		piece, prefix, more = strings.Cut(prefix, ",")
		name, count, _ := strings.Cut(strings.TrimSpace(piece), ":")
		tokens, _ := strconv.Atoi(count)
		// Weights of one model are of no use to another, so the model is in the name.
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

// RecordPlacement notes that a prompt goes to a worker, and gives the tokens that had to
// be prefilled there anew, by the estimate here.
func (i *Index) RecordPlacement(prompt *Prompt, worker string, now clock.Instant) int {
	i.Placements++
	key := prompt.key()
	cached := 0.0
	tokens := 0
	turn := i.turnoverOf(worker)
	for position := range prompt.Parts {
		tokens += prompt.Parts[position].Tokens
		leaf := i.tree.Leaf(key[:8*(position+1)])
		// The last part is the request's own until another request has it too.
		leaf.shared = leaf.shared || position < len(prompt.Parts)-1 || leaf.used > 0
		leaf.tokens, leaf.used = tokens, now
		chance := i.residency(leaf, worker, now)
		cached = max(cached, chance*float64(tokens))
	}
	fresh := max(prompt.Tokens, tokens) - int(cached)
	turn.own += int64(fresh + prompt.Out/2)
	for position := range prompt.Parts {
		leaf := i.tree.Leaf(key[:8*(position+1)])
		if leaf.own == nil {
			leaf.own = map[string]ownEvidence{}
		}
		leaf.own[worker] = ownEvidence{at: now, turnoverAt: turn.total(), confidence: 1, incarnation: turn.incarnation}
	}
	if i.tree.Size() > constants.IndexNodes {
		i.shrink()
	}
	return fresh
}

// RecordFirstEvent confirms or lowers what was believed: a first event that came as
// late as a whole reading takes shows that the prefix was not there.
func (i *Index) RecordFirstEvent(prompt *Prompt, worker string, fresh int, waited clock.Duration, alone bool, now clock.Instant) {
	saved := max(prompt.Tokens, 1) - fresh
	fullPrefillMs := float64(prompt.Tokens) / i.prefillRate
	freshPrefillMs := float64(fresh) / i.prefillRate
	// What is left once the prompt was read is the making of the first event.
	took := clock.ToMilliseconds(waited) - i.firstEventMs
	// Small prompts and busy workers tell nothing: the wait hides the reading.
	const worthKnowing, muchOf, little = 2000, 0.8, 300
	if saved < worthKnowing {
		switch {
		case alone && fresh > worthKnowing && took > 0:
			i.prefillRate += 0.05 * (min(max(float64(fresh)/took, 20), 2000) - i.prefillRate)
		case alone && fresh < little:
			i.firstEventMs += 0.02 * (min(clock.ToMilliseconds(waited), 4*constants.FirstGuess) - i.firstEventMs)
		}
		return
	}
	if took > freshPrefillMs+muchOf*(fullPrefillMs-freshPrefillMs) && alone {
		key := prompt.key()
		i.tree.Walk(key, func(_ int, leaf *Leaf) {
			if entry, known := leaf.own[worker]; known {
				// It is there now, since it was just read; but our estimate of how
				// long it stays was too good, and that is what peers should learn.
				entry.confidence = max(entry.confidence*0.7, 0.3)
				leaf.own[worker] = entry
			}
		})
	}
}

// shrink drops the eighth of the leaves that were unused for longest, and more where it takes more.
func (i *Index) shrink() {
	var leaves []*Leaf
	i.tree.Each(func(leaf *Leaf) { leaves = append(leaves, leaf) })
	sort.Slice(leaves, func(left, right int) bool { return leaves[left].used < leaves[right].used })
	for _, leaf := range leaves[:max(len(leaves)/8, len(leaves)-constants.IndexNodes)] {
		i.tree.Remove(leaf.key)
	}
}
