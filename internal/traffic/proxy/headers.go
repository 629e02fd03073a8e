package proxy

import (
	"net/http"
	"strconv"
	"strings"

	"lemonarch/internal/platform/clock"
)

// The headers that the protocol names.
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

// action is what happens to a header.
type action int

const (
	actionPass action = iota
	actionDrop
	actionSet
)

// rules says what happens to each header on its way to a worker and back; what
// is not named passes. Headers of one connection only are dropped.
var rules = map[string]action{
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

// ForwardedHeader lists the headers that go on, by the rules and by what Connection names.
func ForwardedHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if rules[name] == actionPass {
			forwarded[name] = values
		}
	}
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			// What the sender ties to its connection ends with it; but no name may
			// take away what the protocol needs end to end.
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !strings.HasPrefix(name, "Lemonarch-") && name != headerLastEvent {
				delete(forwarded, name)
			}
		}
	}
	return forwarded
}

// encodeRequest writes the text of a request to a worker.
func encodeRequest(method, target, host string, header http.Header, own map[string]string, body []byte, sized bool) []byte {
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
		if _, replaced := own[name]; replaced {
			continue
		}
		for _, value := range values {
			line(name, value)
		}
	}
	for name, value := range own {
		line(name, value)
	}
	if sized || len(body) > 0 {
		line("Content-Length", strconv.Itoa(len(body)))
	}
	text = append(text, "\r\n"...)
	return append(text, body...)
}

// EncodeRequest writes the text of a request that has a body.
func EncodeRequest(method, target, host string, header http.Header, own map[string]string, body []byte) []byte {
	return encodeRequest(method, target, host, header, own, body, true)
}

// timeLeft reads how long the client will wait.
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

// copyHeader puts a worker's headers into our response.
func copyHeader(into, from http.Header) {
	for name, values := range ForwardedHeader(from) {
		into[name] = values
	}
	delete(into, "Content-Length")
}
