package workeremulator

import (
	"strconv"
	"strings"
)

// Part is one part of a prompt. Its key is the id of the part in an EngineRequest, and the model
// followed by that id in the cache.
type Part struct {
	Key    string
	Tokens int64
}

type cachedPart struct {
	tokens int64
	pins   int
	// complete reports whether some request has prefilled the whole part.
	complete bool
	lastUse  int64
}

// cache is the memory of an engine. It stores the parts pinned by running requests and parts
// kept for reuse.
type cache struct {
	limit int64
	// storedTokens counts all tokens in memory, pinnedTokens those pinned by running requests.
	storedTokens int64
	pinnedTokens int64
	entries      map[string]*cachedPart
	useCount     int64
}

func newCache(limit int64) *cache { return &cache{limit: limit, entries: map[string]*cachedPart{}} }

// promptParts returns the parts of a prompt. The tokens that belong to no part form an extra
// part private to the request.
func promptParts(request EngineRequest) []Part {
	var parts []Part
	seen := map[string]bool{}
	for _, part := range request.Parts {
		// A part named twice is stored once.
		if key := request.Model + "/" + part.Key; !seen[key] {
			seen[key] = true
			parts = append(parts, Part{Key: key, Tokens: part.Tokens})
		}
	}
	if remaining := request.In - totalTokens(parts); remaining > 0 {
		parts = append(parts, Part{Key: "~" + strconv.FormatInt(request.Ticket, 10), Tokens: remaining})
	}
	return parts
}

func totalTokens(parts []Part) int64 {
	sum := int64(0)
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// isComplete reports whether a part is in memory and need not be prefilled.
func (c *cache) isComplete(part Part) bool {
	cached := c.entries[part.Key]
	return cached != nil && cached.complete
}

// markComplete records that a part was prefilled to its end.
func (c *cache) markComplete(part Part) {
	if cached := c.entries[part.Key]; cached != nil {
		cached.complete = true
	}
}

// pin reserves memory for parts and extra tokens, in addition to that used by outputs. It
// returns false, and pins nothing, if they don't fit.
func (c *cache) pin(parts []Part, extra, outputs int64) bool {
	need := extra
	for _, part := range parts {
		if cached := c.entries[part.Key]; cached != nil {
			c.addPins(cached, 1)
		} else {
			need += part.Tokens
		}
	}
	fits := c.makeRoom(need, outputs)
	for _, part := range parts {
		cached := c.entries[part.Key]
		switch {
		case cached != nil && !fits:
			c.addPins(cached, -1)
		case cached == nil && fits:
			cached = &cachedPart{tokens: part.Tokens}
			c.entries[part.Key] = cached
			c.storedTokens += part.Tokens
			c.addPins(cached, 1)
		}
	}
	return fits
}

// unpin releases parts. Complete parts stay cached until their memory is needed.
func (c *cache) unpin(parts []Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		cached := c.entries[parts[i].Key]
		if cached == nil {
			continue
		}
		c.addPins(cached, -1)
		c.useCount++
		cached.lastUse = c.useCount
		if cached.pins == 0 && (!cached.complete || strings.HasPrefix(parts[i].Key, "~")) {
			c.remove(parts[i].Key, cached)
		}
	}
}

// makeRoom evicts the least recently used parts until a number of tokens fits. It returns
// false, and evicts nothing, if pinned parts and outputs leave too little memory.
func (c *cache) makeRoom(tokens, outputs int64) bool {
	if c.limit <= 0 {
		return true
	}
	if c.pinnedTokens+outputs+tokens > c.limit {
		return false
	}
	for c.storedTokens+outputs+tokens > c.limit {
		oldest := ""
		for key, part := range c.entries {
			if part.pins == 0 && (oldest == "" || part.lastUse < c.entries[oldest].lastUse) {
				oldest = key
			}
		}
		c.remove(oldest, c.entries[oldest])
	}
	return true
}

func (c *cache) remove(key string, part *cachedPart) {
	c.storedTokens -= part.tokens
	delete(c.entries, key)
}

// addPins changes the number of requests that pin a part. A pinned part can't be evicted.
func (c *cache) addPins(part *cachedPart, change int) {
	before := part.pins > 0
	part.pins += change
	switch after := part.pins > 0; {
	case after && !before:
		c.pinnedTokens += part.tokens
	case before && !after:
		c.pinnedTokens -= part.tokens
	}
}

// ParsePrompt parses the values of Lemonarch-Token-Count and Lemonarch-Prompt-Prefix.
func ParsePrompt(count, prefix string) (in, out int64, parts []Part, readable bool) {
	before, after, _ := strings.Cut(count, ",")
	in, err := strconv.ParseInt(strings.TrimSpace(before), 10, 64)
	if err != nil || in < 0 {
		return 0, 0, nil, false
	}
	out, err = strconv.ParseInt(strings.TrimSpace(after), 10, 64)
	if err != nil || out < 0 {
		return 0, 0, nil, false
	}
	for _, field := range strings.Split(prefix, ",") {
		if field = strings.TrimSpace(field); field == "" {
			continue
		}
		id, size, _ := strings.Cut(field, ":")
		tokens, err := strconv.ParseInt(size, 10, 64)
		if err != nil || tokens < 0 || id == "" {
			return 0, 0, nil, false
		}
		parts = append(parts, Part{Key: id, Tokens: tokens})
	}
	return in, out, parts, true
}
