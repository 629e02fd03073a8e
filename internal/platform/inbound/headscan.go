package inbound

import (
	"bytes"
	"net/http"
)

// linePrefixBytes is how many bytes of each line of a head are examined: enough for the names below.
const linePrefixBytes = 20

// The names of the headers that define where a body ends.
var (
	contentLengthPrefix    = []byte("content-length:")
	transferEncodingPrefix = []byte("transfer-encoding:")
)

// headScan parses the head of a request incrementally, as its bytes arrive. The server drops
// Content-Length if Transfer-Encoding is present too, so only the raw bytes show that a request has
// both (RFC 9112, 6.1).
type headScan struct {
	// bytes and lines count the head so far; complete is set once the head has ended.
	bytes, lines int64
	complete     bool
	// prefix is the beginning of the current line, lineBytes the line's length so far.
	prefix    [linePrefixBytes]byte
	lineBytes int
	// requestLine is the beginning of the request line, requestLineBytes the length of that beginning.
	requestLine      [linePrefixBytes]byte
	requestLineBytes int
	// hasContentLength and hasTransferEncoding report which of the headers are present.
	hasContentLength, hasTransferEncoding bool
}

// feed processes the next bytes and ignores those after the end of the head.
func (h *headScan) feed(data []byte) {
	for len(data) > 0 && !h.complete {
		end := bytes.IndexByte(data, '\n')
		part := data
		if end >= 0 {
			part = data[:end]
		}
		if h.lineBytes < linePrefixBytes {
			copy(h.prefix[h.lineBytes:], part)
		}
		h.lineBytes += len(part)
		h.bytes += int64(len(part))
		if end < 0 {
			return
		}
		h.bytes++
		h.endLine()
		data = data[end+1:]
	}
}

// endLine processes a complete line.
func (h *headScan) endLine() {
	line := h.prefix[:min(h.lineBytes, linePrefixBytes)]
	empty := h.lineBytes == 0 || (h.lineBytes == 1 && line[0] == '\r')
	h.lineBytes = 0
	if empty {
		// Empty lines before the request line are skipped.
		h.complete = h.lines > 0
		return
	}
	h.lines++
	if h.lines == 1 {
		h.requestLine, h.requestLineBytes = h.prefix, len(line)
		return
	}
	h.hasContentLength = h.hasContentLength || hasName(line, contentLengthPrefix)
	h.hasTransferEncoding = h.hasTransferEncoding || hasName(line, transferEncodingPrefix)
}

func hasName(line, name []byte) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], name)
}

// covers reports whether the complete head of this request was scanned, rather than that of another
// request: a client may send the next request before the response to the current one.
func (h *headScan) covers(request *http.Request) bool {
	line := request.Method + " " + request.RequestURI
	length := min(len(line), h.requestLineBytes)
	return h.complete && length > 0 && line[:length] == string(h.requestLine[:length])
}

// ambiguous reports whether the head defines the end of the body in two ways.
func (h *headScan) ambiguous() bool { return h.hasContentLength && h.hasTransferEncoding }
