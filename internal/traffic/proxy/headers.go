package proxy

import (
	"net/http"
	"strconv"
	"strings"

	"lemonarch/internal/platform/clock"
)

// The headers defined by the protocol.
const (
	headerAttempt   = "Lemonarch-Attempt-Id"
	headerTimeLeft  = "Lemonarch-Time-Left-Ms"
	headerTarget    = "Lemonarch-Target-Worker"
	headerSeal      = "Lemonarch-Server-Seal"
	headerNotRun    = "Lemonarch-Not-Executed"
	headerLoad      = "Lemonarch-Worker-Load"
	headerModel     = "Lemonarch-Model"
	headerTokens    = "Lemonarch-Token-Count"
	headerPrefix    = "Lemonarch-Prompt-Prefix"
	headerLastEvent = "Last-Event-Id"
	headerHold      = "Lemonarch-Hold-Ms"
)

// headerAction is what the proxy does with a header.
type headerAction int

const (
	actionPass headerAction = iota
	actionDrop
	actionSet
)

// headerActions maps a header to its action, for requests and responses. A header that is not listed
// is forwarded. Hop-by-hop headers are dropped, and the proxy sets the others itself.
var headerActions = map[string]headerAction{
	"Connection":          actionDrop,
	"Keep-Alive":          actionDrop,
	"Proxy-Connection":    actionDrop,
	"Proxy-Authenticate":  actionDrop,
	"Proxy-Authorization": actionDrop,
	"Te":                  actionDrop,
	"Trailer":             actionDrop,
	"Transfer-Encoding":   actionDrop,
	"Upgrade":             actionDrop,
	"Expect":              actionDrop,
	"Content-Length":      actionSet,
	headerTimeLeft:        actionSet,
	headerTarget:          actionSet,
}

// ForwardedHeader returns the headers that are forwarded: those that headerActions passes, without
// those that the Connection header names.
func ForwardedHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if headerActions[name] == actionPass {
			forwarded[name] = values
		}
	}
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			// A header that Connection names is hop-by-hop. Headers that the protocol needs end to
			// end are forwarded even if Connection names them.
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !strings.HasPrefix(name, "Lemonarch-") && name != headerLastEvent {
				delete(forwarded, name)
			}
		}
	}
	return forwarded
}

// encodeRequest encodes a request to a worker. The headers in overrides replace those of the same name
// in header. withLength adds Content-Length even if the body is empty.
func encodeRequest(method, target, host string, header http.Header, overrides map[string]string, body []byte, withLength bool) []byte {
	text := make([]byte, 0, 512+len(body))
	text = append(text, method...)
	text = append(text, ' ')
	text = append(text, target...)
	text = append(text, " HTTP/1.1\r\nHost: "...)
	text = append(text, host...)
	text = append(text, "\r\n"...)
	line := func(name, value string) {
		text = append(text, name...)
		text = append(text, ": "...)
		text = append(text, value...)
		text = append(text, "\r\n"...)
	}
	for name, values := range header {
		if _, replaced := overrides[name]; replaced {
			continue
		}
		for _, value := range values {
			line(name, value)
		}
	}
	for name, value := range overrides {
		line(name, value)
	}
	if withLength || len(body) > 0 {
		line("Content-Length", strconv.Itoa(len(body)))
	}
	text = append(text, "\r\n"...)
	return append(text, body...)
}

// EncodeRequest encodes a request that has a body. The headers in overrides replace those of the same
// name in header.
func EncodeRequest(method, target, host string, header http.Header, overrides map[string]string, body []byte) []byte {
	return encodeRequest(method, target, host, header, overrides, body, true)
}

// timeLeft returns how long the client will wait, by its header. The second result is false if the
// header is absent or not a valid number of milliseconds.
func timeLeft(header http.Header) (clock.Duration, bool) {
	text := header.Get(headerTimeLeft)
	if text == "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value < 0 {
		return 0, false
	}
	return clock.Milliseconds(value), true
}

// copyHeader copies a worker's response headers that are forwarded. Content-Length is left out: the
// caller sets it if the length is known.
func copyHeader(target, source http.Header) {
	for name, values := range ForwardedHeader(source) {
		target[name] = values
	}
	delete(target, "Content-Length")
}
