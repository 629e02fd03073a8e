package configcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// A CUE value takes about two hundred times the length of its text, so a long configuration is checked
// in pieces. A piece is some of its routes or services, completed to a configuration with valid
// placeholders for the other members of the schema. The members that are not lists are checked at the
// end.

const (
	// pieceBytes is the length of a piece, in bytes. A shorter configuration is checked as a whole.
	pieceBytes = 32 << 10
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

// pieces checks a configuration piece by piece.
type pieces struct {
	checker  *Checker
	findings []string
	// seen has the names of the schema's members that were read.
	seen map[string]bool
	// generation and limits are the members that are not lists.
	generation, limits json.RawMessage
}

// shapeInPieces returns the findings of the schema against a long configuration: at most findingsMax,
// and one more if the body can't be parsed.
func (c *Checker) shapeInPieces(body []byte) []string {
	p := &pieces{checker: c, seen: map[string]bool{}}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := p.read(decoder); err != nil {
		return append(p.findings, "can't be read: "+err.Error())
	}
	if len(p.findings) == 0 {
		p.checkRest()
	}
	// The context is not kept for the next configuration, since it never releases values.
	if err := c.renew(); err != nil {
		return []string{err.Error()}
	}
	return p.findings
}

// read reads the members in the order of the text.
func (p *pieces) read(decoder *json.Decoder) error {
	if err := expect(decoder, '{'); err != nil {
		return err
	}
	for decoder.More() && len(p.findings) < findingsMax {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if err := p.member(decoder, name); err != nil {
			return err
		}
	}
	if len(p.findings) >= findingsMax {
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
func (p *pieces) member(decoder *json.Decoder, name string) error {
	if p.seen[name] {
		p.add(name + " stands twice")
	}
	switch name {
	case memberRoutes, memberServices, memberGeneration, memberLimits:
		p.seen[name] = true
	}
	switch name {
	case memberRoutes, memberServices:
		return p.list(decoder, name)
	case memberGeneration:
		return p.value(decoder, name, &p.generation)
	case memberLimits:
		return p.value(decoder, name, &p.limits)
	}
	var unknown json.RawMessage
	return decoder.Decode(&unknown)
}

// value reads a member that is not a list.
func (p *pieces) value(decoder *json.Decoder, name string, into *json.RawMessage) error {
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if len(*into) > elementBytes {
		p.add(fmt.Sprintf("%s is longer than %d bytes", name, elementBytes))
		*into = nil
	}
	return nil
}

// list reads a list and checks it piece by piece.
func (p *pieces) list(decoder *json.Decoder, name string) error {
	if err := expect(decoder, '['); err != nil {
		return err
	}
	var piece []json.RawMessage
	length, first := 0, 0
	for index := 0; decoder.More() && len(p.findings) < findingsMax; index++ {
		var element json.RawMessage
		if err := decoder.Decode(&element); err != nil {
			return err
		}
		if len(element) > elementBytes {
			p.add(fmt.Sprintf("%s.%d is longer than %d bytes", name, index, elementBytes))
			continue
		}
		if length > 0 && length+len(element) > pieceBytes {
			p.checkPiece(name, first, piece)
			piece, length, first = piece[:0], 0, index
		}
		piece = append(piece, element)
		length += len(element)
	}
	p.checkPiece(name, first, piece)
	if len(p.findings) >= findingsMax {
		return nil
	}
	return expect(decoder, ']')
}

// checkPiece checks some elements of a list, in a configuration whose other members are valid
// placeholders.
func (p *pieces) checkPiece(name string, first int, piece []json.RawMessage) {
	if len(piece) == 0 || len(p.findings) >= findingsMax {
		return
	}
	members := map[string]any{memberGeneration: 1, memberRoutes: []json.RawMessage{}, memberServices: []json.RawMessage{}, memberLimits: struct{}{}}
	members[name] = piece
	p.checkShape(members, name+" from "+strconv.Itoa(first)+" on: ")
}

// checkRest checks the members that are not lists. The lists themselves are empty; a member that the
// configuration lacks is missing here too, so that it is reported.
func (p *pieces) checkRest() {
	members := map[string]any{}
	for _, name := range []string{memberRoutes, memberServices} {
		if p.seen[name] {
			members[name] = []json.RawMessage{}
		}
	}
	if p.generation != nil {
		members[memberGeneration] = p.generation
	}
	if p.limits != nil {
		members[memberLimits] = p.limits
	}
	p.checkShape(members, "")
}

// checkShape checks members against the schema and puts prefix before each finding.
func (p *pieces) checkShape(members map[string]any, prefix string) {
	text, err := json.Marshal(members)
	if err != nil {
		p.add("can't be read: " + err.Error())
		return
	}
	for _, finding := range p.checker.shapeFindings(text) {
		p.add(prefix + finding)
	}
}

// add adds a finding, up to findingsMax.
func (p *pieces) add(finding string) {
	if len(p.findings) < findingsMax {
		p.findings = append(p.findings, finding)
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
