package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"

	"lemonarch/internal/platform/clock"
)

// Framing is how a request's body is delimited.
type Framing int

// The kinds of framing.
const (
	// FramingNone is a request without a body.
	FramingNone Framing = iota
	// FramingLength is a body with a Content-Length.
	FramingLength
	// FramingChunked is a body in chunked transfer encoding. The final empty chunk is never sent.
	FramingChunked
)

// attemptPlaceholder is replaced in header lines by the numbers of the member and its round, so
// that no two requests have the same id.
const attemptPlaceholder = "{attempt}"

// writeBytes is the default number of bytes of the body that a member writes at a time.
const writeBytes = 64 << 10

// Request is the request that a member sends.
type Request struct {
	// Method, Path and Host are those of the request line and the Host header.
	Method, Path, Host string
	// Headers are further header lines; "{attempt}" in them is replaced by a unique id of the request.
	Headers []string
	Framing Framing
	// Content is the body, repeated until Bytes are sent; if empty, the body is the letter x repeated.
	Content []byte
	// Announced is the Content-Length. Bytes is the number of bytes of the body that are sent.
	Announced, Bytes int64
	// ChunkBytes is the length of a chunk in bytes.
	ChunkBytes int
	// PieceBytes is the number of bytes written at a time, 0 for writeBytes. PauseMs is the pause
	// after each write, 0 for none.
	PieceBytes int
	PauseMs    float64
	// TrickleBytes is the number of bytes sent one at a time after Bytes, with a pause of TrickleMs
	// before each, if StayOpen is set.
	TrickleBytes int
	TrickleMs    float64
	// HeadOnly omits the empty line that ends the head, and the body.
	HeadOnly bool
	// StayOpen keeps the connection open until the process closes it.
	StayOpen bool
	// Silent connects and sends nothing.
	Silent bool
}

// write sends the head and Bytes of the body.
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

// unit returns the smallest text that is written at once, one chunk or the content (1 KiB if the
// content is a single byte), and how many bytes of the body it contains.
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

// head returns the request line and the header lines.
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

// trickle sends single bytes until all are sent or the connection has ended.
func (r *Request) trickle(connection net.Conn, ended <-chan struct{}) {
	text := []byte("x")
	if r.Framing == FramingChunked {
		text = []byte("1\r\nx\r\n")
	}
	for range r.TrickleBytes {
		select {
		case <-ended:
			return
		case <-clock.After(clock.Milliseconds(r.TrickleMs)):
		}
		if _, err := connection.Write(text); err != nil {
			return
		}
	}
}
