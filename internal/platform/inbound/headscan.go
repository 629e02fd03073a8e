package inbound

import (
	"bytes"
	"net/http"
)

// linePrefixBytes is how much of each line of a head is looked at: enough for the names below.
const linePrefixBytes = 20

// The headers that say where a body ends.
var (
	lengthHeader = []byte("content-length:")
	codingHeader = []byte("transfer-encoding:")
)

// headScan follows the head of a request as its bytes come. The server drops Content-Length where
// Transfer-Encoding stands too, so only the bytes tell that both came (RFC 9112, 6.1).
type headScan struct {
	// bytes and lines are those of the head so far; whole is set once it has ended.
	bytes, lines int64
	whole        bool
	// prefix is the beginning of the present line, lineBytes its length so far.
	prefix    [linePrefixBytes]byte
	lineBytes int
	// first is the beginning of the request line, firstBytes its length.
	first      [linePrefixBytes]byte
	firstBytes int
	// hasLength and hasCoding tell which of the headers came.
	hasLength, hasCoding bool
}

// feed takes the next bytes; those behind the head count for nothing.
func (h *headScan) feed(text []byte) {
	for len(text) > 0 && !h.whole {
		end := bytes.IndexByte(text, '\n')
		part := text
		if end >= 0 {
			part = text[:end]
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
		text = text[end+1:]
	}
}

// endLine looks at a line that is whole.
func (h *headScan) endLine() {
	line := h.prefix[:min(h.lineBytes, linePrefixBytes)]
	empty := h.lineBytes == 0 || (h.lineBytes == 1 && line[0] == '\r')
	h.lineBytes = 0
	if empty {
		// Empty lines before the request line are passed over.
		h.whole = h.lines > 0
		return
	}
	h.lines++
	if h.lines == 1 {
		h.first, h.firstBytes = h.prefix, len(line)
		return
	}
	h.hasLength = h.hasLength || hasName(line, lengthHeader)
	h.hasCoding = h.hasCoding || hasName(line, codingHeader)
}

func hasName(line, name []byte) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], name)
}

// covers tells whether the whole head of a request was seen, and not that of another one: a client
// may send the next request before the present one is answered.
func (h *headScan) covers(request *http.Request) bool {
	line := request.Method + " " + request.RequestURI
	length := min(len(line), h.firstBytes)
	return h.whole && length > 0 && line[:length] == string(h.first[:length])
}

// ambiguous tells whether the head says in two ways where the body ends.
func (h *headScan) ambiguous() bool { return h.hasLength && h.hasCoding }
