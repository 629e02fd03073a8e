package proxy

import (
	"bytes"
	"strconv"
)

// Splitter splits the bytes of an event stream into complete events, so that a broken stream
// never leaves part of an event with the client, and checks that the ids are consecutive.
type Splitter struct {
	remainder []byte
	// LastID is the id of the last complete event that had one. It is valid if HasID is set.
	LastID int64
	// HasID is set once a complete event had an id.
	HasID bool
	// NextID, if above 0, is the id that the first event with an id must have: a resumed stream must continue
	// with exactly the event after the last one that was forwarded.
	NextID int64
}

var eventDelimiter = []byte("\n\n")

// Feed adds bytes of the stream and returns the events that are now complete. consecutive is false
// if the id of an event is not the expected one; only the events before that one are returned.
func (s *Splitter) Feed(text []byte) (complete []byte, consecutive bool) {
	s.remainder = append(s.remainder, text...)
	end := 0
	for {
		index := bytes.Index(s.remainder[end:], eventDelimiter)
		if index < 0 {
			break
		}
		event := s.remainder[end : end+index+len(eventDelimiter)]
		if !s.checkID(event) {
			return s.takeComplete(end), false
		}
		end += index + len(eventDelimiter)
	}
	return s.takeComplete(end), true
}

// takeComplete removes the first end bytes from the remainder and returns them.
func (s *Splitter) takeComplete(end int) []byte {
	complete := s.remainder[:end:end]
	s.remainder = append([]byte(nil), s.remainder[end:]...)
	return complete
}

// checkID records the id of a complete event, if it has one, and reports whether it is the expected one.
func (s *Splitter) checkID(event []byte) bool {
	id, found := eventID(event)
	if !found {
		return true
	}
	if s.NextID > 0 && id != s.NextID {
		return false
	}
	if s.HasID && id != s.LastID+1 {
		return false
	}
	s.NextID, s.LastID, s.HasID = 0, id, true
	return true
}

// Remainder returns the bytes received of an incomplete event.
func (s *Splitter) Remainder() []byte { return s.remainder }

// eventID returns the value of the first id line of an event. The second result is false if there is
// none or it is not a number.
func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line := event
		if index := bytes.IndexByte(event, '\n'); index >= 0 {
			line, event = event[:index], event[index+1:]
		} else {
			event = nil
		}
		if name, value, found := bytes.Cut(line, []byte(":")); found && string(name) == "id" {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// EventData returns the data of each of the complete events that has any. The data lines of one event are
// joined by line feeds.
func EventData(events []byte) [][]byte {
	var parts [][]byte
	for _, event := range bytes.Split(events, eventDelimiter) {
		var lines [][]byte
		found := false
		for _, line := range bytes.Split(event, []byte("\n")) {
			if name, value, cut := bytes.Cut(line, []byte(":")); cut && string(name) == "data" {
				lines = append(lines, bytes.TrimPrefix(value, []byte(" ")))
				found = true
			}
		}
		if found {
			parts = append(parts, bytes.Join(lines, []byte("\n")))
		}
	}
	return parts
}
