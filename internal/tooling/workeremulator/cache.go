package workeremulator

import (
	"strconv"
	"strings"
)

// Part is one part of a prompt, named by model and id.
type Part struct {
	Key    string
	Tokens int64
}

type entry struct {
	tokens int64
	pins   int
	// whole tells that some request has read all of it.
	whole bool
	used  int64
}

// cache is the memory of an engine: parts held by running requests, and parts kept.
type cache struct {
	limit int64
	// held counts all tokens in memory, pinned those that running requests hold.
	held       int64
	pinned     int64
	entries    map[string]*entry
	clockValue int64
}

func newCache(limit int64) *cache { return &cache{limit: limit, entries: map[string]*entry{}} }

// partsOf gives the parts of a prompt; what no part names belongs to the request alone.
func partsOf(request Ask) []Part {
	var parts []Part
	observed := map[string]bool{}
	for _, part := range request.Parts {
		// A part named twice is in memory once.
		if key := request.Model + "/" + part.Key; !observed[key] {
			observed[key] = true
			parts = append(parts, Part{Key: key, Tokens: part.Tokens})
		}
	}
	if rest := request.In - total(parts); rest > 0 {
		parts = append(parts, Part{Key: "~" + strconv.FormatInt(request.Ticket, 10), Tokens: rest})
	}
	return parts
}

func total(parts []Part) int64 {
	sum := int64(0)
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// whole tells that a part need not be read.
func (c *cache) whole(part Part) bool {
	entry := c.entries[part.Key]
	return entry != nil && entry.whole
}

// read notes that a part was read to its end.
func (c *cache) read(part Part) {
	if entry := c.entries[part.Key]; entry != nil {
		entry.whole = true
	}
}

// pin takes memory for parts, extra tokens included, next to what outputs hold.
func (c *cache) pin(parts []Part, extra, outputs int64) bool {
	need := extra
	for _, part := range parts {
		if item := c.entries[part.Key]; item != nil {
			c.grip(item, 1)
		} else {
			need += part.Tokens
		}
	}
	fits := c.room(need, outputs)
	for _, part := range parts {
		item := c.entries[part.Key]
		switch {
		case item != nil && !fits:
			c.grip(item, -1)
		case item == nil && fits:
			item = &entry{tokens: part.Tokens}
			c.entries[part.Key] = item
			c.held += part.Tokens
			c.grip(item, 1)
		}
	}
	return fits
}

// unpin lets parts go; those that were read stay kept until room is needed.
func (c *cache) unpin(parts []Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		entry := c.entries[parts[i].Key]
		if entry == nil {
			continue
		}
		c.grip(entry, -1)
		c.clockValue++
		entry.used = c.clockValue
		if entry.pins == 0 && (!entry.whole || strings.HasPrefix(parts[i].Key, "~")) {
			c.drop(parts[i].Key, entry)
		}
	}
}

// room makes room for tokens; the parts unused for longest give way.
func (c *cache) room(tokens, outputs int64) bool {
	if c.limit <= 0 {
		return true
	}
	if c.pinned+outputs+tokens > c.limit {
		return false
	}
	for c.held+outputs+tokens > c.limit {
		oldest := ""
		for key, entry := range c.entries {
			if entry.pins == 0 && (oldest == "" || entry.used < c.entries[oldest].used) {
				oldest = key
			}
		}
		c.drop(oldest, c.entries[oldest])
	}
	return true
}

func (c *cache) drop(key string, item *entry) {
	c.held -= item.tokens
	delete(c.entries, key)
}

// grip counts who holds a part; what somebody holds can't give way.
func (c *cache) grip(item *entry, change int) {
	before := item.pins > 0
	item.pins += change
	switch after := item.pins > 0; {
	case after && !before:
		c.pinned += item.tokens
	case before && !after:
		c.pinned -= item.tokens
	}
}

// ParsePrompt reads Lemonarch-Token-Count and Lemonarch-Prompt-Prefix.
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
