package configcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// A CUE value takes about two hundred times the length of its text, so a long configuration is checked
// in chunks. A chunk is some of its routes or services, completed to a configuration with valid
// placeholders for the other members of the schema. The members that are not lists are checked at the
// end.

const (
	// chunkBytes is the length of a chunk, in bytes. A shorter configuration is checked as a whole.
	chunkBytes = 32 << 10
	// elementBytes is the maximum length, in bytes, of a route or service and of each other member of
	// the schema.
	elementBytes = 128 << 10
	// findingsMax is the number of findings after which checking stops.
	findingsMax = 20
)

// The members of a configuration that the schema describes.
const (
	memberGeneration = "generation"
	memberRoutes     = "channels"
	memberServices   = "backends"
	memberLimits     = "limits"
)

// chunkChecker checks a configuration chunk by chunk.
type chunkChecker struct {
	checker  *Checker
	findings []string
	// seen has the names of the schema's members that were read.
	seen map[string]bool
	// generation and limits are the members that are not lists.
	generation, limits json.RawMessage
}

// shapeInChunks returns the findings of the schema against a long configuration: at most findingsMax,
// and one more if the body can't be parsed.
func (c *Checker) shapeInChunks(body []byte) []string {
	chunks := &chunkChecker{checker: c, seen: map[string]bool{}}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := chunks.read(decoder); err != nil {
		return append(chunks.findings, "can't be read: "+err.Error())
	}
	if len(chunks.findings) == 0 {
		chunks.checkRest()
	}
	// The context is not kept for the next configuration, since it never releases values.
	if err := c.renew(); err != nil {
		return []string{err.Error()}
	}
	return chunks.findings
}

// read reads the members in the order of the text.
func (c *chunkChecker) read(decoder *json.Decoder) error {
	if err := expect(decoder, '{'); err != nil {
		return err
	}
	for decoder.More() && len(c.findings) < findingsMax {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if err := c.member(decoder, name); err != nil {
			return err
		}
	}
	if len(c.findings) >= findingsMax {
		return nil
	}
	if err := expect(decoder, '}'); err != nil {
		return err
	}
	if decoder.More() {
		return fmt.Errorf("something follows the configuration")
	}
	return nil
}

// member reads the value of one member. Unknown members are accepted.
func (c *chunkChecker) member(decoder *json.Decoder, name string) error {
	if c.seen[name] {
		c.add(name + " stands twice")
	}
	switch name {
	case memberRoutes, memberServices, memberGeneration, memberLimits:
		c.seen[name] = true
	}
	switch name {
	case memberRoutes, memberServices:
		return c.list(decoder, name)
	case memberGeneration:
		return c.value(decoder, name, &c.generation)
	case memberLimits:
		return c.value(decoder, name, &c.limits)
	}
	var unknown json.RawMessage
	return decoder.Decode(&unknown)
}

// value reads a member that is not a list.
func (c *chunkChecker) value(decoder *json.Decoder, name string, into *json.RawMessage) error {
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if len(*into) > elementBytes {
		c.add(fmt.Sprintf("%s is longer than %d bytes", name, elementBytes))
		*into = nil
	}
	return nil
}

// list reads a list and checks it chunk by chunk.
func (c *chunkChecker) list(decoder *json.Decoder, name string) error {
	if err := expect(decoder, '['); err != nil {
		return err
	}
	var chunk []json.RawMessage
	length, first := 0, 0
	for index := 0; decoder.More() && len(c.findings) < findingsMax; index++ {
		var element json.RawMessage
		if err := decoder.Decode(&element); err != nil {
			return err
		}
		if len(element) > elementBytes {
			c.add(fmt.Sprintf("%s.%d is longer than %d bytes", name, index, elementBytes))
			continue
		}
		if length > 0 && length+len(element) > chunkBytes {
			c.checkChunk(name, first, chunk)
			chunk, length, first = chunk[:0], 0, index
		}
		chunk = append(chunk, element)
		length += len(element)
	}
	c.checkChunk(name, first, chunk)
	if len(c.findings) >= findingsMax {
		return nil
	}
	return expect(decoder, ']')
}

// checkChunk checks some elements of a list, in a configuration whose other members are valid
// placeholders.
func (c *chunkChecker) checkChunk(name string, first int, chunk []json.RawMessage) {
	if len(chunk) == 0 || len(c.findings) >= findingsMax {
		return
	}
	members := map[string]any{memberGeneration: 1, memberRoutes: []json.RawMessage{}, memberServices: []json.RawMessage{}, memberLimits: struct{}{}}
	members[name] = chunk
	c.checkShape(members, name+" from "+strconv.Itoa(first)+" on: ")
}

// checkRest checks the members that are not lists. The lists themselves are empty; a member that the
// configuration lacks is missing here too, so that it is reported.
func (c *chunkChecker) checkRest() {
	members := map[string]any{}
	for _, name := range []string{memberRoutes, memberServices} {
		if c.seen[name] {
			members[name] = []json.RawMessage{}
		}
	}
	if c.generation != nil {
		members[memberGeneration] = c.generation
	}
	if c.limits != nil {
		members[memberLimits] = c.limits
	}
	c.checkShape(members, "")
}

// checkShape checks members against the schema and puts prefix before each finding.
func (c *chunkChecker) checkShape(members map[string]any, prefix string) {
	text, err := json.Marshal(members)
	if err != nil {
		c.add("can't be read: " + err.Error())
		return
	}
	for _, finding := range c.checker.shapeFindings(text) {
		c.add(prefix + finding)
	}
}

// add adds a finding, up to findingsMax.
func (c *chunkChecker) add(finding string) {
	if len(c.findings) < findingsMax {
		c.findings = append(c.findings, finding)
	}
}

// expect reads one delimiter.
func expect(decoder *json.Decoder, delimiter json.Delim) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if token != delimiter {
		return fmt.Errorf("%v stands where %v is wanted", token, delimiter)
	}
	return nil
}
