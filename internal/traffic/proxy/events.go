package proxy

import (
	"bytes"
	"strconv"
)

// Splitter splits the bytes of an event stream into complete events, so that a break
// never leaves half an event with the client, and follows their ids.
type Splitter struct {
	rest []byte
	// Last is the id of the last complete event, if any carried one.
	Last    int64
	Started bool
	// Next, where above 0, is the id that the first event must have: a stream
	// that goes on must go on exactly.
	Next int64
}

var blank = []byte("\n\n")

// Feed takes bytes and gives the complete events among them; false means that the
// ids do not follow each other.
func (s *Splitter) Feed(text []byte) (complete []byte, follows bool) {
	s.rest = append(s.rest, text...)
	end := 0
	for {
		at := bytes.Index(s.rest[end:], blank)
		if at < 0 {
			break
		}
		event := s.rest[end : end+at+len(blank)]
		if !s.follow(event) {
			return s.take(end), false
		}
		end += at + len(blank)
	}
	return s.take(end), true
}

func (s *Splitter) take(end int) []byte {
	complete := s.rest[:end:end]
	s.rest = append([]byte(nil), s.rest[end:]...)
	return complete
}

func (s *Splitter) follow(event []byte) bool {
	id, known := eventID(event)
	if !known {
		return true
	}
	if s.Next > 0 && id != s.Next {
		return false
	}
	if s.Started && id != s.Last+1 {
		return false
	}
	s.Next, s.Last, s.Started = 0, id, true
	return true
}

// Rest gives what has come of an unfinished event.
func (s *Splitter) Rest() []byte { return s.rest }

func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line := event
		if at := bytes.IndexByte(event, '\n'); at >= 0 {
			line, event = event[:at], event[at+1:]
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

// Data joins the data lines of complete events, each event's own line by line feeds.
func Data(events []byte) [][]byte {
	var parts [][]byte
	for _, event := range bytes.Split(events, blank) {
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
