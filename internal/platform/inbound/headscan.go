package inbound

import "bytes"

// headScan follows the head of a request as its bytes come, to tell it from the body behind it.
type headScan struct {
	// bytes and lines are those of the head so far; whole is set once it has ended.
	bytes, lines int64
	whole        bool
	// lineBytes is the length of the present line so far, last its latest byte.
	lineBytes int
	last      byte
}

// feed takes the next bytes; those behind the head count for nothing.
func (h *headScan) feed(text []byte) {
	for len(text) > 0 && !h.whole {
		end := bytes.IndexByte(text, '\n')
		part := text
		if end >= 0 {
			part = text[:end]
		}
		if len(part) > 0 {
			h.last = part[len(part)-1]
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
	empty := h.lineBytes == 0 || (h.lineBytes == 1 && h.last == '\r')
	h.lineBytes = 0
	if empty {
		// Empty lines before the request line are passed over.
		h.whole = h.lines > 0
		return
	}
	h.lines++
}
