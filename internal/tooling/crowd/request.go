package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"

	"lemonarch/internal/platform/clock"
)

// Framing says how a request's body is delimited.
type Framing int

// The framings.
const (
	// FramingNone: there is no body.
	FramingNone Framing = iota
	// FramingLength: Content-Length announces the body.
	FramingLength
	// FramingChunked: the body comes in chunks.
	FramingChunked
)

// attemptMark stands in a head for the member's number, so that no two requests share an id.
const attemptPlaceholder = "{attempt}"

// writeBytes is how much a member writes at a time.
const writeBytes = 64 << 10

// Request is what a member sends.
type Request struct {
	// Method, Path and Host name the call.
	Method, Path, Host string
	// Headers are further lines of the head; "{attempt}" becomes a name of the request.
	Headers []string
	Framing Framing
	// Content is the body, repeated until Bytes are sent; empty for the letter x.
	Content []byte
	// Announced is the Content-Length; Bytes is how much of the body is sent.
	Announced, Bytes int64
	// ChunkBytes is the length of a chunk.
	ChunkBytes int
	// PieceBytes and PauseMs: a piece is written, then a pause is made; 0 for no pauses.
	PieceBytes int
	PauseMs    float64
	// CreepBytes are sent one by one after Bytes, a pause of CreepMs between them, by a member that
	// stays open.
	TrickleBytes int
	TrickleMs    float64
	// HeadOnly leaves out the empty line that ends the head; no body follows.
	HeadOnly bool
	// StayOpen keeps the connection until the other side ends it.
	StayOpen bool
	// Silent sends nothing at all.
	Silent bool
}

// write sends head and body.
func (r *Request) write(connection net.Conn, attempt string) error {
	if r.Silent {
		return nil
	}
	if _, err := connection.Write(r.head(attempt)); err != nil || r.HeadOnly || r.Framing == FramingNone {
		return err
	}
	unit, payload := r.unit()
	piece := writeBytes
	if r.PieceBytes > 0 {
		piece = r.PieceBytes
	}
	for sent := int64(0); sent < r.Bytes; {
		units := min(max(piece/len(unit), 1), int((r.Bytes-sent+payload-1)/payload))
		text := bytes.Repeat(unit, units)
		if r.Framing == FramingLength {
			text = text[:min(int64(len(text)), r.Bytes-sent)]
		}
		if _, err := connection.Write(text); err != nil {
			return err
		}
		sent += int64(units) * payload
		if r.PauseMs > 0 {
			clock.Sleep(clock.Milliseconds(r.PauseMs))
		}
	}
	return nil
}

// unit is the least that is written, with the bytes of the body in it.
func (r *Request) unit() (text []byte, payload int64) {
	content := r.Content
	if len(content) == 0 {
		content = []byte("x")
	}
	if r.Framing != FramingChunked {
		if len(content) == 1 {
			content = bytes.Repeat(content, 1<<10)
		}
		return content, int64(len(content))
	}
	data := bytes.Repeat(content, max(r.ChunkBytes/len(content), 1))
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data), int64(len(data))
}

// head writes the request line and the header lines.
func (r *Request) head(attempt string) []byte {
	text := &strings.Builder{}
	fmt.Fprintf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	for _, line := range r.Headers {
		text.WriteString(strings.ReplaceAll(line, attemptPlaceholder, attempt) + "\r\n")
	}
	switch r.Framing {
	case FramingLength:
		fmt.Fprintf(text, "Content-Length: %d\r\n", r.Announced)
	case FramingChunked:
		text.WriteString("Transfer-Encoding: chunked\r\n")
	case FramingNone:
	}
	if !r.HeadOnly {
		text.WriteString("\r\n")
	}
	return []byte(text.String())
}

// creep sends single bytes until they are all sent or the connection is over.
func (r *Request) trickle(connection net.Conn, over <-chan struct{}) {
	text := []byte("x")
	if r.Framing == FramingChunked {
		text = []byte("1\r\nx\r\n")
	}
	for range r.TrickleBytes {
		select {
		case <-over:
			return
		case <-clock.After(clock.Milliseconds(r.TrickleMs)):
		}
		if _, err := connection.Write(text); err != nil {
			return
		}
	}
}
